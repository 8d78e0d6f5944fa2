package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// newSchedulerWithAgents returns a Scheduler past its warm-up, with linked agents whose
// names are agent-1 and so on.
func newSchedulerWithAgents(n int) *scheduler.Scheduler {
	s := scheduler.New(at(-10_000), "entry-1", "west")
	for i := range n {
		name := fmt.Sprintf("agent-%d", i+1)
		s.LinkAgent(at(0), &tasklink.Hello{Incarnation: 1, Name: name, Service: "service", Zone: "west"})
		s.HandleUpdate(at(0), name, update(0))
	}
	s.Tick(at(0))
	return s
}

// fleetUpdate returns an update of an agent whose server has freeCores cores free, is
// expected to have more after wait milliseconds, and has failed a share of its runs.
func fleetUpdate(freeCores, wait int, failRate float64, ends ...tasklink.RunEnd) *tasklink.Update {
	u := update(freeCores, ends...)
	u.Report.FailRate, u.Report.Waits = failRate, []int{wait, wait, wait}
	return u
}

// startedOn returns the name of the agent that gets a start command in effects, or "".
func startedOn(effects *scheduler.Effects) string {
	for name, commands := range effects.Commands {
		if len(commands.Starts) > 0 {
			return name
		}
	}
	return ""
}

// failedRun returns the failure of a run of the only task of a job.
func failedRun(job string, number int) tasklink.RunEnd {
	return tasklink.RunEnd{Ending: pollenfront.EndingFailed, Run: pollenfront.RunID{Number: number, TaskID: pollenfront.TaskID{Job: job}}}
}

// TestAttemptWaits guards against a task that is sent to a failing server, or to one on
// which it failed before, while another server could run it in time: at the peak, a task
// failed on A and B and was sent to B again after 14 ms.
func TestAttemptWaits(t *testing.T) {
	tests := []struct {
		name     string
		attempts int
		failRate float64 // failRate is that of agent-1 and agent-2 when the task has failed on both.
		free     int     // free is the number of free cores of agent-3.
		wait     int     // wait is the time in milliseconds until agent-3 is free.
		want     string
		withheld int
	}{
		{name: "the last attempt waits", attempts: 3, failRate: 0.39, wait: 60, withheld: 1},
		{name: "an earlier attempt waits", attempts: 4, failRate: 0.39, wait: 60, withheld: 1},
		{name: "the other server is free too late", attempts: 3, failRate: 0.39, wait: 4000, want: "agent-1"},
		{name: "the other server can start it", attempts: 3, failRate: 0.39, free: 6, want: "agent-3"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSchedulerWithAgents(3)
			sub := submission("0a", 1)
			sub.Route.LatencyTarget, sub.Route.MaxAttempts = 200*time.Millisecond, test.attempts
			s.Submit(at(1), sub)
			c.Assert(startedOn(s.HandleUpdate(at(2), "agent-1", fleetUpdate(6, 0, 0))), qt.Equals, "agent-1")
			s.HandleUpdate(at(9), "agent-3", fleetUpdate(-6, 500, 0))
			s.HandleUpdate(at(10), "agent-1", fleetUpdate(0, 500, 0.2, failedRun("0a", 1)))
			c.Assert(startedOn(s.HandleUpdate(at(11), "agent-2", fleetUpdate(6, 0, 0))), qt.Equals, "agent-2")
			s.HandleUpdate(at(20), "agent-1", fleetUpdate(0, 500, test.failRate))
			s.HandleUpdate(at(21), "agent-3", fleetUpdate(test.free, test.wait, 0))
			first := s.HandleUpdate(at(25), "agent-2", fleetUpdate(0, 500, test.failRate, failedRun("0a", 2)))
			second := s.HandleUpdate(at(39), "agent-1", fleetUpdate(64, 0, test.failRate))
			got := startedOn(first) + startedOn(second)
			c.Assert(got, qt.Equals, test.want)
			c.Assert(len(first.Withholdings)+len(second.Withholdings), qt.Equals, test.withheld)
			if test.want == "" {
				c.Assert(startedOn(s.HandleUpdate(at(90), "agent-3", fleetUpdate(6, 0, 0))), qt.Equals, "agent-3")
			}
		})
	}
}

// TestJobThatFailsEverywhere guards against a job whose task fails on all servers and waits
// for a better one: it is answered as failed as soon as its attempts are used up.
func TestJobThatFailsEverywhere(t *testing.T) {
	c := qt.New(t)
	s := newSchedulerWithAgents(3)
	for i := range 3 {
		s.HandleUpdate(at(0), fmt.Sprintf("agent-%d", i+1), fleetUpdate(64, 0, 0))
	}
	now := 10
	for n := range 20 {
		id := fmt.Sprintf("%02d", n)
		sub := submission(id, 1)
		sub.Route.MaxAttempts = 3
		effects := s.Submit(at(now), sub)
		for run := 1; run <= 3; run++ {
			agent := startedOn(effects)
			c.Assert(agent, qt.Not(qt.Equals), "", qt.Commentf("job %d, run %d", n, run))
			now += 5
			effects = s.HandleUpdate(at(now), agent, fleetUpdate(64, 0, 0.6, failedRun(id, run)))
		}
		c.Assert(effects.Results, qt.HasLen, 1)
		c.Assert(effects.Results[0].Verdict, qt.Equals, pollenfront.VerdictFailed)
		for i := range 3 {
			s.HandleUpdate(at(now), fmt.Sprintf("agent-%d", i+1), fleetUpdate(64, 0, 0.6))
		}
	}
}

// TestFailedRunHoldsResources guards against a failing server that gets more tasks than
// others, as its runs end early: the resources of a failed run stay taken until the run
// would have ended.
func TestFailedRunHoldsResources(t *testing.T) {
	for _, failing := range []bool{true, false} {
		c := qt.New(t)
		s := newSchedulerWithAgents(3)
		s.HandleUpdate(at(1), "agent-1", fleetUpdate(6, 0, 0))
		sub := submission("0a", 1)
		sub.Route.MaxAttempts = 2
		c.Assert(startedOn(s.Submit(at(2), sub)), qt.Equals, "agent-1")
		failRate := 0.0
		if failing {
			failRate = 0.8
		}
		s.HandleUpdate(at(10), "agent-1", fleetUpdate(6, 0, failRate, failedRun("0a", 1)))
		other := submission("0b", 1)
		got := startedOn(s.Submit(at(12), other))
		c.Assert(got == "agent-1", qt.Equals, !failing)
	}
}
