package executor_test

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// at returns the time some milliseconds after the start of a test.
func at(ms int) time.Duration {
	return time.Minute + time.Duration(ms)*time.Millisecond
}

// testEntry is the only entry of the tests.
var testEntry = pollenfront.EntryRef{Incarnation: 1, Name: "entry-1"}

// newExecutor returns an executor whose server has the capacity for two tasks.
func newExecutor() *executor.Executor {
	x := executor.New("agent-1", "service", "west", 10)
	renewFirst(x)
	x.HandleAnnouncement(at(0), pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: 12000}, Clock: time.Second, Incarnation: 1, SeqNum: 1, Zone: "west"})
	x.LinkEntry(at(0), testEntry)
	return x
}

// renewFirst passes the response to the first renewal, which lists no runs. Agents link to
// entries only after that.
func renewFirst(x *executor.Executor) {
	x.HandleRenewal(at(-1), at(-2), &pollenfront.RenewalResponse{Clock: time.Second - time.Millisecond, Incarnation: 1})
}

// startCommands returns commands that start the first runs of tasks.
func startCommands(echo time.Duration, indexes ...int) *tasklink.Commands {
	start := tasklink.StartCommand{ExpectedRunTime: int64(100 * time.Millisecond), Job: "0a", Need: pollenfront.Resources{CPU: 6000}, Service: "service"}
	for _, i := range indexes {
		start.Tasks = append(start.Tasks, tasklink.StartTask{Index: i, Run: 1, SeqNum: uint64(i + 1)})
	}
	return &tasklink.Commands{EchoedClock: int64(echo), Starts: []tasklink.StartCommand{start}}
}

// runID returns the ID of the first run of a task.
func runID(index int) pollenfront.RunID {
	return pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Index: index, Job: "0a"}}
}

// startedTasks returns the indexes of the tasks that effects start.
func startedTasks(effects executor.Effects) []int {
	indexes := []int{}
	for _, request := range effects.Starts {
		indexes = append(indexes, request.Run.Index)
	}
	return indexes
}

// reportedEndings returns the endings in the next update to testEntry, by task.
func reportedEndings(x *executor.Executor, now time.Duration) map[int]pollenfront.Ending {
	update, _ := x.NextUpdate(now, testEntry.Name)
	endings := make(map[int]pollenfront.Ending)
	for _, end := range update.RunEnds {
		endings[end.Run.Index] = end.Ending
	}
	return endings
}

func TestTasksWaitForFreeResources(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	shortTasks := startCommands(at(0), 0, 1, 2)
	shortTasks.Starts[0].ExpectedRunTime = int64(20 * time.Millisecond)
	c.Assert(startedTasks(x.HandleCommands(at(0), testEntry, shortTasks)), qt.DeepEquals, []int{0, 1})
	for i := range 2 {
		x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(i)}, 0, nil)
	}
	effects := x.HandleRenewal(at(50), at(10), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1, Ended: []pollenfront.EndedRun{
		{Ending: pollenfront.EndingDone, Run: runID(0), SeqNum: 1},
	}, Running: []pollenfront.RunningRun{{Run: runID(1)}}})
	c.Assert(startedTasks(effects), qt.DeepEquals, []int{2})
	c.Assert(reportedEndings(x, at(50)), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingDone})
	c.Assert(x.NextRenewal(at(60)).AcknowledgedSeqNum, qt.Equals, uint64(1))
}

// TestFullServer guards against tasks that wait here although another server may be
// free. This happens when several entries see the same server as free. A task that
// would wait for too long must be returned at once.
func TestFullServer(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.HandleCommands(at(0), testEntry, startCommands(at(0), 0, 1, 2, 3, 4, 5))
	returned := reportedEndings(x, at(0))
	c.Assert(len(returned) >= 3, qt.IsTrue, qt.Commentf("%v", returned))
	for _, ending := range returned {
		c.Assert(ending, qt.Equals, pollenfront.EndingNotStarted)
	}
}

