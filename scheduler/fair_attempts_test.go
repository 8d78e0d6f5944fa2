package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFairAttemptWaits guards against attempts that are withheld but not reported, and pile up
// in the scheduler, with fair shares.
func TestFairAttemptWaits(t *testing.T) {
	c := qt.New(t)
	s := newSchedulerWithAgents(2)
	s.EnableFairShares()
	sub := submission("0a", 1)
	sub.Route.LatencyTarget, sub.Route.MaxAttempts = 200*time.Millisecond, 2
	s.Submit(at(1), sub)
	c.Assert(startedOn(s.HandleUpdate(at(2), "agent-1", fleetUpdate(6, 0, 0))), qt.Equals, "agent-1")
	s.HandleUpdate(at(9), "agent-2", fleetUpdate(0, 60, 0))
	s.HandleUpdate(at(10), "agent-1", fleetUpdate(0, 500, 0.39, failedRun("0a", 1)))
	effects := s.HandleUpdate(at(20), "agent-1", fleetUpdate(64, 0, 0.39))
	c.Assert(startedOn(effects), qt.Equals, "")
	c.Assert(effects.Withholdings, qt.HasLen, 1)
}

// TestFairFailedRunHoldsResources guards against a failing server that gets more tasks than
// others with fair shares, as its runs end early.
func TestFairFailedRunHoldsResources(t *testing.T) {
	for _, failing := range []bool{true, false} {
		c := qt.New(t)
		s := newSchedulerWithAgents(3)
		s.EnableFairShares()
		s.HandleUpdate(at(1), "agent-1", fleetUpdate(6, 0, 0))
		sub := submission("0a", 1)
		sub.Route.MaxAttempts = 2
		c.Assert(startedOn(s.Submit(at(2), sub)), qt.Equals, "agent-1")
		failRate := 0.0
		if failing {
			failRate = 0.8
		}
		s.HandleUpdate(at(10), "agent-1", fleetUpdate(6, 0, failRate, failedRun("0a", 1)))
		got := startedOn(s.Submit(at(12), submission("0b", 1)))
		c.Assert(got == "agent-1", qt.Equals, !failing)
	}
}
