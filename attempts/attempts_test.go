package attempts_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pollenfront/pollenfront/attempts"
)

// servers returns n servers in three zones and four racks that report the given shares by
// their index.
func servers(n int, failRate func(i int) float64) []attempts.Server {
	list := make([]attempts.Server, n)
	for i := range list {
		list[i] = attempts.Server{FailRate: failRate(i), Labels: []string{"rack-" + string(rune('0'+i%4))}, Zone: "zone-" + string(rune('0'+i%3))}
	}
	return list
}

// TestAssess guards against failing servers that are not told from the others, and against
// servers that are marked for what all have in common or for one failure long ago.
func TestAssess(t *testing.T) {
	tests := []struct {
		name     string
		failRate func(i int) float64
		trust    float64
		server   int
		atLeast  float64 // atLeast and atMost limit the probability that the server fails runs.
		atMost   float64
	}{
		{name: "one fails", failRate: func(i int) float64 { return map[bool]float64{true: 0.39}[i == 5] }, trust: 1, server: 5, atLeast: 0.9, atMost: 1},
		{name: "healthy beside one that fails", failRate: func(i int) float64 { return map[bool]float64{true: 0.39}[i == 5] }, trust: 1, server: 6, atMost: 0.02},
		{name: "all fail", failRate: func(int) float64 { return 0.39 }, trust: 1, server: 6, atMost: 0.02},
		{name: "a failure ten runs ago", failRate: func(i int) float64 { return map[bool]float64{true: 0.2 * math.Pow(0.8, 10)}[i == 5] }, trust: 1, server: 5, atMost: 0.02},
		{name: "failures that tasks have caused", failRate: func(i int) float64 { return map[bool]float64{true: 0.39}[i == 5] }, trust: 0.05, server: 5, atMost: 0.1},
		{name: "a zone fails, this one not yet", failRate: func(i int) float64 { return map[bool]float64{true: 0.39}[i%3 == 1 && i != 4] }, trust: 1, server: 4, atLeast: 0.3, atMost: 1},
		{name: "a rack fails, this one not yet", failRate: func(i int) float64 { return map[bool]float64{true: 0.39}[i%4 == 1 && i != 5] }, trust: 1, server: 5, atLeast: 0.3, atMost: 1},
		{name: "an invalid report", failRate: func(i int) float64 { return map[bool]float64{true: math.NaN()}[i == 5] }, trust: 1, server: 5, atMost: 0.02},
		{name: "a report above 1", failRate: func(i int) float64 { return map[bool]float64{true: 7}[i == 5] }, trust: 1, server: 5, atMost: 0.02},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			health := attempts.Assess(servers(73, test.failRate), test.trust)[test.server]
			qt.Assert(t, health.Failing >= test.atLeast && health.Failing <= test.atMost, qt.IsTrue, qt.Commentf("%+v", health))
		})
	}
}

// TestAssessIsProbability guards against estimates that are no probabilities, whatever is
// reported.
func TestAssessIsProbability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64(), 1, 20).Draw(t, "rates")
		list := servers(len(rates), func(i int) float64 { return rates[i] })
		for _, h := range attempts.Assess(list, rapid.Float64Range(0, 1).Draw(t, "trust")) {
			if !(h.Failing >= 0 && h.Failing <= 1 && h.FailShare > 0 && h.FailShare < 1) {
				t.Fatalf("%+v for %v", h, rates)
			}
		}
	})
}

