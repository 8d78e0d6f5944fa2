package executor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
)

// runFor lets the server run a task that is expected to take 100 ms, and
// returns the learned slowness.
func runFor(x *executor.Executor, index, startMS, tookMS int) float64 {
	now := at(startMS)
	x.HandleCommands(now, entry, order(now, index))
	x.HandleStartResponse(now, pollenfront.StartRequest{Run: runID(index)}, 0, nil)
	now += time.Duration(tookMS) * time.Millisecond
	x.HandleRenewal(now, now, &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1, Ended: []pollenfront.EndedRun{
		{Ending: pollenfront.EndingDone, Run: runID(index), SeqNum: uint64(index) + 1},
	}})
	return x.Report(now).Slowness
}

// TestSlowness replays runs of a server whose tasks were estimated wrongly, and
// of one that becomes slow and fast again.
func TestSlowness(t *testing.T) {
	tests := []struct {
		name        string
		took        []int // Milliseconds, in turn.
		least, most float64
	}{
		{name: "usual errors", took: []int{70, 140, 90, 110, 100, 60, 160, 100}, least: 0.9, most: 1.1},
		{name: "one task far longer than estimated", took: []int{100, 100, 100, 100, 100, 100, 100, 800}, least: 1, most: 1.1},
		{name: "two such tasks", took: []int{100, 100, 100, 800, 100, 100, 800, 100}, least: 1, most: 1.2},
		{name: "the server became slow", took: []int{100, 100, 100, 100, 600, 600, 600, 600}, least: 5, most: 7},
		{name: "and fast again", took: []int{600, 600, 600, 600, 600, 600, 600, 100, 100, 100, 100}, least: 0.9, most: 1.1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			slowness, ms := 1.0, 0
			for i, took := range test.took {
				slowness = runFor(x, i, ms, took)
				ms += took + 1
			}
			c.Assert(slowness >= test.least, qt.IsTrue, qt.Commentf("%.2f", slowness))
			c.Assert(slowness <= test.most, qt.IsTrue, qt.Commentf("%.2f", slowness))
		})
	}
}
