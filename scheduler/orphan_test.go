package scheduler_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestHelloListsRunThatEntryGaveUp guards against a run that goes on until its own end although
// its entry counted it as lost, since the entry keeps the link to its agent alive and does not
// stop the run.
func TestHelloListsRunThatEntryGaveUp(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	c.Assert(startedTasks(s.Submit(at(10), submission("0a", 1))), qt.Equals, 1)
	for ms := 100; ms <= 1400; ms += 100 {
		s.Tick(at(ms))
	}
	run := pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Job: "0a"}}
	effects := s.LinkAgent(at(1450), &tasklink.Hello{Incarnation: 1, LinkSeqNum: 2, Name: "agent-1", Runs: []tasklink.RunState{{Run: run}}, Service: "service", Zone: "west"})
	commands := effects.Commands["agent-1"]
	c.Assert(commands, qt.IsNotNil, qt.Commentf("no commands"))
	c.Assert(commands.Stops, qt.DeepEquals, []pollenfront.RunID{run})
}
