package scheduler_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestLateRuns guards against runs that were taken for over too early without a trace in the log of
// the entry, which has sent their tasks again.
func TestLateRuns(t *testing.T) {
	run := pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Job: "0a"}}
	done := tasklink.RunEnd{Ending: pollenfront.EndingDone, Run: run, Seconds: 1.5}
	tests := []struct {
		name   string
		silent bool // silent is whether the agent was silent until the entry took the run for over.
		tell   func(s *scheduler.Scheduler) *scheduler.Effects
		want   []scheduler.LateRun
	}{
		{
			name: "a run in time", tell: func(s *scheduler.Scheduler) *scheduler.Effects {
				return s.HandleUpdate(at(1450), "agent-1", update(64, done))
			},
		},
		{
			name: "an end", silent: true, want: []scheduler.LateRun{{Agent: "agent-1", End: done}},
			tell: func(s *scheduler.Scheduler) *scheduler.Effects {
				return s.HandleUpdate(at(1450), "agent-1", update(64, done))
			},
		},
		{
			name: "a run that never started", silent: true, tell: func(s *scheduler.Scheduler) *scheduler.Effects {
				return s.HandleUpdate(at(1450), "agent-1", update(64, tasklink.RunEnd{Ending: pollenfront.EndingNotStarted, Run: run}))
			},
		},
		{
			name: "a run that goes on", silent: true, want: []scheduler.LateRun{{Agent: "agent-1", End: tasklink.RunEnd{Run: run}}},
			tell: func(s *scheduler.Scheduler) *scheduler.Effects {
				return s.LinkAgent(at(1450), hello(1, tasklink.RunState{Run: run}))
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(64)
			c.Assert(startedTasks(s.Submit(at(10), submission("0a", 1))), qt.Equals, 1)
			for ms := 100; ms <= 1400; ms += 100 {
				if !test.silent {
					s.HandleUpdate(at(ms), "agent-1", update(64))
				}
				s.Tick(at(ms))
			}
			c.Assert(test.tell(s).LateRuns, qt.DeepEquals, test.want)
		})
	}
}
