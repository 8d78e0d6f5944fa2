package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// at returns the time that is ms milliseconds after the start of a test.
func at(ms int) time.Duration {
	return time.Minute + time.Duration(ms)*time.Millisecond
}

// newScheduler returns a Scheduler past its warm-up, with one linked agent whose
// server has freeCores cores free.
func newScheduler(freeCores int) *scheduler.Scheduler {
	s := scheduler.New(at(-10_000), "entry-1", "west")
	s.LinkAgent(at(0), &tasklink.Hello{Incarnation: 1, Name: "agent-1", Service: "service", Zone: "west"})
	s.HandleUpdate(at(0), "agent-1", update(freeCores))
	s.Tick(at(0))
	return s
}

// update returns an update of an agent whose server has freeCores of its 64 cores
// free. The update covers all start commands.
func update(freeCores int, ends ...tasklink.RunEnd) *tasklink.Update {
	return &tasklink.Update{Clock: 1, LastSeqNum: 1 << 40, Report: tasklink.Report{
		Capacity: pollenfront.Resources{CPU: 64000}, Free: pollenfront.Resources{CPU: freeCores * 1000}, RunSeconds: 1, Slowness: 1,
		State: tasklink.StateReady, Waits: []int{0, 0, 0},
	}, RunEnds: ends}
}

// submission returns a job of tasks that need six cores each.
func submission(id string, tasks int) pollenfront.Submission {
	return pollenfront.Submission{
		Estimate: 100 * time.Millisecond, ID: id, Need: pollenfront.Resources{CPU: 6000},
		Route:     pollenfront.Route{LatencyTarget: 60 * time.Millisecond, MaxAttempts: 2, Name: "r", PathPrefix: "r", Service: "service", Stretch: 1.6},
		TaskCount: tasks, TimeLimit: 3 * time.Second,
	}
}

// startedTasks returns the number of tasks in the start commands of effects.
func startedTasks(effects *scheduler.Effects) int {
	n := 0
	for _, commands := range effects.Commands {
		for _, start := range commands.Starts {
			n += len(start.Tasks)
		}
	}
	return n
}

// TestSuspension checks that the first event after a suspension aborts all jobs
// before it places tasks. The callers have left by then, and tasks placed for them
// would be wasted.
func TestSuspension(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	c.Assert(startedTasks(s.Submit(at(10), submission("0a", 2))), qt.Equals, 2)
	var ends []tasklink.RunEnd
	for i := range 2 {
		id := pollenfront.TaskID{Index: i, Job: "0a"}
		ends = append(ends, tasklink.RunEnd{Ending: pollenfront.EndingStopped, Run: pollenfront.RunID{Number: 1, TaskID: id}})
	}
	effects := s.HandleUpdate(at(3000), "agent-1", update(64, ends...))
	c.Assert(startedTasks(effects), qt.Equals, 0)
	c.Assert(effects.Results, qt.HasLen, 1)
	c.Assert(effects.Results[0].Reason, qt.Equals, pollenfront.ReasonSuspended)
	c.Assert(effects.Results[0].Verdict, qt.Equals, pollenfront.VerdictUnknown)
}

// TestSubmissionAfterSuspension checks that a job is placed if its submission is the
// first event after a suspension. It must not be aborted with the earlier jobs.
func TestSubmissionAfterSuspension(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	s.Submit(at(3000), submission("0b", 1))
	effects := s.HandleUpdate(at(3010), "agent-1", update(64))
	c.Assert(startedTasks(effects), qt.Equals, 1)
}

// TestRefusals checks that infeasible jobs are refused at once.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *pollenfront.Submission)
		want   pollenfront.Reason
	}{
		{name: "a task that fits no server", change: func(s *pollenfront.Submission) { s.Need.CPU = 65000 }, want: pollenfront.ReasonTooLarge},
		{name: "a service without servers", change: func(s *pollenfront.Submission) { s.Route.Service = "other" }, want: pollenfront.ReasonNoServer},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(64)
			sub := submission("0a", 1)
			test.change(&sub)
			effects := s.Submit(at(10), sub)
			c.Assert(effects.Results, qt.HasLen, 1)
			c.Assert(effects.Results[0].Reason, qt.Equals, test.want)
			c.Assert(effects.Results[0].RetryAfter > 0, qt.IsTrue)
			c.Assert(s.JobCount(), qt.Equals, 0)
		})
	}
}

