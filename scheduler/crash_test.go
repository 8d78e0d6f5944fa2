package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// serverCrash returns the crash of a server with tasks of job 0a.
func serverCrash(agent string, incarnation uint64, tasks ...int) pollenfront.Crash {
	crash := pollenfront.Crash{Process: pollenfront.Process{Incarnation: incarnation, Kind: pollenfront.ProcessServer, Name: agent}, Reporter: agent}
	for _, index := range tasks {
		crash.Tasks = append(crash.Tasks, pollenfront.CrashedTask{Age: time.Second, Task: pollenfront.TaskID{Index: index, Job: "0a"}})
	}
	return crash
}

// lostRun returns the end of the first run of a task of job 0a with its server.
func lostRun(index int) tasklink.RunEnd {
	return tasklink.RunEnd{Ending: pollenfront.EndingLost, Run: pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Index: index, Job: "0a"}}}
}

// TestJobFailsAfterCrashes checks that a job fails as soon as two servers have crashed
// under one of its tasks, wherever that was, and that it is not started again when its
// caller submits it again.
func TestJobFailsAfterCrashes(t *testing.T) {
	tests := []struct {
		name    string
		submit  func(s *scheduler.Scheduler) *scheduler.Effects
		crashes []pollenfront.Crash
	}{
		{name: "while it runs here", crashes: []pollenfront.Crash{serverCrash("agent-1", 1, 0), serverCrash("agent-2", 1, 0, 1)}},
		{name: "the same server twice", crashes: []pollenfront.Crash{serverCrash("agent-1", 1, 1), serverCrash("agent-1", 2, 1)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(64)
			s.Submit(at(10), submission("0a", 2))
			u := update(64)
			u.Crashes = test.crashes[:1]
			c.Assert(s.HandleUpdate(at(20), "agent-1", u).Results, qt.HasLen, 0)
			u = update(64)
			u.Crashes = test.crashes
			effects := s.HandleUpdate(at(30), "agent-1", u)
			c.Assert(effects.Results, qt.HasLen, 1)
			c.Assert(effects.Results[0].Verdict, qt.Equals, pollenfront.VerdictFailed)
			c.Assert(effects.Results[0].Reason, qt.Equals, pollenfront.ReasonServersCrashed)
			s.HandleUpdate(at(40), "agent-1", update(64, lostRun(0), lostRun(1)))
			c.Assert(s.JobCount(), qt.Equals, 0)
			effects = s.Submit(at(50), submission("0a", 2))
			c.Assert(startedTasks(effects), qt.Equals, 0)
			c.Assert(effects.Results[0].Verdict, qt.Equals, pollenfront.VerdictFailed)
		})
	}
}

// TestCrashesReachOtherAgents checks that an entry tells all agents of a crash but the one
// that it has learned it from, once on each link.
func TestCrashesReachOtherAgents(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	s.LinkAgent(at(0), &tasklink.Hello{Incarnation: 1, Name: "agent-2", Service: "service", Zone: "west"})
	u := update(64)
	u.Crashes = []pollenfront.Crash{serverCrash("agent-1", 1, 0)}
	s.HandleUpdate(at(10), "agent-1", u)
	told := func(ms int) map[string]int {
		counts := make(map[string]int)
		for name, commands := range s.Tick(at(ms)).Commands {
			counts[name] += len(commands.Crashes)
			s.MarkSent(at(ms), name)
		}
		return counts
	}
	c.Assert(told(1000), qt.DeepEquals, map[string]int{"agent-1": 0, "agent-2": 1})
	c.Assert(told(1900), qt.DeepEquals, map[string]int{"agent-1": 0, "agent-2": 0})
	s.LinkAgent(at(2000), &tasklink.Hello{Incarnation: 2, Name: "agent-1", Service: "service", Zone: "west"})
	c.Assert(told(2900)["agent-2"], qt.Equals, 0)
}

// TestSuspectTasksRunApart checks that tasks which were on a crashed server are not placed
// on one server together, where the one that has caused the crash would take the others
// along again.
func TestSuspectTasksRunApart(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	for _, name := range []string{"agent-2", "agent-3"} {
		s.LinkAgent(at(0), &tasklink.Hello{Incarnation: 1, Name: name, Service: "service", Zone: "west"})
		slow := update(64)
		slow.Report.Slowness = 1.3
		s.HandleUpdate(at(0), name, slow)
	}
	s.Submit(at(10), submission("0a", 2))
	u := update(64, lostRun(0), lostRun(1))
	u.Crashes = []pollenfront.Crash{serverCrash("agent-1", 1, 0, 1)}
	effects := s.HandleUpdate(at(20), "agent-1", u)
	c.Assert(startedTasks(effects), qt.Equals, 2)
	for name, commands := range effects.Commands {
		for _, start := range commands.Starts {
			c.Assert(start.Tasks, qt.HasLen, 1, qt.Commentf(name))
		}
	}
}

// youngCrash returns the crash of a server right after it had started a task of a job.
func youngCrash(agent, job string) pollenfront.Crash {
	return pollenfront.Crash{
		Process: pollenfront.Process{Incarnation: 1, Kind: pollenfront.ProcessServer, Name: agent}, Reporter: agent,
		Tasks: []pollenfront.CrashedTask{{Age: 10 * time.Millisecond, Task: pollenfront.TaskID{Job: job}}},
	}
}

// TestSuspectJobRunsAgainAsTrial checks when a job that has most likely crashed a server is
// started again: if no other server has crashed lately, and one such job at a time.
// Otherwise its caller is told at once, and a later submission is refused.
func TestSuspectJobRunsAgainAsTrial(t *testing.T) {
	tests := []struct {
		name    string
		crashes []pollenfront.Crash // crashes are known before the jobs are submitted.
		reason  pollenfront.Reason  // reason is that of the answer to job 0a, or empty if it runs again.
	}{
		{name: "the only crash"},
		{name: "another server has crashed lately", crashes: []pollenfront.Crash{youngCrash("agent-9", "0f")}, reason: pollenfront.ReasonSuspect},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(64)
			u := update(64)
			u.Crashes = test.crashes
			s.HandleUpdate(at(5), "agent-1", u)
			s.Submit(at(10), submission("0a", 1))
			u = update(64, lostRun(0))
			u.Crashes = []pollenfront.Crash{youngCrash("agent-1", "0a")}
			effects := s.HandleUpdate(at(20), "agent-1", u)
			if test.reason == "" {
				c.Assert(startedTasks(effects), qt.Equals, 1)
				c.Assert(effects.Results, qt.HasLen, 0)
				return
			}
			c.Assert(startedTasks(effects), qt.Equals, 0)
			c.Assert(effects.Results[0].Reason, qt.Equals, test.reason)
			c.Assert(effects.Results[0].Verdict, qt.Equals, pollenfront.VerdictUnknown)
			effects = s.Submit(at(1500), submission("0a", 1))
			c.Assert(effects.Results[0].Reason, qt.Equals, test.reason)
			c.Assert(effects.Results[0].Verdict, qt.Equals, pollenfront.VerdictRefused)
			c.Assert(effects.Results[0].RetryAfter > time.Second, qt.IsTrue)
			s.HandleUpdate(at(4000), "agent-1", update(64))
			c.Assert(startedTasks(s.Submit(at(4000), submission("0a", 1))), qt.Equals, 1)
		})
	}
}
