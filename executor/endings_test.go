package executor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestEvidenceOfEnds guards against ends of runs of which the log does not tell what showed
// that they were over.
func TestEvidenceOfEnds(t *testing.T) {
	tests := []struct {
		name string
		end  func(x *executor.Executor) executor.Effects
		want executor.Evidence
		age  time.Duration
	}{
		{name: "the server lists the end", want: executor.EndListed, age: 10 * time.Millisecond, end: func(x *executor.Executor) executor.Effects {
			ended := []pollenfront.EndedRun{{Ending: pollenfront.EndingDone, Run: runID(0), SeqNum: 1}}
			return x.HandleRenewal(at(50), at(40), &pollenfront.RenewalResponse{Clock: time.Second, Ended: ended, Incarnation: 1})
		}},
		{name: "the server does not list the run", want: executor.Unlisted, age: 10 * time.Millisecond, end: func(x *executor.Executor) executor.Effects {
			return x.HandleRenewal(at(410), at(400), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1})
		}},
		{name: "the lease expires", want: executor.LeaseExpired, age: 2 * time.Millisecond, end: func(x *executor.Executor) executor.Effects {
			return x.Tick(at(670))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
			x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, nil)
			effects := test.end(x)
			c.Assert(effects.Ended, qt.HasLen, 1)
			c.Assert(effects.Ended[0].Evidence, qt.Equals, test.want)
			c.Assert(effects.Ended[0].EvidenceAge, qt.Equals, test.age)
		})
	}
}

// TestEvidenceIsReported guards against entries that can't tell why they sent a task again, since
// the reported end of its run does not state what showed it.
func TestEvidenceIsReported(t *testing.T) {
	tests := []struct {
		name string
		end  func(x *executor.Executor)
		want tasklink.RunEnd
	}{
		{
			name: "the lease has expired", end: func(x *executor.Executor) { x.Tick(at(670)) },
			want: tasklink.RunEnd{Ending: pollenfront.EndingLost, Evidence: tasklink.LeaseExpired, EvidenceAge: 2 * time.Millisecond},
		},
		{
			name: "a completed run needs none", want: tasklink.RunEnd{Ending: pollenfront.EndingDone},
			end: func(x *executor.Executor) {
				ended := []pollenfront.EndedRun{{Ending: pollenfront.EndingDone, Run: runID(0), SeqNum: 1}}
				x.HandleRenewal(at(50), at(40), &pollenfront.RenewalResponse{Clock: time.Second, Ended: ended, Incarnation: 1})
			},
		},
		{
			name: "a refused command", want: tasklink.RunEnd{Ending: pollenfront.EndingNotStarted, Evidence: tasklink.NoStartSent},
			end: func(x *executor.Executor) { x.HandleCommands(at(5), testEntry, startCommands(at(5), 0)) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
			x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, nil)
			test.end(x)
			update, _ := x.NextUpdate(at(670), testEntry.Name)
			c.Assert(update.RunEnds, qt.HasLen, 1)
			got := update.RunEnds[0]
			c.Assert(got.Ending, qt.Equals, test.want.Ending)
			c.Assert(got.Evidence, qt.Equals, test.want.Evidence)
			c.Assert(got.EvidenceAge, qt.Equals, test.want.EvidenceAge)
		})
	}
}

// TestContradictedConclusions guards against conclusions about runs and incarnations that turn
// out to be wrong without a trace in the log.
func TestContradictedConclusions(t *testing.T) {
	running := []pollenfront.RunningRun{{Run: runID(0)}}
	tests := []struct {
		name     string
		conclude func(x *executor.Executor)
		response pollenfront.RenewalResponse
		want     executor.Evidence
	}{
		{
			name: "a run is listed after the lease expired", want: executor.LeaseExpired, response: pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1, Running: running},
			conclude: func(x *executor.Executor) { x.Tick(at(700)) },
		},
		{
			name: "a crashed server answers", want: executor.ConnectionRefused, response: pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1},
			conclude: func(x *executor.Executor) { x.HandleRenewalError(at(60), at(55), errRefused) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
			x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, nil)
			test.conclude(x)
			first := x.HandleRenewal(at(720), at(710), &test.response)
			c.Assert(first.Contradictions, qt.HasLen, 1)
			c.Assert(first.Contradictions[0].Conclusion, qt.Equals, test.want)
			again := x.HandleRenewal(at(740), at(730), &test.response)
			c.Assert(again.Contradictions, qt.HasLen, 0, qt.Commentf("each is reported once"))
		})
	}
}

// TestRestartsAreReported guards against second submissions of a job to another entry that
// leave no trace on the agent.
func TestRestartsAreReported(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	other := executor.EntryRef{Incarnation: 1, Name: "entry-2"}
	x.LinkEntry(at(0), other)
	x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
	x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, nil)
	x.Tick(at(670))
	x.HandleRenewal(at(676), at(675), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1})
	commands := startCommands(at(680), 0)
	commands.Starts[0].Tasks[0].Run = 9
	effects := x.HandleCommands(at(680), other, commands)
	c.Assert(effects.Restarts, qt.DeepEquals, []executor.Restart{{
		Age: 10 * time.Millisecond, EarlierEntry: "entry-1", EarlierRun: 1, Ending: pollenfront.EndingLost, Entry: "entry-2", Evidence: executor.LeaseExpired,
		Run: pollenfront.RunID{Number: 9, TaskID: runID(0).TaskID},
	}})
}