func TestRefusedStartCommands(t *testing.T) {
	tests := []struct {
		name   string
		before func(x *executor.Executor)
		now    time.Duration
	}{
		{name: "commands were delayed", now: at(600), before: func(*executor.Executor) {}},
		{name: "server is draining", now: at(1), before: func(x *executor.Executor) {
			x.HandleAnnouncement(at(1), pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: 12000}, Clock: time.Second, Draining: true, Incarnation: 1, SeqNum: 2, Zone: "west"})
		}},
		{name: "server has deregistered", now: at(1), before: func(x *executor.Executor) { x.HandleDeregistration(at(1)) }},
		{name: "zone is disabled", now: at(1), before: func(x *executor.Executor) {
			x.HandleCommands(at(1), testEntry, &tasklink.Commands{DisabledZones: tasklink.DisabledZones{Version: 2, Zones: []string{"west"}}, EchoedClock: int64(at(1))})
		}},
		{name: "agent is draining", now: at(1), before: func(x *executor.Executor) { x.Drain(at(1)) }},
		{name: "server does not respond", now: at(300), before: func(x *executor.Executor) { x.HandleRenewalError(at(300), at(1), context.DeadlineExceeded) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			test.before(x)
			c.Assert(startedTasks(x.HandleCommands(test.now, testEntry, startCommands(at(0), 0))), qt.HasLen, 0)
			c.Assert(reportedEndings(x, test.now), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingNotStarted})
		})
	}
}

func TestStoppedRuns(t *testing.T) {
	tests := []struct {
		name string
		// percent lists the progress that renewals report, one every 100 ms.
		percent []int
		// echo is whether the entry sends an echo before each renewal.
		echo    bool
		stopped bool
	}{
		{name: "normal progress", percent: []int{40, 80}, echo: true},
		{name: "no progress", percent: []int{10, 10, 10, 10, 10, 10}, echo: true, stopped: true},
		{name: "far too slow", percent: []int{1, 2, 3}, echo: true, stopped: true},
		{name: "silent entry", percent: []int{10, 20, 30, 40, 50, 60, 70, 80}, stopped: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
			x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, nil)
			stops := 0
			for i, percent := range test.percent {
				now := at(100 * (i + 1))
				if test.echo {
					x.HandleCommands(now, testEntry, &tasklink.Commands{EchoedClock: int64(now)})
				}
				x.NextRenewal(now)
				x.HandleRenewal(now, now-time.Millisecond, &pollenfront.RenewalResponse{
					Clock: time.Second, Incarnation: 1, Running: []pollenfront.RunningRun{{Percent: percent, Run: runID(0)}},
				})
				stops += len(x.Tick(now).Stops)
			}
			c.Assert(stops > 0, qt.Equals, test.stopped)
		})
	}
}

// TestUnansweredStart guards against reporting a run as not started while its start
// request may still be carried out. After a start without a response, the run ends
// only when a stop is confirmed and a later renewal does not list it. The end must be reported
// only when the next incarnation of the server can't carry out the start either.
func TestUnansweredStart(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.NextRenewal(at(0))
	x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
	var effects executor.Effects
	for ms := 35; len(effects.Stops) == 0 && ms < 200; ms += 15 {
		effects = x.HandleStartResponse(at(ms), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, context.DeadlineExceeded)
	}
	c.Assert(effects.Stops, qt.DeepEquals, []executor.StopRequest{{Incarnation: 1, Run: runID(0), Token: 10}})
	c.Assert(reportedEndings(x, at(200)), qt.HasLen, 0)
	response := &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1}
	c.Assert(x.HandleRenewal(at(210), at(190), response).Ended, qt.HasLen, 0)
	x.HandleStopResponse(at(220), effects.Stops[0], 0, nil)
	c.Assert(x.HandleRenewal(at(230), at(210), response).Ended, qt.HasLen, 0)
	ended := x.HandleRenewal(at(240), at(225), response).Ended
	c.Assert(ended, qt.HasLen, 1)
	c.Assert(ended[0].Evidence, qt.Equals, executor.StoppedAndUnlisted)
	x.Tick(at(12000))
	c.Assert(reportedEndings(x, at(12000)), qt.HasLen, 0)
	x.Tick(at(12200))
	c.Assert(reportedEndings(x, at(12200)), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingNotStarted})
}

