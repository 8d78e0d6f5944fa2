package executor_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
)

// newLargeExecutor returns an executor whose server has the capacity for ten tasks and
// runs the given number of them.
func newLargeExecutor(runs int) *executor.Executor {
	x := executor.New("agent-1", "service", "west", 10)
	renewFirst(x)
	x.HandleAnnouncement(at(0), announcement(1, 60000))
	x.LinkEntry(at(0), testEntry)
	listRuns(x, 0)
	for i := range runs {
		x.HandleCommands(at(0), testEntry, startCommands(at(0), i))
		answerStart(x, 1, i, nil)
	}
	return x
}

// announcement returns the first announcement of an incarnation.
func announcement(incarnation uint64, cpu int) pollenfront.Announcement {
	return pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: cpu}, Clock: time.Second, Incarnation: incarnation, SeqNum: 1, Zone: "west"}
}

// answerStart passes the server's answer to the start of a task.
func answerStart(x *executor.Executor, ms, index int, err error) executor.Effects {
	return x.HandleStartResponse(at(ms), pollenfront.StartRequest{Incarnation: 1, Run: runID(index)}, 0, err)
}

// listRuns passes a response to a renewal that lists runs.
func listRuns(x *executor.Executor, ms int, indexes ...int) {
	response := &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1}
	for _, i := range indexes {
		response.Running = append(response.Running, pollenfront.RunningRun{Run: runID(i)})
	}
	x.HandleRenewal(at(ms), at(ms), response)
}

// effectiveCPU returns the CPU that the agent reports as provided.
func effectiveCPU(x *executor.Executor, ms int) int {
	return x.Report(at(ms)).EffectiveCapacity.CPU
}

// TestRejectedStartIsReported checks that after a rejected start the entry knows at once
// that the server provides less, gets the task back, and is still told what is announced.
func TestRejectedStartIsReported(t *testing.T) {
	c := qt.New(t)
	x := newLargeExecutor(5)
	x.HandleCommands(at(2), testEntry, startCommands(at(0), 5))
	effects := answerStart(x, 3, 5, pollenfront.ErrNoCapacity)
	c.Assert(effects.Notify, qt.DeepEquals, []string{testEntry.Name})
	update, _ := x.NextUpdate(at(3), testEntry.Name)
	c.Assert(update.RunEnds, qt.HasLen, 1)
	c.Assert(update.RunEnds[0].Ending, qt.Equals, pollenfront.EndingNotStarted)
	c.Assert(update.Report.Capacity.CPU, qt.Equals, 60000)
	c.Assert(update.Report.EffectiveCapacity.CPU, qt.Equals, 30000)
	c.Assert(update.Report.Free.CPU, qt.Equals, 0)
	c.Assert(update.Report.Waits[0] > 0, qt.IsTrue)
}

// TestRejectionsOfQueuedTasks guards against tasks that stay in the queue although what the
// server provides no longer suffices for them.
func TestRejectionsOfQueuedTasks(t *testing.T) {
	c := qt.New(t)
	x := newLargeExecutor(9)
	x.HandleCommands(at(70), testEntry, startCommands(at(70), 9))
	x.HandleCommands(at(70), testEntry, startCommands(at(70), 10))
	c.Assert(reportedEndings(x, at(70)), qt.HasLen, 0)
	answerStart(x, 71, 9, pollenfront.ErrNoCapacity)
	c.Assert(reportedEndings(x, at(71)), qt.HasLen, 0, qt.Commentf("runs are expected to end in time for both"))
	x = newLargeExecutor(1)
	x.HandleCommands(at(2), testEntry, startCommands(at(0), 1, 2, 3, 4, 5, 6, 7, 8, 9))
	for i := 1; i < 10; i++ {
		answerStart(x, 3, i, pollenfront.ErrNoCapacity)
	}
	c.Assert(reportedEndings(x, at(3)), qt.HasLen, 9)
	c.Assert(effectiveCPU(x, 3), qt.Equals, 6000)
}

