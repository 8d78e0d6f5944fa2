package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/interference"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestRemovedRoutes guards against accounts of routes that stay for ever after a configuration
// has removed 1,400 routes, and against a crash by a job of a removed route.
func TestRemovedRoutes(t *testing.T) {
	c := qt.New(t)
	s := newFairScheduler()
	for i := range 1400 {
		sub := submission(fmt.Sprintf("%04x", i), 1)
		sub.Route.Name, sub.Route.LatencyTarget = fmt.Sprint("route-", i), 2*time.Second
		s.Submit(at(1), sub)
	}
	c.Assert(len(s.FairShares().Routes()), qt.Equals, 1400)
	s.SetRoutes([]string{"route-3"})
	c.Assert(len(s.FairShares().Routes()), qt.Equals, 1)
	c.Assert(startedTasks(s.HandleUpdate(at(10), "agent-1", update(64))) > 0, qt.IsTrue)
}

// TestUnknownRouteCounts guards against an agent that makes an entry keep any number of routes
// by reporting runs of routes that are not configured.
func TestUnknownRouteCounts(t *testing.T) {
	c := qt.New(t)
	pool := interference.NewPool()
	model := &recordingModel{}
	s := scheduler.New(at(-10_000), "entry-1", "west", scheduler.WithInterference(pollenfront.InterferenceAvoid, pool, model))
	s.SetRoutes([]string{"r"})
	s.LinkAgent(at(0), &tasklink.Hello{Incarnation: 1, Name: "agent-1", Service: "service", Zone: "west"})
	u := update(64)
	for i := range 5000 {
		u.RouteCounts = append(u.RouteCounts, tasklink.RouteCount{Count: 1, Route: fmt.Sprint("unknown-", i)})
	}
	u.RouteCounts = append(u.RouteCounts, tasklink.RouteCount{Count: 2, Route: "r"})
	s.HandleUpdate(at(1), "agent-1", u)
	s.Tick(at(2))
	s.Submit(at(3), submission("0a", 1))
	c.Assert(len(model.neighbors), qt.Equals, 1)
}

// recordingModel records the neighbors of the last task.
type recordingModel struct {
	neighbors []string
}

// AddedTime implements pollenfront.InterferenceModel.
func (m *recordingModel) AddedTime(_ string, _ time.Duration, neighbors []pollenfront.RouteLoad) time.Duration {
	m.neighbors = nil
	for _, n := range neighbors {
		m.neighbors = append(m.neighbors, n.Route)
	}
	return 0
}

// Avoid implements pollenfront.InterferenceModel.
func (*recordingModel) Avoid(pollenfront.InterferenceDecision) bool {
	return true
}
