package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// at is an instant, in milliseconds after the first.
func at(ms int) time.Duration {
	return time.Minute + time.Duration(ms)*time.Millisecond
}

// newScheduler returns a scheduler with one linked agent, which it has known
// for a while.
func newScheduler(free int) *scheduler.Scheduler {
	s := scheduler.New(at(-10_000), "entry-1", "west")
	s.LinkAgent(at(0), &tasklink.Hello{Incarnation: 1, Name: "agent-1", Service: "service", Zone: "west"})
	s.HandleUpdate(at(0), "agent-1", update(free))
	s.Tick(at(0))
	return s
}

// update returns a report of a server with some free cores, and endings.
func update(free int, ends ...tasklink.RunEnd) *tasklink.Update {
	return &tasklink.Update{Clock: 1, LastSeqNum: 1 << 40, Report: tasklink.Report{
		Capacity: pollenfront.Resources{CPU: 64000}, Free: pollenfront.Resources{CPU: free * 1000}, RunSeconds: 1, Slowness: 1,
		State: tasklink.StateReady, Waits: []int{0, 0, 0},
	}, RunEnds: ends}
}

// submission returns a job of tasks that need six cores each.
func submission(id string, tasks int) pollenfront.Submission {
	return pollenfront.Submission{
		Count: tasks, Estimate: 100 * time.Millisecond, ID: id, Need: pollenfront.Resources{CPU: 6000},
		Route:     pollenfront.Route{LatencyTarget: 60 * time.Millisecond, MaxAttempts: 2, Name: "r", Service: "service", Stretch: 1.6},
		TimeLimit: 3 * time.Second,
	}
}

// startedTasks returns the number of tasks that effects start.
func startedTasks(fx *scheduler.Effects) int {
	n := 0
	for _, o := range fx.Commands {
		for _, s := range o.Starts {
			n += len(s.Tasks)
		}
	}
	return n
}

// TestSuspension checks that an entry that wakes gives up the jobs of before
// its suspension before it does anything else: their callers have gone.
func TestSuspension(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	c.Assert(startedTasks(s.Submit(at(10), submission("0a", 2))), qt.Equals, 2)
	var ends []tasklink.RunEnd
	for i := range 2 {
		id := pollenfront.TaskID{Index: i, Job: "0a"}
		ends = append(ends, tasklink.RunEnd{Ending: pollenfront.EndingStopped, Run: pollenfront.RunID{Number: 1, TaskID: id}})
	}
	fx := s.HandleUpdate(at(3000), "agent-1", update(64, ends...))
	c.Assert(startedTasks(fx), qt.Equals, 0)
	c.Assert(fx.Results, qt.HasLen, 1)
	c.Assert(fx.Results[0].Reason, qt.Equals, pollenfront.ReasonSuspended)
	c.Assert(fx.Results[0].Verdict, qt.Equals, pollenfront.VerdictUnknown)
}

// TestSuspensionBeforeASubmission checks that a job which arrives first after a
// suspension is served.
func TestSuspensionBeforeASubmission(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	s.Submit(at(3000), submission("0b", 1))
	fx := s.HandleUpdate(at(3010), "agent-1", update(64))
	c.Assert(startedTasks(fx), qt.Equals, 1)
}

// TestRefusals checks what is refused at once, and that nothing that was sent
// is called "not run" before its agent has said so.
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
			fx := s.Submit(at(10), sub)
			c.Assert(fx.Results, qt.HasLen, 1)
			c.Assert(fx.Results[0].Reason, qt.Equals, test.want)
			c.Assert(fx.Results[0].RetryAfter > 0, qt.IsTrue)
			c.Assert(s.JobCount(), qt.Equals, 0)
		})
	}
}

func TestOverload(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(0)
	fx := s.Submit(at(10), submission("0a", 1))
	c.Assert(fx.Results, qt.HasLen, 0)
	c.Assert(startedTasks(fx), qt.Equals, 0)
	refused := 0
	for i := range 60 {
		for _, a := range s.Submit(at(10), submission(string(rune('b'+i)), 8)).Results {
			c.Assert(a.Reason, qt.Equals, pollenfront.ReasonOverloaded)
			c.Assert(a.Verdict, qt.Equals, pollenfront.VerdictRefused)
			c.Assert(a.RetryAfter >= 500*time.Millisecond, qt.IsTrue)
			refused++
		}
	}
	c.Assert(refused > 30, qt.IsTrue, qt.Commentf("%d refused", refused))
	late := s.Tick(at(300))
	c.Assert(len(late.Results), qt.Equals, 61-refused)
}

func TestGivenUpAfterASend(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	s.Submit(at(10), submission("0a", 1))
	run := pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Job: "0a"}}
	for ms := 500; ms <= 2900; ms += 400 {
		s.HandleUpdate(at(ms), "agent-1", update(58))
		s.Tick(at(ms))
	}
	s.HandleUpdate(at(3000), "agent-1", update(58))
	fx := s.Tick(at(3010))
	c.Assert(fx.Results, qt.HasLen, 0)
	c.Assert(fx.Commands["agent-1"].Stops, qt.DeepEquals, []pollenfront.RunID{run})
	fx = s.HandleUpdate(at(3020), "agent-1", update(64, tasklink.RunEnd{Ending: pollenfront.EndingNotStarted, Run: run}))
	c.Assert(fx.Results, qt.HasLen, 1)
	c.Assert(fx.Results[0].Verdict, qt.Equals, pollenfront.VerdictRefused)
}