// TestRepeatedStart checks a start whose first request was not answered. The request
// is repeated, and if the server refuses the repeated one, the run must not be
// reported as not started, since the first request may have been carried out.
func TestRepeatedStart(t *testing.T) {
	tests := []struct {
		name    string
		err     error // err is the server's response to the repeated request.
		running bool
		stopped bool
	}{
		{name: "started", running: true},
		{name: "started before and ended", err: pollenfront.ErrRunSuperseded, running: true},
		{name: "no capacity", err: pollenfront.ErrNoCapacity, stopped: true},
		{name: "another incarnation", err: pollenfront.ErrReplaced, stopped: true},
		{name: "fenced", err: pollenfront.ErrFenced, stopped: true},
		{name: "rejected", err: pollenfront.ErrRejected, stopped: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			x.NextRenewal(at(0))
			x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
			effects := x.HandleStartResponse(at(35), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, context.DeadlineExceeded)
			c.Assert(startedTasks(effects), qt.DeepEquals, []int{0})
			c.Assert(x.Report(at(35)).State, qt.Equals, tasklink.StateReady)
			effects = x.HandleStartResponse(at(36), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, test.err)
			c.Assert(len(effects.Stops) > 0, qt.Equals, test.stopped)
			c.Assert(reportedEndings(x, at(36)), qt.HasLen, 0)
			if test.running {
				x.HandleRenewal(at(40), at(38), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1, Ended: []pollenfront.EndedRun{
					{Ending: pollenfront.EndingDone, Run: runID(0), SeqNum: 1},
				}})
				c.Assert(reportedEndings(x, at(40)), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingDone})
			}
		})
	}
}

// TestStartOnBrokenConnection guards against repeating a start in a tight loop. This
// could happen when each connection to the server breaks at once.
func TestStartOnBrokenConnection(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
	c.Assert(startedTasks(x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, io.ErrUnexpectedEOF)), qt.HasLen, 0)
	c.Assert(startedTasks(x.Tick(at(10))), qt.HasLen, 0)
	c.Assert(startedTasks(x.Tick(at(25))), qt.DeepEquals, []int{0})
}

// TestUnresponsiveServer checks that a server that responds to no request becomes
// unavailable, and ready again when it responds to a renewal.
func TestUnresponsiveServer(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
	stops := 0
	for ms := 35; ms <= 110; ms += 15 {
		stops += len(x.HandleStartResponse(at(ms), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, context.DeadlineExceeded).Stops)
	}
	c.Assert(stops > 0, qt.IsTrue)
	c.Assert(x.Report(at(110)).State, qt.Equals, tasklink.StateUnavailable)
	x.HandleRenewal(at(120), at(119), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1})
	c.Assert(x.Report(at(120)).State, qt.Equals, tasklink.StateReady)
}

// TestSuspendedAgent guards against starts by an agent that was suspended, for an entry
// that considers the agent lost by now. The agent must start nothing, whichever
// message it handles first when it resumes.
func TestSuspendedAgent(t *testing.T) {
	tests := []struct {
		name       string
		firstEvent func(x *executor.Executor) executor.Effects
	}{
		{name: "start was not answered", firstEvent: func(x *executor.Executor) executor.Effects {
			return x.HandleStartResponse(at(1500), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, context.DeadlineExceeded)
		}},
		{name: "resources become free", firstEvent: func(x *executor.Executor) executor.Effects {
			return x.HandleRenewal(at(1500), at(10), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1, Ended: []pollenfront.EndedRun{
				{Ending: pollenfront.EndingDone, Run: runID(0), SeqNum: 1},
			}})
		}},
		{name: "entry links again", firstEvent: func(x *executor.Executor) executor.Effects {
			_, effects := x.LinkEntry(at(1500), testEntry)
			more := x.HandleStartResponse(at(1501), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, context.DeadlineExceeded)
			effects.Starts = append(effects.Starts, more.Starts...)
			return effects
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newExecutor()
			x.NextRenewal(at(0))
			shortTasks := startCommands(at(0), 0, 1, 2)
			shortTasks.Starts[0].ExpectedRunTime = int64(20 * time.Millisecond)
			x.HandleCommands(at(0), testEntry, shortTasks)
			qt.Assert(t, startedTasks(test.firstEvent(x)), qt.HasLen, 0)
		})
	}
}

