package executor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// otherEntry is an entry that takes requests to cancel jobs of testEntry.
var otherEntry = pollenfront.EntryRef{Incarnation: 1, Name: "entry-2"}

// canceledJob is the job of startCommands.
var canceledJob = pollenfront.JobRef{ID: "0a"}

// cancelCommands returns commands with the cancellation of a job.
func cancelCommands(echo time.Duration, job pollenfront.JobRef) *tasklink.Commands {
	return &tasklink.Commands{Cancellations: []pollenfront.Cancellation{{JobRef: job}}, CancellationSeqNum: 7, EchoedClock: int64(echo)}
}

// newCancelExecutor returns an executor with links to testEntry and otherEntry, and a started run
// of testEntry.
func newCancelExecutor() *executor.Executor {
	x := newExecutor()
	x.LinkEntry(at(0), otherEntry)
	x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
	x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, nil)
	return x
}

// TestCancellationFromOtherEntry guards against runs that go on after their job was canceled at
// another entry than the one that has sent them, and against later starts of it.
func TestCancellationFromOtherEntry(t *testing.T) {
	c := qt.New(t)
	x := newCancelExecutor()
	effects := x.HandleCommands(at(10), otherEntry, cancelCommands(at(9), canceledJob))
	c.Assert(effects.Stops, qt.HasLen, 1)
	c.Assert(effects.Stops[0].Run, qt.Equals, runID(0))
	c.Assert(x.Tick(at(25)).Notify, qt.DeepEquals, []string{testEntry.Name})
	update, _ := x.NextUpdate(at(25), testEntry.Name)
	c.Assert(update.Cancellations, qt.DeepEquals, []pollenfront.Cancellation{{Age: 15 * time.Millisecond, JobRef: canceledJob}})
	c.Assert(update.RunEnds, qt.HasLen, 0, qt.Commentf("nothing has shown that the run is over"))
	answer, _ := x.NextUpdate(at(25), otherEntry.Name)
	c.Assert(answer.Cancellations, qt.HasLen, 0)
	c.Assert(answer.CancellationSeqNum, qt.Equals, uint64(7))
	c.Assert(startedTasks(x.HandleCommands(at(30), testEntry, startCommands(at(29), 1))), qt.HasLen, 0)
	c.Assert(reportedEndings(x, at(30)), qt.DeepEquals, map[int]pollenfront.Ending{1: pollenfront.EndingNotStarted})
}

// TestCancellationOfOtherJobs guards against runs that are stopped by the cancellation of another
// job, with the same ID on another route or with another ID.
func TestCancellationOfOtherJobs(t *testing.T) {
	for _, job := range []pollenfront.JobRef{{ID: "0a", Route: "other"}, {ID: "0b"}} {
		c := qt.New(t)
		x := newCancelExecutor()
		c.Assert(x.HandleCommands(at(10), otherEntry, cancelCommands(at(9), job)).Stops, qt.HasLen, 0)
		c.Assert(startedTasks(x.HandleCommands(at(30), testEntry, startCommands(at(29), 1))), qt.DeepEquals, []int{1})
	}
}

// TestLostStopOfCanceledJob guards against a run that goes on as the stop of its canceled job gets
// lost: the stop is repeated at each tick, and the lease is not extended for the run. It is over
// only when the server shows it.
func TestLostStopOfCanceledJob(t *testing.T) {
	c := qt.New(t)
	x := newCancelExecutor()
	x.HandleCommands(at(10), otherEntry, cancelCommands(at(9), canceledJob))
	for ms := 25; ms <= 500; ms += 25 {
		x.HandleCommands(at(ms), testEntry, &tasklink.Commands{EchoedClock: int64(at(ms))})
		c.Assert(x.Tick(at(ms)).Stops, qt.HasLen, 1, qt.Commentf("%d ms", ms))
		request := x.NextRenewal(at(ms))
		c.Assert(request.LeaseExpiry <= serverClock(at(10))+executor.Lease, qt.IsTrue, qt.Commentf("%d ms: the lease ends at %v", ms, request.LeaseExpiry))
		x.HandleRenewal(at(ms), at(ms), &pollenfront.RenewalResponse{Clock: serverClock(at(ms)), Incarnation: 1, Running: []pollenfront.RunningRun{{Run: runID(0)}}})
		c.Assert(reportedEndings(x, at(ms)), qt.HasLen, 0)
	}
	x.HandleRenewal(at(520), at(510), &pollenfront.RenewalResponse{Clock: serverClock(at(520)), Incarnation: 1, Ended: []pollenfront.EndedRun{
		{Ending: pollenfront.EndingStopped, Run: runID(0), SeqNum: 1},
	}})
	c.Assert(reportedEndings(x, at(520)), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingStopped})
}

// TestCancellationsOfNewLink guards against an owner that learns of the end of a stopped run before
// it learns of the cancellation, and places the task again: the hello on a new link has both.
func TestCancellationsOfNewLink(t *testing.T) {
	c := qt.New(t)
	x := newCancelExecutor()
	x.UnlinkEntry(testEntry)
	x.HandleCommands(at(10), otherEntry, cancelCommands(at(9), canceledJob))
	c.Assert(x.Tick(at(25)).Notify, qt.HasLen, 0)
	for range 2 {
		x.LinkEntry(at(40), testEntry)
		c.Assert(x.NextCancellations(at(40), testEntry.Name), qt.HasLen, 1)
		update, _ := x.NextUpdate(at(40), testEntry.Name)
		c.Assert(update.Cancellations, qt.HasLen, 0)
	}
}

// TestCancellationOnRenamedRoute guards against runs that go on after the cancellation of their job,
// since operators have given its route another name after the start (review case 10).
func TestCancellationOnRenamedRoute(t *testing.T) {
	c := qt.New(t)
	x := newCancelExecutor()
	start := startCommands(at(5), 1)
	start.Starts[0].Route, start.Starts[0].RouteAddress = "before", "desk.example/jobs/"
	c.Assert(startedTasks(x.HandleCommands(at(6), testEntry, start)), qt.DeepEquals, []int{1})
	job := pollenfront.JobRef{ID: "0a", Route: "desk.example/jobs/"}
	effects := x.HandleCommands(at(10), otherEntry, cancelCommands(at(9), job))
	c.Assert(effects.Stops, qt.HasLen, 1)
	c.Assert(effects.Stops[0].Run, qt.Equals, runID(1))
	again := startCommands(at(11), 2)
	again.Starts[0].Route, again.Starts[0].RouteAddress = "after", "desk.example/jobs/"
	c.Assert(startedTasks(x.HandleCommands(at(12), testEntry, again)), qt.HasLen, 0)
}
