package executor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestRelinkAfterResubmission guards against a run that its entry takes for ended when the agent
// links again, since the hello also lists the end of the run with the same number from an earlier
// submission of the job. Each submission numbers the runs of a task from 1.
func TestRelinkAfterResubmission(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.LinkEntry(at(0), busyEntry)
	for _, request := range x.HandleCommands(at(0), busyEntry, startCommands(at(0), 1, 2)).Starts { // They fill the server.
		x.HandleStartResponse(at(1), request, serverClock(at(1)), nil)
	}
	s := scheduler.New(at(-10_000), testEntry.Name, "west")
	report := tasklink.Report{Capacity: pollenfront.Resources{CPU: 12000}, RunSeconds: 1, Slowness: 1, State: tasklink.StateReady, Waits: []int{0, 0, 0}}
	for _, name := range []string{"agent-1", "agent-2"} {
		s.LinkAgent(at(0), &tasklink.Hello{Incarnation: 1, Name: name, Service: "service", Zone: "west"})
	}
	exchange := func(ms int) {
		update, _ := x.NextUpdate(at(ms), testEntry.Name)
		s.HandleUpdate(at(ms), "agent-1", &update)
	}
	free := report
	free.Free.CPU = 6000
	s.HandleUpdate(at(5), "agent-1", &tasklink.Update{Clock: int64(at(5)), LastSeqNum: 1 << 40, Report: free}) // From before the server was full.
	submission := pollenfront.Submission{
		Estimate: time.Second, ID: "0a", Need: pollenfront.Resources{CPU: 6000}, TaskCount: 1, TimeLimit: 5 * time.Second,
		Route: pollenfront.Route{LatencyTarget: 200 * time.Millisecond, MaxAttempts: 2, Name: "r", Service: "service", Stretch: 2},
	}
	// The server is full, and the agent does not start the task. The caller leaves.
	effects := s.Submit(at(10), submission)
	c.Assert(effects.Commands["agent-1"].Starts, qt.HasLen, 1)
	c.Assert(x.HandleCommands(at(11), testEntry, effects.Commands["agent-1"]).Starts, qt.HasLen, 0)
	if commands := s.Cancel(at(12), "0a").Commands["agent-1"]; commands != nil {
		x.HandleCommands(at(13), testEntry, commands)
	}
	exchange(14)
	c.Assert(s.JobCount(), qt.Equals, 0)
	// The other runs end, and the caller is back after 1.3 s.
	x.HandleRenewal(at(21), at(20), &pollenfront.RenewalResponse{Clock: serverClock(at(21)), Incarnation: 1, Ended: []pollenfront.EndedRun{
		{Ending: pollenfront.EndingDone, Run: runID(1), SeqNum: 1}, {Ending: pollenfront.EndingDone, Run: runID(2), SeqNum: 2},
	}})
	for ms := 100; ms <= 1300; ms += 100 {
		x.HandleRenewal(at(ms), at(ms-1), &pollenfront.RenewalResponse{Clock: serverClock(at(ms)), Incarnation: 1})
		exchange(ms)
		s.Tick(at(ms))
		x.HandleCommands(at(ms), testEntry, &tasklink.Commands{EchoedClock: int64(at(ms))})
	}
	effects = s.Submit(at(1312), submission)
	starts := x.HandleCommands(at(1313), testEntry, effects.Commands["agent-1"]).Starts
	c.Assert(starts, qt.HasLen, 1)
	x.HandleStartResponse(at(1314), starts[0], serverClock(at(1314)), nil)
	// The link is reset, and the agent links again at once.
	x.UnlinkEntry(testEntry)
	s.UnlinkAgent("agent-1", 1)
	states, _ := x.LinkEntry(at(1400), testEntry)
	s.HandleUpdate(at(1400), "agent-2", &tasklink.Update{Clock: 1, LastSeqNum: 1 << 40, Report: free})
	effects = s.LinkAgent(at(1401), &tasklink.Hello{Incarnation: 1, LinkSeqNum: 2, Name: "agent-1", Runs: states, Service: "service", Zone: "west"})
	c.Assert(x.Dump(at(1401)).Runs, qt.HasLen, 1, qt.Commentf("the run goes on"))
	commands := effects.Commands["agent-2"]
	c.Assert(commands == nil || len(commands.Starts) == 0, qt.IsTrue, qt.Commentf("the task is started again on another server; the hello lists %+v", states))
}