// TestAcknowledgements checks that ends of runs are not acknowledged to a server that
// may have been restarted. A restarted server numbers them from 1 again, and would drop
// new ones that the agent has not received.
func TestAcknowledgements(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.HandleRenewal(at(10), at(5), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1, Ended: []pollenfront.EndedRun{
		{Ending: pollenfront.EndingDone, Run: runID(0), SeqNum: 7},
	}})
	c.Assert(x.NextRenewal(at(11)).AcknowledgedSeqNum, qt.Equals, uint64(7))
	x.HandleStopResponse(at(999), executor.StopRequest{Incarnation: 1, Run: runID(0)}, 0, nil) // This response does not show which incarnation sent it.
	c.Assert(x.NextRenewal(at(1000)).AcknowledgedSeqNum, qt.Equals, uint64(0))
	x.HandleRenewal(at(1010), at(1005), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1})
	c.Assert(x.NextRenewal(at(1011)).AcknowledgedSeqNum, qt.Equals, uint64(7))
}

// TestRestartedServer checks that a run whose start request may have reached the new
// incarnation of a restarted server is stopped there before its end is reported.
func TestRestartedServer(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.NextRenewal(at(0))
	x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
	effects := x.HandleRenewal(at(10), at(5), &pollenfront.RenewalResponse{Clock: time.Millisecond, Incarnation: 2, Running: []pollenfront.RunningRun{{Run: runID(0)}}})
	c.Assert(len(effects.Stops) > 0, qt.IsTrue)
	c.Assert(effects.Stops[0].Token, qt.Equals, uint64(11))
	c.Assert(reportedEndings(x, at(10)), qt.HasLen, 0)
	x.HandleRenewal(at(30), at(20), &pollenfront.RenewalResponse{Clock: time.Millisecond, Incarnation: 2, Ended: []pollenfront.EndedRun{
		{Ending: pollenfront.EndingStopped, Run: runID(0), SeqNum: 1},
	}})
	c.Assert(reportedEndings(x, at(30)), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingStopped})
}

// TestRestoreAnnouncement checks that a restarted agent uses its server before the
// next announcement, but only if the server has not been restarted too.
func TestRestoreAnnouncement(t *testing.T) {
	tests := []struct {
		name        string
		incarnation uint64 // incarnation is the one that the server reports.
		state       tasklink.State
	}{
		{name: "same incarnation", incarnation: 3, state: tasklink.StateReady},
		{name: "later incarnation", incarnation: 4, state: tasklink.StateUnavailable},
	}
	for _, test := range tests {
		for _, renewedFirst := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				x := executor.New("agent-1", "service", "west", 10)
				renew := func() {
					x.HandleRenewal(at(10), at(5), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: test.incarnation})
				}
				if renewedFirst {
					renew()
				}
				x.RestoreAnnouncement(at(20), pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: 12000}, Incarnation: 3, Zone: "west"})
				if !renewedFirst {
					renew()
				}
				qt.Assert(t, x.Report(at(30)).State, qt.Equals, test.state)
			})
		}
	}
}

func TestLeaseExpires(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.NextRenewal(at(0))
	x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
	x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, nil)
	x.HandleCommands(at(600), testEntry, &tasklink.Commands{EchoedClock: int64(at(600))})
	x.Tick(at(660))
	c.Assert(reportedEndings(x, at(660)), qt.HasLen, 0, qt.Commentf("the server's clock may be 2 %% slow, and the runs take 50 ms to end"))
	x.Tick(at(670))
	c.Assert(reportedEndings(x, at(670)), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingLost})
}

