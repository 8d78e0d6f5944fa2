package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
)

// TestWithheldEnd guards against a caller that is kept waiting until its time limit for a job of
// which a task must not be started again before, and against starting the task.
func TestWithheldEnd(t *testing.T) {
	for _, timeLimit := range []time.Duration{2 * time.Second, 9 * time.Second, 20 * time.Second} {
		t.Run(timeLimit.String(), func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(64)
			sub := submission("0a", 1)
			sub.TimeLimit = timeLimit
			c.Assert(startedTasks(s.Submit(at(10), sub)), qt.Equals, 1)
			run := pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Job: "0a"}}
			withholding := update(64)
			withholding.Withheld = []pollenfront.RunID{run}
			effects := s.HandleUpdate(at(100), "agent-1", withholding)
			c.Assert(startedTasks(effects), qt.Equals, 0)
			c.Assert(effects.Results, qt.HasLen, 1)
			c.Assert(effects.Results[0].Verdict, qt.Equals, pollenfront.VerdictUnknown)
			again := s.Submit(at(500), sub)
			c.Assert(startedTasks(again), qt.Equals, 0)
			c.Assert(again.Results[0].Reason, qt.Equals, pollenfront.ReasonEarlierRunsEnding)
		})
	}
}
