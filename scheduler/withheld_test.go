package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
)

// TestWithheldEnd guards against a caller that gets no answer within its time limit for a job of
// which a task must not be started again before, and against starting the task.
func TestWithheldEnd(t *testing.T) {
	tests := []struct {
		name       string
		timeLimit  time.Duration
		answeredBy int // answeredBy is the time of the answer in milliseconds, at the latest.
	}{
		{name: "the caller leaves before the end is reported", timeLimit: 2 * time.Second, answeredBy: 100},
		{name: "the caller might wait for it", timeLimit: 9 * time.Second, answeredBy: 9040},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(64)
			sub := submission("0a", 1)
			sub.TimeLimit = test.timeLimit
			c.Assert(startedTasks(s.Submit(at(10), sub)), qt.Equals, 1)
			withholding := update(64)
			withholding.Withheld = []pollenfront.RunID{{Number: 1, TaskID: pollenfront.TaskID{Job: "0a"}}}
			results := s.HandleUpdate(at(100), "agent-1", withholding).Results
			for ms := 140; ms <= test.answeredBy; ms += 40 {
				for _, effects := range []*scheduler.Effects{s.HandleUpdate(at(ms), "agent-1", update(64)), s.Tick(at(ms))} {
					c.Assert(startedTasks(effects), qt.Equals, 0)
					results = append(results, effects.Results...)
				}
			}
			c.Assert(results, qt.HasLen, 1)
			c.Assert(results[0].Verdict, qt.Equals, pollenfront.VerdictUnknown)
			again := s.Submit(at(test.answeredBy+40), sub)
			c.Assert(startedTasks(again), qt.Equals, 0)
			c.Assert(again.Results[0].Reason, qt.Equals, pollenfront.ReasonEarlierRunsEnding)
		})
	}
}
