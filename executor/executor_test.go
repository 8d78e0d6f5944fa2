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

// at is an instant, in milliseconds after the first.
func at(ms int) time.Duration {
	return time.Minute + time.Duration(ms)*time.Millisecond
}

// entry is the only entry of the tests.
var entry = pollenfront.EntryRef{Incarnation: 1, Name: "entry-1"}

// newExecutor returns an executor whose server has room for two tasks.
func newExecutor() *executor.Executor {
	x := executor.New("service", "west", 10)
	x.HandleAnnouncement(at(0), pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: 12000}, Clock: time.Second, Incarnation: 1, Sequence: 1, Zone: "west"})
	x.LinkEntry(at(0), entry)
	return x
}

// order returns an order of tasks by their indexes.
func order(echo time.Duration, indexes ...int) *tasklink.Commands {
	s := tasklink.StartCommand{Expected: int64(100 * time.Millisecond), Job: "0a", Need: pollenfront.Resources{CPU: 6000}, Service: "service"}
	for _, i := range indexes {
		s.Tasks = append(s.Tasks, tasklink.StartTask{Index: i, Run: 1, SeqNum: uint64(i + 1)})
	}
	return &tasklink.Commands{Echo: int64(echo), Starts: []tasklink.StartCommand{s}}
}

// runID returns the first run of a task.
func runID(index int) pollenfront.RunID {
	return pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Index: index, Job: "0a"}}
}

// started returns the tasks that effects start.
func started(fx executor.Effects) []int {
	indexes := []int{}
	for _, s := range fx.Starts {
		indexes = append(indexes, s.Run.Index)
	}
	return indexes
}

// ends returns the endings that wait for the entry, by task.
func ends(x *executor.Executor, now time.Duration) map[int]pollenfront.Ending {
	u, _ := x.Update(now, entry.Name)
	all := make(map[int]pollenfront.Ending)
	for _, end := range u.RunEnds {
		all[end.Run.Index] = end.Ending
	}
	return all
}

func TestTasksWaitForRoom(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	short := order(at(0), 0, 1, 2)
	short.Starts[0].Expected = int64(20 * time.Millisecond)
	c.Assert(started(x.HandleCommands(at(0), entry, short)), qt.DeepEquals, []int{0, 1})
	for i := range 2 {
		x.HandleStartResponse(at(1), pollenfront.StartRequest{Run: runID(i)}, 0, nil)
	}
	fx := x.HandleRenewal(at(50), at(10), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1, Ended: []pollenfront.EndedRun{
		{Ending: pollenfront.EndingDone, Run: runID(0), SeqNum: 1},
	}, Running: []pollenfront.RunningRun{{Run: runID(1)}}})
	c.Assert(started(fx), qt.DeepEquals, []int{2})
	c.Assert(ends(x, at(50)), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingDone})
	c.Assert(x.NextRenewal(at(60)).Acknowledged, qt.Equals, uint64(1))
}

// TestFullServer replays many entries that find the same server free: what
// would wait for long goes back at once.
func TestFullServer(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.HandleCommands(at(0), entry, order(at(0), 0, 1, 2, 3, 4, 5))
	returned := ends(x, at(0))
	c.Assert(len(returned) >= 3, qt.IsTrue, qt.Commentf("%v", returned))
	for _, ending := range returned {
		c.Assert(ending, qt.Equals, pollenfront.EndingNotStarted)
	}
}

