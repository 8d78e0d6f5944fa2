package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// linkOther links agent-2, whose server has capacity.
func linkOther(s *scheduler.Scheduler, ms int) {
	s.LinkAgent(at(ms), &tasklink.Hello{Incarnation: 1, Name: "agent-2", Service: "service", Zone: "west"})
	s.HandleUpdate(at(ms), "agent-2", update(64))
}

// hello returns a hello of agent-1 on its second link.
func hello(incarnation uint64, runs ...tasklink.RunState) *tasklink.Hello {
	return &tasklink.Hello{Incarnation: incarnation, LinkSeqNum: 2, Name: "agent-1", Runs: runs, Service: "service", Zone: "west"}
}

// TestReruns guards against placements of a second run that don't tell on what evidence, and how
// old, the former run was taken for over, whether an agent reported it or the entry inferred it.
func TestReruns(t *testing.T) {
	run := pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Job: "0a"}}
	tests := []struct {
		name string
		// end ends the run at 100 ms or later and returns the effects that place the task again.
		end  func(s *scheduler.Scheduler) *scheduler.Effects
		want scheduler.Rerun
	}{
		{
			name: "reported by the agent",
			end: func(s *scheduler.Scheduler) *scheduler.Effects {
				end := tasklink.RunEnd{Ending: pollenfront.EndingLost, Evidence: tasklink.LeaseExpired, EvidenceAge: 7 * time.Millisecond, Run: run}
				return s.HandleUpdate(at(100), "agent-1", update(64, end))
			},
			want: scheduler.Rerun{
				Ending: pollenfront.EndingLost, Evidence: tasklink.LeaseExpired, EvidenceAge: 7 * time.Millisecond, FormerSentAge: 90 * time.Millisecond, Run: 2,
			},
		},
		{
			name: "reported in a hello",
			end: func(s *scheduler.Scheduler) *scheduler.Effects {
				linkOther(s, 100)
				return s.LinkAgent(at(100), hello(1, tasklink.RunState{Ending: pollenfront.EndingStopped, Evidence: tasklink.StoppedAndUnlisted, EvidenceAge: time.Second, Run: run}))
			},
			want: scheduler.Rerun{
				Ending: pollenfront.EndingStopped, Evidence: tasklink.StoppedAndUnlisted, EvidenceAge: time.Second, FormerSentAge: 90 * time.Millisecond, Run: 2,
			},
		},
		{
			name: "an agent that was restarted",
			end: func(s *scheduler.Scheduler) *scheduler.Effects {
				linkOther(s, 100)
				return s.LinkAgent(at(100), hello(2))
			},
			want: scheduler.Rerun{Ending: pollenfront.EndingLost, Evidence: tasklink.AgentRestarted, FormerSentAge: 90 * time.Millisecond, Run: 2},
		},
		{
			name: "a command that did not arrive",
			end: func(s *scheduler.Scheduler) *scheduler.Effects {
				linkOther(s, 100)
				return s.LinkAgent(at(100), hello(1))
			},
			want: scheduler.Rerun{Ending: pollenfront.EndingNotStarted, Evidence: tasklink.NotInHello, FormerSentAge: 90 * time.Millisecond, Run: 2},
		},
		{
			name: "a silent agent",
			end: func(s *scheduler.Scheduler) *scheduler.Effects {
				for ms := 100; ms <= 1300; ms += 100 {
					s.Tick(at(ms))
				}
				linkOther(s, 1300)
				return s.Tick(at(1320))
			},
			want: scheduler.Rerun{
				Ending: pollenfront.EndingLost, Evidence: tasklink.AgentSilent, EvidenceAge: 1320 * time.Millisecond, FormerSentAge: 1310 * time.Millisecond, Run: 2,
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(64)
			c.Assert(startedTasks(s.Submit(at(10), submission("0a", 1))), qt.Equals, 1)
			effects := test.end(s)
			c.Assert(effects.Placements, qt.HasLen, 1)
			want := test.want
			want.Former, want.FormerAgent = 1, "agent-1"
			c.Assert(effects.Placements[0].Reruns, qt.DeepEquals, []scheduler.Rerun{want})
		})
	}
}

// TestRerunOfResubmission checks that a job which was given up and is submitted again tells of the
// runs of its earlier submission, and that a first run tells of none.
func TestRerunOfResubmission(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	first := s.Submit(at(10), submission("0a", 1))
	c.Assert(first.Placements[0].Reruns, qt.HasLen, 0)
	s.Cancel(at(20), "0a")
	run := pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Job: "0a"}}
	s.HandleUpdate(at(30), "agent-1", update(64, tasklink.RunEnd{Ending: pollenfront.EndingStopped, Evidence: tasklink.StoppedAndUnlisted, Run: run}))
	again := s.Submit(at(50), submission("0a", 1))
	c.Assert(again.Placements, qt.HasLen, 1)
	c.Assert(again.Placements[0].Reruns, qt.DeepEquals, []scheduler.Rerun{{
		Former: 1, FormerAgent: "agent-1", FormerSentAge: 40 * time.Millisecond, Ending: pollenfront.EndingStopped, Evidence: tasklink.StoppedAndUnlisted,
		EvidenceAge: 20 * time.Millisecond, Run: 2,
	}})
}
