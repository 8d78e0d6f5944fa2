package executor_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestRerunsAreDescribed guards against starts that may be the second ones of their tasks without
// a trace in the log, and against a line for each first start.
func TestRerunsAreDescribed(t *testing.T) {
	tests := []struct {
		name   string
		change func(task *tasklink.StartTask)
		want   []executor.Rerun
	}{
		{name: "the first run", change: func(*tasklink.StartTask) {}},
		{
			name: "the second run", change: func(task *tasklink.StartTask) { task.Run = 2 },
			want: []executor.Rerun{{Attempt: 1, Entry: "entry-1", Lease: executor.Lease, Run: pollenfront.RunID{Number: 2, TaskID: runID(0).TaskID}}},
		},
		{
			name: "an earlier run may have started", change: func(task *tasklink.StartTask) { task.Rerun = true },
			want: []executor.Rerun{{Attempt: 1, Entry: "entry-1", Lease: executor.Lease, Run: runID(0)}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			commands := startCommands(at(0), 0)
			test.change(&commands.Starts[0].Tasks[0])
			effects := x.HandleCommands(at(0), testEntry, commands)
			c.Assert(effects.Starts, qt.HasLen, 1)
			c.Assert(effects.Reruns, qt.DeepEquals, test.want)
		})
	}
}

// TestResubmittedRunIsDescribed checks that the start for another entry is described if the agent
// knows an ended run of the task, and so is each repeated request.
func TestResubmittedRunIsDescribed(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	other := executor.EntryRef{Incarnation: 1, Name: "entry-2"}
	x.LinkEntry(at(0), other)
	x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
	x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, pollenfront.ErrRejected)
	commands := startCommands(at(10), 0)
	commands.Starts[0].Tasks[0].Run = 2
	effects := x.HandleCommands(at(10), other, commands)
	c.Assert(effects.Reruns, qt.HasLen, 1)
	c.Assert(effects.Reruns[0].Entry, qt.Equals, "entry-2")
	effects = x.HandleStartResponse(at(50), effects.Starts[0], 0, errTimeout)
	c.Assert(effects.Starts, qt.HasLen, 1)
	c.Assert(effects.RerunOf(effects.Starts[0].Run).Attempt, qt.Equals, 2)
}