func TestOrdersThatAreRefused(t *testing.T) {
	tests := []struct {
		name   string
		before func(x *executor.Executor)
		now    time.Duration
	}{
		{name: "an order that was delayed", now: at(600), before: func(*executor.Executor) {}},
		{name: "a server that drains", now: at(1), before: func(x *executor.Executor) {
			x.HandleAnnouncement(at(1), pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: 12000}, Clock: time.Second, Draining: true, Incarnation: 1, Sequence: 2, Zone: "west"})
		}},
		{name: "a server that has left", now: at(1), before: func(x *executor.Executor) { x.HandleDeregistration(at(1)) }},
		{name: "a zone out of service", now: at(1), before: func(x *executor.Executor) {
			x.HandleCommands(at(1), entry, &tasklink.Commands{DisabledZones: tasklink.DisabledZones{Version: 2, Zones: []string{"west"}}, Echo: int64(at(1))})
		}},
		{name: "an agent that leaves", now: at(1), before: func(x *executor.Executor) { x.Drain(at(1)) }},
		{name: "a server that does not answer", now: at(1), before: func(x *executor.Executor) { x.HandleRenewalError(at(1), context.DeadlineExceeded) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			test.before(x)
			c.Assert(started(x.HandleCommands(test.now, entry, order(at(0), 0))), qt.HasLen, 0)
			c.Assert(ends(x, test.now), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingNotStarted})
		})
	}
}

func TestRunsThatAreStopped(t *testing.T) {
	tests := []struct {
		name    string
		percent []int // Progress in renewals at each 100 ms.
		hear    bool  // Whether the entry is heard meanwhile.
		stopped bool
	}{
		{name: "a run that goes on", percent: []int{40, 80}, hear: true},
		{name: "a run that makes no progress", percent: []int{10, 10, 10, 10, 10, 10}, hear: true, stopped: true},
		{name: "a run that is far too slow", percent: []int{1, 2, 3}, hear: true, stopped: true},
		{name: "a run whose entry is silent", percent: []int{10, 20, 30, 40, 50, 60, 70, 80}, stopped: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			x.HandleCommands(at(0), entry, order(at(0), 0))
			x.HandleStartResponse(at(1), pollenfront.StartRequest{Run: runID(0)}, 0, nil)
			stops := 0
			for i, percent := range test.percent {
				now := at(100 * (i + 1))
				if test.hear {
					x.HandleCommands(now, entry, &tasklink.Commands{Echo: int64(now)})
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

// TestUnansweredStart checks that a start without an answer is fenced by a stop
// before its entry is told, since it may still be carried out.
func TestUnansweredStart(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.NextRenewal(at(0))
	x.HandleCommands(at(0), entry, order(at(0), 0))
	var fx executor.Effects
	for ms := 35; len(fx.Stops) == 0 && ms < 200; ms += 15 {
		fx = x.HandleStartResponse(at(ms), pollenfront.StartRequest{Run: runID(0)}, 0, context.DeadlineExceeded)
	}
	c.Assert(fx.Stops, qt.DeepEquals, []executor.StopRequest{{Run: runID(0), Token: 10}})
	c.Assert(ends(x, at(200)), qt.HasLen, 0)
	reply := &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1}
	x.HandleRenewal(at(210), at(190), reply)
	c.Assert(ends(x, at(210)), qt.HasLen, 0)
	x.HandleStopResponse(at(220), runID(0), 0, nil)
	x.HandleRenewal(at(230), at(210), reply)
	c.Assert(ends(x, at(230)), qt.HasLen, 0)
	x.HandleRenewal(at(240), at(225), reply)
	c.Assert(ends(x, at(240)), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingNotStarted})
}

// TestRepeatedStart replays orders that are lost on the way to the server: the
// start is ordered again, and the server's refusal of a repeated one does not
// say that no earlier one was carried out.
func TestRepeatedStart(t *testing.T) {
	tests := []struct {
		name    string
		err     error // Of the repeated start.
		running bool
		stopped bool
	}{
		{name: "carried out", running: true},
		{name: "carried out before and over", err: pollenfront.ErrRunSuperseded, running: true},
		{name: "no room", err: pollenfront.ErrNoCapacity, stopped: true},
		{name: "another incarnation", err: pollenfront.ErrReplaced, stopped: true},
		{name: "fenced", err: pollenfront.ErrFenced, stopped: true},
		{name: "rejected", err: pollenfront.ErrRejected, stopped: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			x.NextRenewal(at(0))
			x.HandleCommands(at(0), entry, order(at(0), 0))
			fx := x.HandleStartResponse(at(35), pollenfront.StartRequest{Run: runID(0)}, 0, context.DeadlineExceeded)
			c.Assert(started(fx), qt.DeepEquals, []int{0})
			c.Assert(x.Report(at(35)).State, qt.Equals, tasklink.StateReady)
			fx = x.HandleStartResponse(at(36), pollenfront.StartRequest{Run: runID(0)}, 0, test.err)
			c.Assert(len(fx.Stops) > 0, qt.Equals, test.stopped)
			c.Assert(ends(x, at(36)), qt.HasLen, 0)
			if test.running {
				x.HandleRenewal(at(40), at(38), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1, Ended: []pollenfront.EndedRun{
					{Ending: pollenfront.EndingDone, Run: runID(0), SeqNum: 1},
				}})
				c.Assert(ends(x, at(40)), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingDone})
			}
		})
	}
}