// TestEvidence guards against servers that are blamed for tasks that fail everywhere.
func TestEvidence(t *testing.T) {
	c := qt.New(t)
	e := attempts.NewEvidence()
	c.Assert(e.Trust(0), qt.Equals, 1.0)
	e.AddSuccess(0, "good", "b", []string{"a"})
	c.Assert(e.LogOdds(0, "a") > 4, qt.IsTrue)
	c.Assert(e.LogOdds(0, "b"), qt.Equals, 0.0)
	c.Assert(e.LogOdds(time.Minute, "a"), qt.Equals, 0.0)
	before := e.TaskFails("bad", []float64{0.1})
	for range 20 {
		e.AddFailure(time.Minute, "bad", 3)
	}
	c.Assert(e.Trust(time.Minute) < 0.05, qt.IsTrue)
	c.Assert(e.LogOdds(time.Minute, "a"), qt.Equals, 0.0)
	c.Assert(e.TaskFails("bad", []float64{0.1}) > 0.8, qt.IsTrue)
	c.Assert(before < 0.02, qt.IsTrue)
	c.Assert(e.TaskFails("good", []float64{0.4, 0.4}) < 0.02, qt.IsTrue)
	c.Assert(e.TaskFails("good", []float64{0.002, 0.002}) > 0.95, qt.IsTrue)
	c.Assert(e.Trust(2*time.Minute) > 0.999, qt.IsTrue)
}

// TestEvidenceFadesBeforeSuccess guards against a success that is taken off the odds against a
// server as they were, and not as they are after they have faded.
func TestEvidenceFadesBeforeSuccess(t *testing.T) {
	const wait = 3 * time.Second
	odds := func(read bool) float64 {
		e := attempts.NewEvidence()
		e.AddSuccess(0, "route", "b", []string{"a"})
		if read {
			e.LogOdds(wait, "a") // Makes the evidence fade.
		}
		e.AddSuccess(wait, "route", "a", nil)
		return e.LogOdds(wait, "a")
	}
	qt.Assert(t, odds(false), qt.Equals, odds(true))
}

// TestCompare guards against attempts that are used up on failing servers while another one
// could run the task in time, and against tasks that wait until no answer is of use.
func TestCompare(t *testing.T) {
	const ms = time.Millisecond
	healthy := attempts.Option{Delay: 60 * ms, FailShare: 0.003, RunTime: 55 * ms}
	failing := attempts.Option{CanStart: true, Delay: 0, FailShare: 0.39, RunTime: 55 * ms}
	failedHere := attempts.Option{CanStart: true, Delay: 0, FailShare: 0.1, FailedHere: true, RunTime: 25 * ms}
	full := attempts.Option{Delay: 900 * ms, FailShare: 0.003, RunTime: 55 * ms}
	inTime := attempts.Task{Attempts: 1, UntilDue: 200 * ms, UntilExpiry: 500 * ms, UntilDeadline: 1400 * ms}
	withAttempts := inTime
	withAttempts.Attempts = 3
	hopeless := inTime
	hopeless.Fails = 0.99
	late := attempts.Task{Attempts: 1, UntilDue: -100 * ms, UntilExpiry: 250 * ms, UntilDeadline: 1200 * ms}
	tests := []struct {
		name      string
		task      attempts.Task
		now       attempts.Option
		other     attempts.Option
		withholds bool
	}{
		{name: "the last attempt waits", task: inTime, now: failing, other: healthy, withholds: true},
		{name: "the last attempt waits, late", task: late, now: failing, other: healthy, withholds: true},
		{name: "not again where it failed, though it is faster", task: withAttempts, now: failedHere, other: healthy, withholds: true},
		{name: "the other is free too late", task: inTime, now: failing, other: full},
		{name: "the other is free too late, where it failed", task: inTime, now: failedHere, other: full},
		{name: "a task that fails everywhere does not wait", task: hopeless, now: failing, other: healthy},
		{name: "the other is no better", task: inTime, now: failing, other: attempts.Option{Delay: 60 * ms, FailShare: 0.39, RunTime: 55 * ms}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			choice := attempts.Compare(test.task, []attempts.Option{test.now, test.other})
			qt.Assert(t, choice.Withholds(0), qt.Equals, test.withholds, qt.Commentf("%v", choice.Values))
		})
	}
}

// TestOnlyServer guards against a task that waits for ever, as there is no other server.
func TestOnlyServer(t *testing.T) {
	option := attempts.Option{CanStart: true, FailShare: 0.9, FailedHere: true, RunTime: time.Second}
	choice := attempts.Compare(attempts.Task{Attempts: 1, UntilDue: time.Minute, UntilExpiry: time.Hour, UntilDeadline: time.Hour}, []attempts.Option{option})
	qt.Assert(t, choice.Withholds(0), qt.IsFalse)
}