// TestUninformativeRejections guards against a healthy server that counts as small because
// of a rejection that has another cause than its capacity.
func TestUninformativeRejections(t *testing.T) {
	c := qt.New(t)
	x := newLargeExecutor(9)
	x.HandleCommands(at(20), testEntry, startCommands(at(0), 9))
	x.HandleRenewal(at(21), at(10), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1, Ended: []pollenfront.EndedRun{
		{Ending: pollenfront.EndingDone, Run: runID(0), SeqNum: 1},
	}})
	answerStart(x, 22, 9, pollenfront.ErrNoCapacity)
	c.Assert(effectiveCPU(x, 22), qt.Equals, 54000, qt.Commentf("a run that has ended since the request was sent counts as in use"))

	x = newLargeExecutor(3)
	listRuns(x, 20, 0, 1, 2, 7)
	x.HandleCommands(at(20), testEntry, startCommands(at(0), 9))
	answerStart(x, 22, 9, pollenfront.ErrNoCapacity)
	c.Assert(effectiveCPU(x, 22), qt.Equals, 60000, qt.Commentf("the server runs a task that the agent does not know"))

	x = newLargeExecutor(3)
	stop := startCommands(at(0))
	stop.Starts, stop.Stops = nil, []pollenfront.RunID{runID(0), runID(1)}
	x.HandleCommands(at(20), testEntry, stop)
	x.HandleCommands(at(20), testEntry, startCommands(at(0), 9))
	answerStart(x, 22, 9, pollenfront.ErrNoCapacity)
	c.Assert(effectiveCPU(x, 22), qt.Equals, 18000, qt.Commentf("runs that are being stopped count as in use"))
}

// TestRepeatedStartIsNoProbe guards against raising the learned capacity because of a run
// that the server started long before it was full.
func TestRepeatedStartIsNoProbe(t *testing.T) {
	c := qt.New(t)
	x := newLargeExecutor(5)
	x.HandleCommands(at(2), testEntry, startCommands(at(0), 5))
	answerStart(x, 3, 5, pollenfront.ErrNoCapacity)
	c.Assert(startedTasks(x.HandleCommands(at(60), testEntry, startCommands(at(60), 6))), qt.DeepEquals, []int{6})
	x.HandleStartResponse(at(95), pollenfront.StartRequest{Incarnation: 1, Run: runID(6)}, 0, context.DeadlineExceeded)
	answerStart(x, 97, 6, nil)
	c.Assert(effectiveCPU(x, 97), qt.Equals, 30000)
	c.Assert(startedTasks(x.HandleCommands(at(100), testEntry, startCommands(at(100), 7))), qt.DeepEquals, []int{7})
	answerStart(x, 101, 7, nil)
	c.Assert(effectiveCPU(x, 101), qt.Equals, 42000)
}

// TestLearnedCapacityIsReplaced checks that another announced capacity and another
// incarnation of the server replace what was learned, and that the same announcement does
// not.
func TestLearnedCapacityIsReplaced(t *testing.T) {
	tests := []struct {
		name         string
		announcement pollenfront.Announcement
		want         int
	}{
		{name: "the same", announcement: announcement(1, 60000), want: 30000},
		{name: "another capacity", announcement: announcement(1, 48000), want: 48000},
		{name: "another incarnation", announcement: announcement(2, 60000), want: 60000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newLargeExecutor(5)
			x.HandleCommands(at(2), testEntry, startCommands(at(0), 5))
			answerStart(x, 3, 5, pollenfront.ErrNoCapacity)
			test.announcement.SeqNum++
			x.HandleAnnouncement(at(4), test.announcement)
			x.HandleRenewal(at(4), at(4), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: test.announcement.Incarnation})
			qt.Assert(t, effectiveCPU(x, 4), qt.Equals, test.want)
		})
	}
}
