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
	tests := []struct {
		name      string
		timeLimit time.Duration
		answered  bool
	}{
		{name: "the caller leaves before the end is reported", timeLimit: 2 * time.Second, answered: true},
		{name: "the caller can wait for it", timeLimit: 20 * time.Second, answered: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(64)
			sub := submission("0a", 1)
			sub.TimeLimit = test.timeLimit
			c.Assert(startedTasks(s.Submit(at(10), sub)), qt.Equals, 1)
			run := pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Job: "0a"}}
			withholding := update(64)
			withholding.Withheld = []pollenfront.RunID{run}
			effects := s.HandleUpdate(at(100), "agent-1", withholding)
			c.Assert(startedTasks(effects), qt.Equals, 0)
			c.Assert(len(effects.Results) == 1, qt.Equals, test.answered)
			if test.answered {
				c.Assert(effects.Results[0].Verdict, qt.Equals, pollenfront.VerdictUnknown)
			}
			again := s.Submit(at(500), sub)
			c.Assert(startedTasks(again), qt.Equals, 0)
			c.Assert(again.Results[0].Reason, qt.Equals, pollenfront.ReasonEarlierRunsEnding)
		})
	}
}
