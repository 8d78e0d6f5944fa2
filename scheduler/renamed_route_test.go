package scheduler_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestCancelJobOfRenamedRoute guards against a job that runs on after its cancellation, since operators have
// given its route another name: callers name the job by the host and the path, which are the same
// (review case 10).
func TestCancelJobOfRenamedRoute(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	sub := submission("0a", 2)
	sub.Route.Host, sub.Route.PathPrefix, sub.Route.Name = "desk.example", "/jobs/", "before"
	start := s.Submit(at(10), sub).Commands["agent-1"].Starts[0]
	renamed := sub
	renamed.Route.Name = "after"
	c.Assert(start.RouteAddress, qt.Equals, renamed.Ref().Route)
	effects := s.CancelJob(at(20), renamed.Ref())
	c.Assert(effects.CanceledJobs, qt.DeepEquals, []pollenfront.JobRef{sub.Ref()})
	c.Assert(effects.Results, qt.HasLen, 1)
	c.Assert(effects.Results[0].Verdict, qt.Equals, pollenfront.VerdictCanceled)
	c.Assert(effects.Commands["agent-1"].Stops, qt.HasLen, 2)
	c.Assert(effects.Commands["agent-1"].Cancellations, qt.DeepEquals, []pollenfront.Cancellation{{Found: true, JobRef: sub.Ref()}})
	c.Assert(s.Submit(at(30), renamed).Results[0].Verdict, qt.Equals, pollenfront.VerdictCanceled)
}

// TestCancelJobOfOtherRoute checks that a job is not canceled by a request that names the same ID on
// another host or path.
func TestCancelJobOfOtherRoute(t *testing.T) {
	for _, route := range []pollenfront.Route{{Host: "other.example", Name: "r", PathPrefix: "/jobs/"}, {Host: "desk.example", Name: "r", PathPrefix: "/other/"}} {
		c := qt.New(t)
		s := newScheduler(64)
		sub := submission("0a", 1)
		sub.Route.Host, sub.Route.PathPrefix = "desk.example", "/jobs/"
		s.Submit(at(10), sub)
		effects := s.CancelJob(at(20), pollenfront.JobRef{ID: "0a", Route: route.Address()})
		c.Assert(effects.CanceledJobs, qt.HasLen, 0)
		c.Assert(effects.Results, qt.HasLen, 0)
		done := tasklink.RunEnd{Ending: pollenfront.EndingDone, Run: firstRun()}
		c.Assert(s.HandleUpdate(at(30), "agent-1", update(64, done)).Results[0].Verdict, qt.Equals, pollenfront.VerdictCompleted)
	}
}
