package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
)

// TestSilentRuns checks that each run that is taken for ended because its agent was silent is
// reported once, with the age of the newest update.
func TestSilentRuns(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	c.Assert(startedTasks(s.Submit(at(10), submission("0a", 2))), qt.Equals, 2)
	var silent []scheduler.SilentRun
	for ms := 30; ms <= 2000; ms += 20 {
		silent = append(silent, s.Tick(at(ms)).SilentRuns...)
	}
	c.Assert(silent, qt.HasLen, 2)
	for i, r := range silent {
		c.Assert(r.Agent, qt.Equals, pollenfront.AgentRef{Incarnation: 1, Name: "agent-1"})
		c.Assert(r.Run, qt.Equals, pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Index: i, Job: "0a"}})
		c.Assert(r.UpdateAge > scheduler.AgentLossTimeout && r.UpdateAge <= scheduler.AgentLossTimeout+20*time.Millisecond, qt.IsTrue, qt.Commentf("%v", r.UpdateAge))
		c.Assert(r.SentAge, qt.Equals, r.UpdateAge-10*time.Millisecond)
	}
}
