package executor_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// busyEntry is an entry whose runs keep a server busy in the tests.
var busyEntry = pollenfront.EntryRef{Incarnation: 1, Name: "entry-2"}

// serverClock returns the reading of the server's clock at a time.
func serverClock(now time.Duration) time.Duration {
	return time.Second + now - at(0)
}

// lastExtension renews the lease until a time, or until the server ends its runs. Until then
// the server answers that it runs the given tasks, and no stop is answered. busyEntry sends
// echoes. It returns the latest expiry to which the lease was extended, on the agent's clock.
func lastExtension(x *executor.Executor, from, until int, tasks ...int) time.Duration {
	response := &pollenfront.RenewalResponse{Incarnation: 1}
	for _, index := range tasks {
		response.Running = append(response.Running, pollenfront.RunningRun{Run: runID(index)})
	}
	latest := time.Duration(0)
	for ms := from; ms <= until && (latest == 0 || at(ms) < latest); ms += 25 {
		for i := range response.Running {
			response.Running[i].Percent = ms / 25
		}
		response.Clock = serverClock(at(ms))
		x.HandleCommands(at(ms), busyEntry, &tasklink.Commands{EchoedClock: int64(at(ms))})
		x.Tick(at(ms))
		if request := x.NextRenewal(at(ms)); request.LeaseExpiry > 0 {
			latest = max(latest, request.LeaseExpiry-serverClock(at(0))+at(0))
		}
		x.HandleRenewal(at(ms+1), at(ms), response)
	}
	return latest
}

// newBusyExecutor returns an executor with task 0 of testEntry and task 1 of busyEntry
// running since at(1).
func newBusyExecutor() *executor.Executor {
	x := newExecutor()
	x.LinkEntry(at(0), busyEntry)
	x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
	x.HandleCommands(at(0), busyEntry, startCommands(at(0), 1))
	for i := range 2 {
		x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(i)}, serverClock(at(1)), nil)
	}
	return x
}

// TestLeaseOutlivesRightToRun guards against a lease that is extended for other runs while
// a run goes on whose entry is silent or has stopped it, and whose stop is not answered. The
// entry and its callers start the task elsewhere when they expect the lease to have expired.
func TestLeaseOutlivesRightToRun(t *testing.T) {
	tests := []struct {
		name   string
		revoke func(x *executor.Executor)
		want   time.Duration
	}{
		{name: "entry is silent", want: at(0) + executor.EntrySilenceTimeout + executor.Lease, revoke: func(*executor.Executor) {}},
		{name: "entry stops the run", want: at(100) + executor.Lease, revoke: func(x *executor.Executor) {
			x.HandleCommands(at(100), testEntry, &tasklink.Commands{EchoedClock: int64(at(90)), Stops: []pollenfront.RunID{runID(0)}})
		}},
		{name: "entry was restarted", want: at(100) + executor.Lease, revoke: func(x *executor.Executor) {
			x.LinkEntry(at(100), pollenfront.EntryRef{Incarnation: 2, Name: testEntry.Name})
		}},
		{name: "entry stops the run and links again", want: at(100) + executor.Lease, revoke: func(x *executor.Executor) {
			x.HandleCommands(at(100), testEntry, &tasklink.Commands{EchoedClock: int64(at(90)), Stops: []pollenfront.RunID{runID(0)}})
			x.UnlinkEntry(testEntry)
			x.LinkEntry(at(100), testEntry)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newBusyExecutor()
			lastExtension(x, 25, 75, 0, 1)
			test.revoke(x)
			latest := lastExtension(x, 101, 3001, 0, 1)
			c.Assert(latest <= test.want, qt.IsTrue, qt.Commentf("extended to %v, want at most %v", latest-at(0), test.want-at(0)))
		})
	}
}

// TestLeaseOfUnknownRuns guards against an agent that extends the lease of runs which its
// former incarnation has started, and that links although they go on.
func TestLeaseOfUnknownRuns(t *testing.T) {
	c := qt.New(t)
	x := executor.New("agent-1", "service", "west", 10)
	x.HandleAnnouncement(at(0), pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: 12000}, Clock: time.Second, Incarnation: 1, SeqNum: 1, Zone: "west"})
	c.Assert(lastExtension(x, 0, 2000, 0), qt.Equals, time.Duration(0))
	c.Assert(x.EarlierRunsEnded(at(2000), at(0)), qt.IsFalse)
	x.HandleRenewal(at(2101), at(2100), &pollenfront.RenewalResponse{Clock: serverClock(at(2100)), Incarnation: 1})
	c.Assert(x.EarlierRunsEnded(at(2101), at(0)), qt.IsTrue)
	c.Assert(x.NextRenewal(at(2102)).LeaseExpiry > 0, qt.IsTrue)
}

// TestRunsOutliveInference guards against an end of a run that is inferred from something
// else than what the server says of the run, or the end of its lease. The server may go on.
func TestRunsOutliveInference(t *testing.T) {
	announcement := pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: 12000}, Clock: time.Millisecond, Incarnation: 2, SeqNum: 1, Zone: "west"}
	tests := []struct {
		name  string
		infer func(x *executor.Executor)
	}{
		{name: "the server gives notice that it leaves", infer: func(x *executor.Executor) { x.HandleDeregistration(at(60)) }},
		{name: "a connection is refused", infer: func(x *executor.Executor) { x.HandleRenewalError(at(60), at(59), errRefused) }},
		{name: "somebody announces a later incarnation", infer: func(x *executor.Executor) { x.HandleAnnouncement(at(60), announcement) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newBusyExecutor()
			lastExtension(x, 25, 50, 0, 1)
			test.infer(x)
			x.Tick(at(70))
			c.Assert(reportedEndings(x, at(70)), qt.HasLen, 0)
			x.HandleRenewal(at(75), at(72), &pollenfront.RenewalResponse{Clock: serverClock(at(74)), Incarnation: 1, Running: []pollenfront.RunningRun{{Run: runID(0)}, {Run: runID(1)}}})
			c.Assert(reportedEndings(x, at(75)), qt.HasLen, 0)
			x.Tick(at(800))
			c.Assert(reportedEndings(x, at(800)), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingLost}, qt.Commentf("the lease has expired"))
		})
	}
}

