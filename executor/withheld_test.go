package executor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// stopByEntry has testEntry stop task 1.
func stopByEntry(x *executor.Executor, ms int) {
	x.HandleCommands(at(ms), testEntry, &tasklink.Commands{EchoedClock: int64(at(ms)), Stops: []pollenfront.RunID{runID(1)}})
}

// confirmStop has the server confirm a stop of task 1, and answer renewals without a run.
func confirmStop(x *executor.Executor, ms int, incarnation uint64) {
	x.HandleStopResponse(at(ms), executor.StopRequest{Incarnation: incarnation, Run: runID(1), Token: 100}, 0, nil)
	x.HandleRenewal(at(ms+2), at(ms+1), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: incarnation})
}

// TestEndBeforeDelayedStart guards against a task that its entry starts elsewhere after a run
// failed, was lost or was stopped by the agent, while the next incarnation of the server carries
// out a start request for that run that got no response. It also guards against ends that are
// reported late although this can't happen.
func TestEndBeforeDelayedStart(t *testing.T) {
	listEnd := func(x *executor.Executor, ending pollenfront.Ending) {
		x.HandleRenewal(at(50), at(45), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1, Ended: []pollenfront.EndedRun{
			{Ending: ending, Run: runID(1), SeqNum: 1},
		}, Running: []pollenfront.RunningRun{{Run: runID(0)}}})
	}
	tests := []struct {
		name     string
		end      func(x *executor.Executor)
		want     pollenfront.Ending
		withheld bool
	}{
		{name: "failed", want: pollenfront.EndingFailed, withheld: true, end: func(x *executor.Executor) { listEnd(x, pollenfront.EndingFailed) }},
		{name: "lapsed", want: pollenfront.EndingLost, withheld: true, end: func(x *executor.Executor) { listEnd(x, pollenfront.EndingLost) }},
		{name: "not listed", want: pollenfront.EndingLost, withheld: true, end: func(x *executor.Executor) {
			x.HandleRenewal(at(50), at(45), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1})
		}},
		{name: "entry is silent", want: pollenfront.EndingStopped, withheld: true, end: func(x *executor.Executor) {
			x.Tick(at(650))
			confirmStop(x, 660, 1)
		}},
		{name: "done", want: pollenfront.EndingDone, end: func(x *executor.Executor) { listEnd(x, pollenfront.EndingDone) }},
		{name: "entry stops the run", want: pollenfront.EndingStopped, withheld: true, end: func(x *executor.Executor) {
			stopByEntry(x, 50)
			confirmStop(x, 55, 1)
		}},
		{name: "entry stops the run after its end", want: pollenfront.EndingFailed, withheld: true, end: func(x *executor.Executor) {
			listEnd(x, pollenfront.EndingFailed)
			stopByEntry(x, 60)
		}},
		{name: "server was restarted", want: pollenfront.EndingStopped, end: func(x *executor.Executor) {
			x.HandleRenewal(at(50), at(45), &pollenfront.RenewalResponse{Clock: time.Millisecond, Incarnation: 2})
			confirmStop(x, 55, 2)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newOpenStartExecutor() // The newest start of task 1 was sent at 35.
			test.end(x)
			if test.withheld {
				_, reported := reportedEndings(x, at(700))[1]
				c.Check(reported, qt.IsFalse)
				c.Check(x.Released(testEntry.Name), qt.IsFalse)
				states, _ := x.LinkEntry(at(700), testEntry)
				c.Check(states, qt.Contains, tasklink.RunState{Run: runID(1)})
				x.Tick(at(12_000))
				_, reported = reportedEndings(x, at(12_000))[1]
				c.Check(reported, qt.IsFalse)
				x.Tick(at(12_100))
			}
			c.Check(reportedEndings(x, at(12_100))[1], qt.Equals, test.want)
		})
	}
}

// TestWithheldEndOfFormerEntry guards against an end that is kept for an entry that was restarted
// meanwhile, and against one that is reported to the new incarnation.
func TestWithheldEndOfFormerEntry(t *testing.T) {
	c := qt.New(t)
	x := newOpenStartExecutor()
	x.HandleRenewal(at(50), at(45), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1})
	next := pollenfront.EntryRef{Incarnation: 2, Name: testEntry.Name}
	states, _ := x.LinkEntry(at(700), next)
	c.Check(states, qt.HasLen, 0)
	x.Tick(at(12_100))
	c.Check(reportedEndings(x, at(12_100)), qt.HasLen, 0)
}

// TestWithheldEndIsAnnounced guards against an entry that waits for a job although the end of one
// of its runs is withheld, also if the news was on its way when the link broke.
func TestWithheldEndIsAnnounced(t *testing.T) {
	c := qt.New(t)
	x := newOpenStartExecutor()
	x.HandleRenewal(at(50), at(45), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1})
	for _, want := range [][]pollenfront.RunID{{runID(1)}, nil} {
		update, ok := x.NextUpdate(at(60), testEntry.Name)
		c.Assert(ok, qt.IsTrue)
		c.Assert(update.Withheld, qt.DeepEquals, want)
	}
	x.LinkEntry(at(70), testEntry)
	update, ok := x.NextUpdate(at(71), testEntry.Name)
	c.Assert(ok, qt.IsTrue)
	c.Assert(update.Withheld, qt.DeepEquals, []pollenfront.RunID{runID(1)})
}

// TestEndBeforeAnswerOfStart guards against an end that is withheld because it overtakes the answer
// to the only start of the run, which can't be carried out again.
func TestEndBeforeAnswerOfStart(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	effects := x.HandleCommands(at(10), testEntry, startCommands(at(10), 0))
	c.Assert(effects.Starts, qt.HasLen, 1)
	x.HandleRenewal(at(16), at(15), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1, Ended: []pollenfront.EndedRun{
		{Ending: pollenfront.EndingFailed, Run: runID(0), SeqNum: 1},
	}})
	x.HandleStartResponse(at(18), effects.Starts[0], time.Second, nil)
	update, ok := x.NextUpdate(at(26), testEntry.Name)
	c.Assert(ok, qt.IsTrue)
	c.Assert(update.Withheld, qt.HasLen, 0)
	c.Assert(update.RunEnds, qt.HasLen, 1)
}