// TestRelink checks that an entry that links again receives the state of its runs, and
// that the runs of an earlier incarnation of it are stopped and not reported to it.
func TestRelink(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.HandleCommands(at(0), testEntry, startCommands(at(0), 0, 1))
	x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, nil)
	x.UnlinkEntry(testEntry)
	x.HandleStartResponse(at(2), pollenfront.StartRequest{Incarnation: 1, Run: runID(1)}, 0, pollenfront.ErrRejected)
	runs, _ := x.LinkEntry(at(3), testEntry)
	c.Assert(runs, qt.DeepEquals, []tasklink.RunState{
		{Run: runID(0)},
		{Ending: pollenfront.EndingFailed, Evidence: tasklink.StartRefused, EvidenceAge: time.Millisecond, Reason: pollenfront.ErrRejected.Error(), Run: runID(1)},
	})
	later := pollenfront.EntryRef{Incarnation: 2, Name: testEntry.Name}
	runs, effects := x.LinkEntry(at(4), later)
	c.Assert(runs, qt.HasLen, 0)
	c.Assert(effects.Stops, qt.HasLen, 1)
}

// TestRelease checks that a released entry is reported a draining server, that its runs
// go on, and that its link may be closed only when it has echoed that report and all of
// its runs have ended. A start command that crosses the report is still carried out.
func TestRelease(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
	x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, nil)
	c.Assert(x.Release(at(10), testEntry.Name).Notify, qt.DeepEquals, []string{testEntry.Name})
	update, _ := x.NextUpdate(at(10), testEntry.Name)
	c.Assert(update.Report.State, qt.Equals, tasklink.StateDraining)
	c.Assert(x.Release(at(11), testEntry.Name).Notify, qt.HasLen, 0)
	c.Assert(startedTasks(x.HandleCommands(at(11), testEntry, startCommands(at(5), 1))), qt.DeepEquals, []int{1})
	x.HandleStartResponse(at(12), pollenfront.StartRequest{Incarnation: 1, Run: runID(1)}, 0, nil)
	x.HandleRenewal(at(50), at(20), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1, Ended: []pollenfront.EndedRun{
		{Ending: pollenfront.EndingDone, Run: runID(0), SeqNum: 1}, {Ending: pollenfront.EndingDone, Run: runID(1), SeqNum: 2},
	}})
	c.Assert(x.Released(testEntry.Name), qt.IsFalse, qt.Commentf("the ends were not reported"))
	c.Assert(reportedEndings(x, at(51)), qt.HasLen, 2)
	c.Assert(x.Released(testEntry.Name), qt.IsFalse, qt.Commentf("the entry has not echoed the report"))
	x.HandleCommands(at(60), testEntry, &tasklink.Commands{EchoedClock: int64(at(51))})
	c.Assert(x.Released(testEntry.Name), qt.IsTrue)
	c.Assert(x.Retain(testEntry.Name).Notify, qt.DeepEquals, []string{testEntry.Name})
	update, _ = x.NextUpdate(at(61), testEntry.Name)
	c.Assert(update.Report.State, qt.Equals, tasklink.StateReady)
	c.Assert(x.Released(testEntry.Name), qt.IsFalse)
}

// TestProgressOfLateReport checks that the speed of a run is judged by its progress at the
// time of the report. Between two renewals the progress is not known, and a run that goes
// well must not be stopped for having been at its beginning in the newest report.
func TestProgressOfLateReport(t *testing.T) {
	tests := []struct {
		name       string
		reportedAt int // reportedAt is the time of the newest report, in milliseconds.
		stops      int
	}{
		{name: "on time when reported", reportedAt: 20, stops: 0},
		{name: "far too slow when reported", reportedAt: 130, stops: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
			x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, nil)
			x.HandleRenewal(at(test.reportedAt), at(10), &pollenfront.RenewalResponse{
				Clock: time.Second, Incarnation: 1, Running: []pollenfront.RunningRun{{Percent: 15, Run: runID(0)}},
			})
			c.Assert(x.Tick(at(140)).Stops, qt.HasLen, test.stops)
		})
	}
}