// TestBrokenConnections checks that a start is not repeated in a tight loop.
func TestBrokenConnections(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.HandleCommands(at(0), entry, order(at(0), 0))
	c.Assert(started(x.HandleStartResponse(at(1), pollenfront.StartRequest{Run: runID(0)}, 0, io.ErrUnexpectedEOF)), qt.HasLen, 0)
	c.Assert(started(x.Tick(at(10))), qt.HasLen, 0)
	c.Assert(started(x.Tick(at(25))), qt.DeepEquals, []int{0})
}

// TestAwayServer checks that a server that answers nothing gets no more tasks,
// and that a renewal which is answered ends that.
func TestAwayServer(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.HandleCommands(at(0), entry, order(at(0), 0))
	stops := 0
	for ms := 35; ms <= 110; ms += 15 {
		stops += len(x.HandleStartResponse(at(ms), pollenfront.StartRequest{Run: runID(0)}, 0, context.DeadlineExceeded).Stops)
	}
	c.Assert(stops > 0, qt.IsTrue)
	c.Assert(x.Report(at(110)).State, qt.Equals, tasklink.StateUnavailable)
	x.HandleRenewal(at(120), at(119), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1})
	c.Assert(x.Report(at(120)).State, qt.Equals, tasklink.StateReady)
}

// TestWakingBesideSilence checks that an agent that was suspended starts nothing
// for an entry that has given it up meanwhile, whatever it hears first.
func TestWakingBesideSilence(t *testing.T) {
	tests := []struct {
		name string
		wake func(x *executor.Executor) executor.Effects
	}{
		{name: "a start was not answered", wake: func(x *executor.Executor) executor.Effects {
			return x.HandleStartResponse(at(1500), pollenfront.StartRequest{Run: runID(0)}, 0, context.DeadlineExceeded)
		}},
		{name: "room is free", wake: func(x *executor.Executor) executor.Effects {
			return x.HandleRenewal(at(1500), at(10), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1, Ended: []pollenfront.EndedRun{
				{Ending: pollenfront.EndingDone, Run: runID(0), SeqNum: 1},
			}})
		}},
		{name: "the entry links again", wake: func(x *executor.Executor) executor.Effects {
			_, fx := x.LinkEntry(at(1500), entry)
			fx2 := x.HandleStartResponse(at(1501), pollenfront.StartRequest{Run: runID(0)}, 0, context.DeadlineExceeded)
			fx.Starts = append(fx.Starts, fx2.Starts...)
			return fx
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newExecutor()
			x.NextRenewal(at(0))
			short := order(at(0), 0, 1, 2)
			short.Starts[0].Expected = int64(20 * time.Millisecond)
			x.HandleCommands(at(0), entry, short)
			qt.Assert(t, started(test.wake(x)), qt.HasLen, 0)
		})
	}
}

