package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/placement"
)

// TestChoose checks when a task gets which server, and when it waits.
func TestChoose(t *testing.T) {
	ms := time.Millisecond
	free := func(timeToFinish, penalty time.Duration) pollenfront.ServerCandidate {
		return pollenfront.ServerCandidate{CanStart: true, Penalty: penalty, TimeToFinish: timeToFinish}
	}
	busy := func(timeToFinish time.Duration) pollenfront.ServerCandidate {
		return pollenfront.ServerCandidate{TimeToFinish: timeToFinish}
	}
	tests := []struct {
		name    string
		task    pollenfront.TaskTiming
		servers []pollenfront.ServerCandidate
		want    int
	}{
		{name: "no server", want: -1},
		{name: "all busy", task: pollenfront.TaskTiming{UntilDue: 100 * ms, UntilExpiry: 300 * ms}, servers: []pollenfront.ServerCandidate{busy(50 * ms)}, want: -1},
		{
			name: "the earliest finish", task: pollenfront.TaskTiming{UntilDue: 100 * ms, UntilExpiry: 300 * ms},
			servers: []pollenfront.ServerCandidate{free(60*ms, 0), free(50*ms, 0)}, want: 1,
		},
		{
			name: "a penalty", task: pollenfront.TaskTiming{UntilDue: 100 * ms, UntilExpiry: 300 * ms},
			servers: []pollenfront.ServerCandidate{free(60*ms, 0), free(50*ms, 20*ms)}, want: 0,
		},
		{
			name: "on time in spite of a penalty", task: pollenfront.TaskTiming{UntilDue: 100 * ms, UntilExpiry: 300 * ms},
			servers: []pollenfront.ServerCandidate{free(120*ms, 0), free(90*ms, 500*ms)}, want: 1,
		},
		{
			name: "a busy server would be on time", task: pollenfront.TaskTiming{UntilDue: 100 * ms, UntilExpiry: 300 * ms},
			servers: []pollenfront.ServerCandidate{busy(80 * ms), free(120*ms, 0)}, want: -1,
		},
		{
			name: "a busy server would finish at once", task: pollenfront.TaskTiming{UntilDue: 100 * ms, UntilExpiry: 300 * ms},
			servers: []pollenfront.ServerCandidate{busy(0), free(120*ms, 0)}, want: -1,
		},
		{
			name: "past the latest start", task: pollenfront.TaskTiming{PastLatestStart: true, UntilDue: 100 * ms, UntilExpiry: 300 * ms},
			servers: []pollenfront.ServerCandidate{busy(80 * ms), free(120*ms, 0)}, want: 1,
		},
		{
			name: "of no use", task: pollenfront.TaskTiming{PastLatestStart: true, UntilDue: 10 * ms, UntilExpiry: 100 * ms},
			servers: []pollenfront.ServerCandidate{free(120*ms, 0)}, want: -1,
		},
		{
			name: "of no use, but the job has started", task: pollenfront.TaskTiming{JobStarted: true, PastLatestStart: true, UntilDue: 10 * ms, UntilExpiry: 100 * ms},
			servers: []pollenfront.ServerCandidate{free(120*ms, 0)}, want: 0,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, placement.EarliestFinish{}.Choose(test.task, test.servers), qt.Equals, test.want)
		})
	}
}