// TestOverload checks that jobs are refused for overload: on arrival if the queue
// ahead of them is too long, and otherwise once their latest start has passed.
func TestOverload(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(0)
	effects := s.Submit(at(10), submission("0a", 1))
	c.Assert(effects.Results, qt.HasLen, 0)
	c.Assert(startedTasks(effects), qt.Equals, 0)
	refused := 0
	for i := range 60 {
		for _, result := range s.Submit(at(10), submission(string(rune('b'+i)), 8)).Results {
			c.Assert(result.Reason, qt.Equals, pollenfront.ReasonOverloaded)
			c.Assert(result.Verdict, qt.Equals, pollenfront.VerdictRefused)
			c.Assert(result.RetryAfter >= 500*time.Millisecond, qt.IsTrue)
			refused++
		}
	}
	c.Assert(refused > 30, qt.IsTrue, qt.Commentf("%d refused", refused))
	overdue := s.Tick(at(300))
	c.Assert(len(overdue.Results), qt.Equals, 61-refused)
}

// TestCancelAfterSend checks that a job that is canceled at its deadline, after its
// task was sent, is refused only when the agent has reported that the run was not
// started. Until then the task may have run, so VerdictRefused could be wrong.
func TestCancelAfterSend(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	s.Submit(at(10), submission("0a", 1))
	run := pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Job: "0a"}}
	for ms := 500; ms <= 2900; ms += 400 {
		s.HandleUpdate(at(ms), "agent-1", update(58))
		s.Tick(at(ms))
	}
	s.HandleUpdate(at(3000), "agent-1", update(58))
	effects := s.Tick(at(3010))
	c.Assert(effects.Results, qt.HasLen, 0)
	c.Assert(effects.Commands["agent-1"].Stops, qt.DeepEquals, []pollenfront.RunID{run})
	effects = s.HandleUpdate(at(3020), "agent-1", update(64, tasklink.RunEnd{Ending: pollenfront.EndingNotStarted, Run: run}))
	c.Assert(effects.Results, qt.HasLen, 1)
	c.Assert(effects.Results[0].Verdict, qt.Equals, pollenfront.VerdictRefused)
}

// TestIdleCommands checks that an agent without runs of the entry gets commands at the
// longer interval, and an agent with runs at the shorter one, as it stops them if the
// entry is silent.
func TestIdleCommands(t *testing.T) {
	tests := []struct {
		tasks    int
		interval time.Duration
	}{
		{tasks: 0, interval: scheduler.IdleCommandsInterval},
		{tasks: 1, interval: scheduler.CommandsInterval},
	}
	for _, test := range tests {
		c := qt.New(t)
		s := newScheduler(64)
		s.Submit(at(0), submission("0a", test.tasks))
		s.MarkSent(at(0), "agent-1")
		for now := at(0); now < at(0)+test.interval; now += 10 * time.Millisecond {
			s.HandleUpdate(now, "agent-1", update(64))
			c.Assert(s.Tick(now).Commands, qt.HasLen, 0, qt.Commentf("%d tasks, %v", test.tasks, now-at(0)))
		}
		commands := s.Tick(at(0) + test.interval).Commands["agent-1"]
		c.Assert(commands, qt.IsNotNil)
		c.Assert(commands.AgentCount, qt.Equals, 1)
	}
}

// TestSharedServers checks that an entry counts on its share only of servers that others
// use too: it then refuses a job that would start too late.
func TestSharedServers(t *testing.T) {
	tests := []struct {
		entryCount int
		refused    bool
	}{
		{entryCount: 1, refused: false},
		{entryCount: 6, refused: true},
	}
	for _, test := range tests {
		c := qt.New(t)
		s := newScheduler(0)
		full := update(0)
		full.Report.EntryCount, full.Report.Waits = test.entryCount, []int{1000, 1000, 1000}
		s.HandleUpdate(at(0), "agent-1", full)
		s.Submit(at(0), submission("0a", 3))
		results := s.Submit(at(0), submission("0b", 3)).Results
		c.Assert(len(results) == 1 && results[0].Verdict == pollenfront.VerdictRefused, qt.Equals, test.refused)
	}
}

// TestUpdateOfSuspectAgent checks that the first update of an agent after a silence places
// queued jobs, although it reports the same as the one before the silence.
func TestUpdateOfSuspectAgent(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	c.Assert(startedTasks(s.Tick(at(380))), qt.Equals, 0)
	large := submission("0a", 2)
	large.Route.LatencyTarget = 2 * time.Second
	c.Assert(startedTasks(s.Submit(at(390), large)), qt.Equals, 0)
	c.Assert(startedTasks(s.HandleUpdate(at(400), "agent-1", update(64))), qt.Equals, 2)
}