// TestRestartsWithAnyClock guards against an agent that ignores all answers of a server which
// was restarted after its time of day was set back.
func TestRestartsWithAnyClock(t *testing.T) {
	for _, incarnation := range []uint64{1, 3} {
		t.Run(fmt.Sprint(incarnation), func(t *testing.T) {
			c := qt.New(t)
			x := executor.New("agent-1", "service", "west", 10)
			former := pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: 12000}, Clock: time.Second, Incarnation: 2, SeqNum: 5, Zone: "west"}
			x.HandleAnnouncement(at(0), former)
			x.HandleRenewal(at(11), at(10), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 2})
			x.LinkEntry(at(11), testEntry)
			x.HandleCommands(at(12), testEntry, startCommands(at(12), 0))
			x.HandleStartResponse(at(13), pollenfront.StartRequest{Incarnation: 2, Run: runID(0)}, 0, nil)
			x.HandleRenewal(at(21), at(20), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 2, Running: []pollenfront.RunningRun{{Run: runID(0)}}})
			later := former
			later.Incarnation, later.SeqNum, later.Clock = incarnation, 1, time.Millisecond
			x.HandleAnnouncement(at(40), later)
			x.HandleRenewal(at(51), at(50), &pollenfront.RenewalResponse{Clock: 2 * time.Millisecond, Incarnation: incarnation})
			c.Assert(reportedEndings(x, at(51)), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingLost})
			c.Assert(x.State(), qt.Equals, tasklink.StateReady)
			x.HandleRenewal(at(60), at(45), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 2})
			x.HandleAnnouncement(at(61), former)
			c.Assert(x.Dump(at(61)).Incarnation, qt.Equals, incarnation, qt.Commentf("delayed messages of the former incarnation change nothing"))
		})
	}
}

// TestAnswersOfFormerIncarnation guards against answers of a former incarnation of the server
// that count for the next one: a stop that was confirmed there does not keep a delayed start
// from being carried out here, and the clock there is not the one here.
func TestAnswersOfFormerIncarnation(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
	x.HandleStartResponse(at(35), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, errTimeout)
	stop := x.HandleCommands(at(40), testEntry, &tasklink.Commands{EchoedClock: int64(at(40)), Stops: []pollenfront.RunID{runID(0)}}).Stops[0]
	x.HandleRenewal(at(51), at(50), &pollenfront.RenewalResponse{Clock: time.Millisecond, Incarnation: 2})
	x.HandleStopResponse(at(52), stop, time.Hour, nil)
	x.HandleRenewal(at(61), at(60), &pollenfront.RenewalResponse{Incarnation: 2})
	c.Assert(reportedEndings(x, at(61)), qt.HasLen, 0)
	c.Assert(x.NextRenewal(at(62)).LeaseExpiry < time.Minute, qt.IsTrue)
}

// TestLeaseOnSlowClock guards against leases that are too long because the server's clock is
// slow and was read long before.
func TestLeaseOnSlowClock(t *testing.T) {
	x := newExecutor()
	x.HandleRenewal(at(1), at(0), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 1})
	slowClock := time.Second + 4900*time.Millisecond // After 5 s on a clock that is 2 % slow.
	qt.Assert(t, x.NextRenewal(at(5001)).LeaseExpiry <= slowClock+executor.Lease, qt.IsTrue)
}

// TestDelayedHello guards against an entry that counts as heard when its hello arrives,
// although the hello was delayed and the entry may be dead by then.
func TestDelayedHello(t *testing.T) {
	c := qt.New(t)
	x := newBusyExecutor()
	x.UnlinkEntry(testEntry)
	x.LinkEntry(at(550), testEntry)
	latest := lastExtension(x, 551, 3001, 0, 1)
	want := at(0) + executor.EntrySilenceTimeout + executor.Lease
	c.Assert(latest <= want, qt.IsTrue, qt.Commentf("extended to %v, want at most %v", latest-at(0), want-at(0)))
}

// TestLostStopsOfRevokedRun guards against stops of a run without a right to run that are
// repeated so rarely that its lease expires, and with it all other runs on the server.
func TestLostStopsOfRevokedRun(t *testing.T) {
	c := qt.New(t)
	x := newBusyExecutor()
	lastExtension(x, 25, 75, 0, 1)
	stops := len(x.HandleCommands(at(100), testEntry, &tasklink.Commands{EchoedClock: int64(at(90)), Stops: []pollenfront.RunID{runID(0)}}).Stops)
	for ms := 125; ms < 700; ms += 25 {
		x.HandleCommands(at(ms), busyEntry, &tasklink.Commands{EchoedClock: int64(at(ms))})
		stops += len(x.Tick(at(ms)).Stops)
	}
	c.Assert(stops >= 20, qt.IsTrue, qt.Commentf("%d stops", stops))
	stop := executor.StopRequest{Incarnation: 1, Run: runID(0)}
	x.HandleStopResponse(at(700), stop, serverClock(at(700)), nil)
	c.Assert(x.NextRenewal(at(701)).LeaseExpiry > serverClock(at(701)), qt.IsTrue, qt.Commentf("a confirmed stop frees the lease"))
}
