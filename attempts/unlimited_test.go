package attempts_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/attempts"
)

// maxCompareTime is the time between two probes of an entry, which compares while it answers nobody.
// A comparison takes microseconds.
const maxCompareTime = time.Second

// compareQuickly compares options, and checks the time and that the values are shares.
func compareQuickly(t *testing.T, task attempts.Task, options []attempts.Option) []float64 {
	t.Helper()
	values := make(chan []float64, 1)
	go func() { values <- attempts.Compare(task, options).Values }()
	select {
	case v := <-values:
		for _, value := range v {
			qt.Assert(t, value >= 0 && value <= 1, qt.IsTrue, qt.Commentf("%v for %+v, %+v", v, task, options))
		}
		return v
	case <-time.After(maxCompareTime):
		t.Fatalf("no result after %v for %+v, %+v", maxCompareTime, task, options)
		return nil
	}
}

// TestUnlimitedAttempts guards against an entry that answers nothing while it values attempts, as
// operators have set their number to the highest one, for no limit (review case 12). Times and shares are
// also as extreme as they can get.
func TestUnlimitedAttempts(t *testing.T) {
	const longest = time.Duration(math.MaxInt64)
	for _, count := range []int{1, 3, 20, 1_000_000, math.MaxInt32, math.MaxInt64} {
		for _, share := range []float64{0.01, 0.5, 0.999999999, 1} {
			for _, runTime := range []time.Duration{0, 1, time.Microsecond, 100 * time.Millisecond, time.Hour, longest} {
				for _, limit := range []time.Duration{-longest, 0, time.Second, 24 * time.Hour, longest} {
					task := attempts.Task{Attempts: count, UntilDue: limit, UntilExpiry: limit, UntilDeadline: limit}
					options := []attempts.Option{{CanStart: true, FailShare: share, RunTime: runTime}, {Delay: runTime, FailedHere: true, FailShare: share, RunTime: runTime}}
					compareQuickly(t, task, options)
				}
			}
		}
	}
}

// TestManyAttemptsAreWorthAsMuch checks that more attempts than fit into the time change nothing,
// and that attempts which take no time are worth what a single one that succeeds is.
func TestManyAttemptsAreWorthAsMuch(t *testing.T) {
	for _, test := range []struct {
		runTime time.Duration
		within  float64
	}{{runTime: 100 * time.Millisecond, within: 1e-6}, {runTime: time.Millisecond, within: 0.02}} {
		t.Run(fmt.Sprint(test.runTime), func(t *testing.T) {
			task := attempts.Task{UntilDue: time.Second, UntilExpiry: 2 * time.Second, UntilDeadline: 3 * time.Second}
			options := []attempts.Option{{CanStart: true, FailShare: 0.9, RunTime: test.runTime}, {CanStart: true, FailShare: 0.8, RunTime: test.runTime}}
			fits := int(task.UntilDeadline / test.runTime * 2)
			task.Attempts = fits
			want := compareQuickly(t, task, options)
			task.Attempts = math.MaxInt32
			got := compareQuickly(t, task, options)
			qt.Assert(t, math.Abs(got[0]-want[0]) < test.within, qt.IsTrue, qt.Commentf("%v, want %v", got, want))
			qt.Assert(t, got[0] > 0.9, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}

// FuzzCompare checks that a comparison takes no long time, whatever is stated.
func FuzzCompare(f *testing.F) {
	f.Add(math.MaxInt32, 0.4, 0.1, int64(0), int64(time.Second), int64(time.Second))
	f.Add(math.MaxInt64, 1.0, 1.0, int64(time.Hour), int64(0), int64(math.MaxInt64))
	f.Add(-5, 0.0, 0.3, int64(-time.Hour), int64(1), int64(math.MinInt64))
	f.Fuzz(func(t *testing.T, count int, firstShare, secondShare float64, delay, runTime, limit int64) {
		if !(firstShare >= 0 && firstShare <= 1 && secondShare >= 0 && secondShare <= 1) || runTime < 0 || delay < 0 {
			return // What others report is limited before it gets here.
		}
		task := attempts.Task{Attempts: count, UntilDue: time.Duration(limit), UntilExpiry: time.Duration(limit), UntilDeadline: time.Duration(limit)}
		compareQuickly(t, task, []attempts.Option{
			{CanStart: true, FailShare: firstShare, RunTime: time.Duration(runTime)},
			{Delay: time.Duration(delay), FailShare: secondShare, RunTime: time.Duration(runTime)},
		})
	})
}