// TestAcknowledgements checks that endings are not acknowledged to a server that
// may have been restarted, whose numbers begin anew.
func TestAcknowledgements(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.HandleRenewal(at(10), at(5), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1, Ended: []pollenfront.EndedRun{
		{Ending: pollenfront.EndingDone, Run: runID(0), SeqNum: 7},
	}})
	c.Assert(x.NextRenewal(at(11)).Acknowledged, qt.Equals, uint64(7))
	x.HandleStopResponse(at(999), runID(0), 0, nil) // It does not tell which incarnation has answered.
	c.Assert(x.NextRenewal(at(1000)).Acknowledged, qt.Equals, uint64(0))
	x.HandleRenewal(at(1010), at(1005), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1})
	c.Assert(x.NextRenewal(at(1011)).Acknowledged, qt.Equals, uint64(7))
}

// TestRestartedServer checks that runs which may have reached a server's new
// incarnation are stopped there before their entry is told.
func TestRestartedServer(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.NextRenewal(at(0))
	x.HandleCommands(at(0), entry, order(at(0), 0))
	fx := x.HandleRenewal(at(10), at(5), &pollenfront.RenewalResponse{Clock: time.Millisecond, Incarnation: 2, Running: []pollenfront.RunningRun{{Run: runID(0)}}})
	c.Assert(len(fx.Stops) > 0, qt.IsTrue)
	c.Assert(fx.Stops[0].Token, qt.Equals, uint64(11))
	c.Assert(ends(x, at(10)), qt.HasLen, 0)
	x.HandleRenewal(at(30), at(20), &pollenfront.RenewalResponse{Clock: time.Millisecond, Incarnation: 2, Ended: []pollenfront.EndedRun{
		{Ending: pollenfront.EndingStopped, Run: runID(0), SeqNum: 1},
	}})
	c.Assert(ends(x, at(30)), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingStopped})
}

// TestRemember checks that an agent that was restarted uses its server before
// that announces itself, if the server has not been restarted too.
func TestRemember(t *testing.T) {
	tests := []struct {
		name        string
		incarnation uint64 // That the server states.
		state       tasklink.State
	}{
		{name: "the same incarnation", incarnation: 3, state: tasklink.StateReady},
		{name: "a later incarnation", incarnation: 4, state: tasklink.StateUnavailable},
	}
	for _, test := range tests {
		for _, renewedFirst := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				x := executor.New("service", "west", 10)
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

func TestLeaseLapses(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.NextRenewal(at(0))
	x.HandleCommands(at(0), entry, order(at(0), 0))
	x.HandleStartResponse(at(1), pollenfront.StartRequest{Run: runID(0)}, 0, nil)
	x.HandleCommands(at(600), entry, &tasklink.Commands{Echo: int64(at(600))})
	x.Tick(at(610))
	c.Assert(ends(x, at(610)), qt.HasLen, 0)
	x.Tick(at(660))
	c.Assert(ends(x, at(660)), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingLost})
}

// TestRelink checks that an entry learns after a lost link what became of its runs.
func TestRelink(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.HandleCommands(at(0), entry, order(at(0), 0, 1))
	x.HandleStartResponse(at(1), pollenfront.StartRequest{Run: runID(0)}, 0, nil)
	x.UnlinkEntry(entry)
	x.HandleStartResponse(at(2), pollenfront.StartRequest{Run: runID(1)}, 0, pollenfront.ErrRejected)
	runs, _ := x.LinkEntry(at(3), entry)
	c.Assert(runs, qt.DeepEquals, []tasklink.RunState{
		{Run: runID(0)}, {Ending: pollenfront.EndingFailed, Reason: pollenfront.ErrRejected.Error(), Run: runID(1)},
	})
	later := pollenfront.EntryRef{Incarnation: 2, Name: entry.Name}
	runs, fx := x.LinkEntry(at(4), later)
	c.Assert(runs, qt.HasLen, 0)
	c.Assert(fx.Stops, qt.HasLen, 1)
}
