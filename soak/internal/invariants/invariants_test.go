package invariants_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/soak/internal/invariants"
)

// Jobs and servers of the tests.
const (
	job  = "0011223344556677"
	task = job + ".0.0.0"
	east = "server-0"
	west = "server-1"
)

// newChecker returns a checker that has recorded the submission of job.
func newChecker() *invariants.Checker {
	checker := invariants.New(map[string]string{east: "zone-0", west: "zone-1"})
	checker.RecordSubmission(job, 1)
	return checker
}

// TestRunsAtTheSameTime guards against two runs of one task that pass unnoticed because the
// end of one is taken for the end of the other.
func TestRunsAtTheSameTime(t *testing.T) {
	tests := []struct {
		name string

		// events are the names of servers on which the task starts, or ends after "-".
		events []string
		want   []string
	}{
		{name: "one after the other", events: []string{east, "-" + east, west, "-" + west}},
		{name: "on two servers", events: []string{east, west, "-" + east, "-" + west}, want: []string{"server-0 and on server-1"}},
		{name: "twice on one server", events: []string{east, east, "-" + east, "-" + east}, want: []string{"server-0 and on server-0"}},
		{
			name: "a third run beside the first", events: []string{east, west, "-" + west, west, "-" + west, "-" + east},
			want: []string{"server-0 and on server-1", "server-0 and on server-1"},
		},
		{name: "without an end", events: []string{east, west, "-" + west}, want: []string{"server-0 and on server-1", "still runs on server-0"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			checker := newChecker()
			for _, event := range test.events {
				if event[0] == '-' {
					checker.RunEnded(task, event[1:], "lapsed")
				} else {
					checker.RunStarted(task, event, time.Now())
				}
			}
			violations := checker.Violations()
			c.Assert(violations, qt.HasLen, len(test.want))
			for i, want := range test.want {
				c.Check(violations[i], qt.Contains, want)
			}
		})
	}
}

// TestLateStartInDisabledZone guards against a violation for a start that a server
// received in time and carried out late.
func TestLateStartInDisabledZone(t *testing.T) {
	c := qt.New(t)
	checker := newChecker()
	checker.SetZoneDisabled("zone-0", true)
	checker.RunStarted(task, east, time.Now().Add(4*time.Second))
	checker.RunEnded(task, east, "done")
	c.Assert(checker.Violations(), qt.HasLen, 0)
	checker.RunStarted(task, east, time.Now().Add(6*time.Second))
	checker.RunEnded(task, east, "done")
	c.Assert(checker.Violations(), qt.HasLen, 1)
}

// TestCanceledJob guards against a canceled job that starts or runs on unnoticed.
func TestCanceledJob(t *testing.T) {
	tests := []struct {
		name string
		// endedBefore is whether the run ends before the job must be over.
		endedBefore bool
		// startedAfter is the time from the cancellation to another start, or zero.
		startedAfter time.Duration
		want         []string
	}{
		{name: "stopped", endedBefore: true},
		{name: "runs on", want: []string{"after its job was canceled"}},
		{name: "starts in time", endedBefore: true, startedAfter: 2900 * time.Millisecond},
		{name: "starts too late", endedBefore: true, startedAfter: 3100 * time.Millisecond, want: []string{"after its job was canceled"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			checker := newChecker()
			checker.RunStarted(task, east, time.Now())
			checker.RecordCancellation(job)
			if test.endedBefore {
				checker.RunEnded(task, east, "stopped")
			}
			if test.startedAfter > 0 {
				checker.RunStarted(task, east, time.Now().Add(test.startedAfter))
				checker.RunEnded(task, east, "stopped")
			}
			time.Sleep(3200 * time.Millisecond)
			checker.RunEnded(task, east, "stopped")
			violations := checker.Violations()
			c.Assert(violations, qt.HasLen, len(test.want))
			for i, want := range test.want {
				c.Check(violations[i], qt.Contains, want)
			}
		})
	}
}
