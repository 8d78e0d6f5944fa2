package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
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
		crash.Tasks = append(crash.Tasks, pollenfront.CrashedTask{Age: time.Second, Started: true, Task: pollenfront.TaskID{Index: index, Job: "0a"}})
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
		Tasks: []pollenfront.CrashedTask{{Age: 10 * time.Millisecond, Route: "r", Started: true, Task: pollenfront.TaskID{Job: job}}},
	}
}

// crashesOf returns crashes of servers right after each had started a task of a job. The
// crashed servers' agents are those that linkAgents links.
func crashesOf(jobs ...string) []pollenfront.Crash {
	var crashes []pollenfront.Crash
	for i, job := range jobs {
		crashes = append(crashes, youngCrash(fmt.Sprintf("agent-%d", i+2), job))
	}
	return crashes
}

// linkAgents links agents to s up to the given number, beside the first one.
func linkAgents(s *scheduler.Scheduler, count int) []string {
	names := []string{"agent-1"}
	for i := 2; i <= count; i++ {
		name := fmt.Sprintf("agent-%d", i)
		s.LinkAgent(at(0), &tasklink.Hello{Incarnation: 1, Name: name, Service: "service", Zone: "west"})
		names = append(names, name)
	}
	return names
}

// TestSuspectJobRunsAgainAsTrial checks when a job that has likely crashed a server is
// started again: if no other server has crashed lately, or as the first of the most likely
// ones of several crashes, and one at a time. Otherwise its caller is told at once, and a
// later submission is refused.
func TestSuspectJobRunsAgainAsTrial(t *testing.T) {
	tests := []struct {
		name    string
		crashes []pollenfront.Crash // crashes are known before job 0a is submitted.
		culprit string              // culprit is a job on the server that crashes under job 0a.
		trial   string              // trial is a job that runs again already.
		again   bool                // again is whether job 0a runs again.
	}{
		{name: "the only crash", again: true},
		{name: "the only crash, others are likelier", culprit: "0e", again: true},
		{name: "one of two crashes", crashes: crashesOf("0f"), culprit: "0e"},
		{name: "one of several crashes", crashes: crashesOf("0e", "0f"), again: true},
		{name: "one of several crashes, others are likelier", crashes: crashesOf("0e", "0f"), culprit: "0c"},
		{name: "another trial", crashes: crashesOf("0d"), trial: "0d"},
		{name: "a route whose jobs crash servers", crashes: crashesOf("0f", "0f")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(64)
			linkAgents(s, 4)
			u := update(64)
			u.Crashes = test.crashes
			s.HandleUpdate(at(5), "agent-1", u)
			if test.trial != "" {
				c.Assert(startedTasks(s.Submit(at(6), submission(test.trial, 1))), qt.Equals, 1)
			}
			s.Submit(at(10), submission("0a", 1))
			crash := youngCrash("agent-1", "0a")
			if test.culprit != "" {
				crash.Tasks = append(crash.Tasks, pollenfront.CrashedTask{Task: pollenfront.TaskID{Job: test.culprit}})
			}
			u = update(64, lostRun(0))
			u.Crashes = []pollenfront.Crash{crash}
			effects := s.HandleUpdate(at(20), "agent-1", u)
			if test.again {
				c.Assert(startedTasks(effects), qt.Equals, 1)
				c.Assert(effects.Results, qt.HasLen, 0)
				return
			}
			c.Assert(startedTasks(effects), qt.Equals, 0)
			c.Assert(effects.Results[0].Reason, qt.Equals, pollenfront.ReasonSuspect)
			c.Assert(effects.Results[0].Verdict, qt.Equals, pollenfront.VerdictUnknown)
			s.Tick(at(800))
			effects = s.Submit(at(1500), submission("0a", 1))
			c.Assert(effects.Results[0].Reason, qt.Equals, pollenfront.ReasonSuspect)
			c.Assert(effects.Results[0].Verdict, qt.Equals, pollenfront.VerdictRefused)
			c.Assert(effects.Results[0].RetryAfter > time.Second, qt.IsTrue)
		})
	}
}

// TestConfinedRoute checks that a route whose jobs crash servers again and again is
// restricted to a few servers, which other jobs avoid, until the crashes have stopped.
func TestConfinedRoute(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	names := linkAgents(s, 10)
	updateAll := func(ms int, crashes ...pollenfront.Crash) {
		for _, name := range names {
			u := update(64)
			u.Crashes = crashes
			s.HandleUpdate(at(ms), name, u)
		}
	}
	// servers returns the servers on which a job starts.
	servers := func(ms int, id, route string, tasks int) []string {
		sub := submission(id, tasks)
		sub.Route.Name = route
		commands := s.Submit(at(ms), sub).Commands
		return slices.Sorted(maps.Keys(commands))
	}
	updateAll(0)
	c.Assert(len(servers(1, "01", "r", 40)) > 2, qt.IsTrue)
	updateAll(10, crashesOf("0f", "0f", "0e", "0d")...)
	c.Assert(s.ConfinedRoutes(), qt.DeepEquals, []string{"r"})
	confined := servers(11, "02", "r", 15)
	c.Assert(confined, qt.HasLen, 2)
	for _, name := range servers(12, "03", "other", 15) {
		c.Assert(slices.Contains(confined, name), qt.IsFalse)
	}
	for ms := 1000; ms < 7000; ms += 300 {
		updateAll(ms)
		s.Tick(at(ms))
	}
	c.Assert(s.ConfinedRoutes(), qt.HasLen, 0)
	c.Assert(len(servers(7000, "04", "r", 40)) > 2, qt.IsTrue)
}
