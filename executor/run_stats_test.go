package executor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
)

// completeRun makes the server run a task that is expected to take 100 ms, and returns
// the slowness that the agent then reports.
func completeRun(x *executor.Executor, index, startMS, runTimeMS int) float64 {
	now := at(startMS)
	x.HandleCommands(now, testEntry, startCommands(now, index))
	x.HandleStartResponse(now, pollenfront.StartRequest{Incarnation: 1, Run: runID(index)}, 0, nil)
	now += time.Duration(runTimeMS) * time.Millisecond
	x.HandleRenewal(now, now, &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1, Ended: []pollenfront.EndedRun{
		{Ending: pollenfront.EndingDone, Run: runID(index), SeqNum: uint64(index) + 1},
	}})
	return x.Report(now).Slowness
}

// TestSlowness checks that wrong estimates of single tasks barely change the slowness,
// and that it follows a server that becomes slow or fast.
func TestSlowness(t *testing.T) {
	tests := []struct {
		name                     string
		runTimesMS               []int
		minSlowness, maxSlowness float64
	}{
		{name: "usual estimation errors", runTimesMS: []int{70, 140, 90, 110, 100, 60, 160, 100}, minSlowness: 0.9, maxSlowness: 1.1},
		{name: "one task far longer than estimated", runTimesMS: []int{100, 100, 100, 100, 100, 100, 100, 800}, minSlowness: 1, maxSlowness: 1.1},
		{name: "two tasks far longer than estimated", runTimesMS: []int{100, 100, 100, 800, 100, 100, 800, 100}, minSlowness: 1, maxSlowness: 1.2},
		{name: "server becomes slow", runTimesMS: []int{100, 100, 100, 100, 600, 600, 600, 600}, minSlowness: 5, maxSlowness: 7},
		{name: "server becomes fast again", runTimesMS: []int{600, 600, 600, 600, 600, 600, 600, 100, 100, 100, 100}, minSlowness: 0.9, maxSlowness: 1.1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			slowness, startMS := 1.0, 0
			for i, runTimeMS := range test.runTimesMS {
				slowness = completeRun(x, i, startMS, runTimeMS)
				startMS += runTimeMS + 1
			}
			c.Assert(slowness >= test.minSlowness, qt.IsTrue, qt.Commentf("%.2f", slowness))
			c.Assert(slowness <= test.maxSlowness, qt.IsTrue, qt.Commentf("%.2f", slowness))
		})
	}
}
