package scheduler_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/interference"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestFirstInvalidEstimate guards against a log entry that describes the last invalid estimate
// of a message in place of the first one.
func TestFirstInvalidEstimate(t *testing.T) {
	c := qt.New(t)
	s := scheduler.New(at(-10_000), "entry-1", "west", scheduler.WithInterference(pollenfront.InterferenceAvoid, interference.NewPool(), &recordingModel{}))
	s.LinkAgent(at(0), &tasklink.Hello{Incarnation: 1, Name: "agent-1", Service: "service", Zone: "west"})
	u := update(64)
	u.Interference = &tasklink.Interference{Routes: []string{"r"}, Pairs: []tasklink.InterferencePair{{Route: 5}, {Neighbor: -1}}}
	invalid := s.HandleUpdate(at(1), "agent-1", u).InvalidEstimates
	c.Assert(invalid, qt.HasLen, 1)
	c.Assert(invalid[0].Count, qt.Equals, 2)
	c.Assert(invalid[0].Err, qt.ErrorIs, interference.ErrRoute)
	c.Assert(invalid[0].Err, qt.ErrorMatches, ".*: routes 5 and 0 of 1")
}
