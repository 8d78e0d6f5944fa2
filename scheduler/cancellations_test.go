package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// jobRef returns the reference to a job that submission returns.
func jobRef(id string) pollenfront.JobRef {
	return pollenfront.JobRef{ID: id, Route: "r"}
}

// settleTime is the time after which a job that was not found is reported as not existing.
const settleTime = 500 * time.Millisecond

// waiting stands for a request to cancel a job that is to wait on.
const waiting pollenfront.CancelOutcome = -1

// cancelOutcome returns the outcome of a request to cancel the job "0a".
func cancelOutcome(s *scheduler.Scheduler, now, waited time.Duration) pollenfront.CancelOutcome {
	outcome, known := s.CancelOutcome(now, jobRef("0a"), waited, time.Minute)
	if !known {
		return waiting
	}
	return outcome
}

// canceledUpdate returns an update that lists the cancellation of a job.
func canceledUpdate(id string, ends ...tasklink.RunEnd) *tasklink.Update {
	u := update(64, ends...)
	u.Cancellations = []pollenfront.Cancellation{{JobRef: jobRef(id)}}
	return u
}

// firstRun returns the first run of the first task of the job "0a".
func firstRun() pollenfront.RunID {
	return pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Job: "0a"}}
}

// TestCancelJob guards against a job that runs on after it was canceled: at its owner, by a
// request there or at another entry, its runs are stopped and its caller gets a final answer in
// the same event.
func TestCancelJob(t *testing.T) {
	tests := []struct {
		name   string
		cancel func(s *scheduler.Scheduler) *scheduler.Effects
	}{
		{name: "requested here", cancel: func(s *scheduler.Scheduler) *scheduler.Effects { return s.CancelJob(at(20), jobRef("0a")) }},
		{name: "learned from an agent", cancel: func(s *scheduler.Scheduler) *scheduler.Effects {
			return s.HandleUpdate(at(20), "agent-1", canceledUpdate("0a"))
		}},
		{name: "learned with the end of its run", cancel: func(s *scheduler.Scheduler) *scheduler.Effects {
			return s.HandleUpdate(at(20), "agent-1", canceledUpdate("0a", tasklink.RunEnd{Ending: pollenfront.EndingStopped, Run: firstRun()}))
		}},
		{name: "learned from a hello with the end of its run", cancel: func(s *scheduler.Scheduler) *scheduler.Effects {
			second := firstRun()
			second.Index = 1
			s.UnlinkAgent("agent-1", 1)
			s.LinkAgent(at(20), &tasklink.Hello{Incarnation: 1, Name: "agent-2", Service: "service", Zone: "west"})
			s.HandleUpdate(at(20), "agent-2", update(64))
			return s.LinkAgent(at(20), &tasklink.Hello{
				Cancellations: []pollenfront.Cancellation{{JobRef: jobRef("0a")}}, Incarnation: 1, LinkSeqNum: 2, Name: "agent-1",
				Runs: []tasklink.RunState{{Ending: pollenfront.EndingStopped, Run: firstRun()}, {Run: second}}, Service: "service", Zone: "west",
			})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(64)
			c.Assert(startedTasks(s.Submit(at(10), submission("0a", 2))), qt.Equals, 2)
			effects := test.cancel(s)
			c.Assert(effects.Results, qt.HasLen, 1)
			c.Assert(effects.Results[0].Verdict, qt.Equals, pollenfront.VerdictCanceled)
			c.Assert(effects.Results[0].Reason, qt.Equals, pollenfront.ReasonCanceled)
			c.Assert(effects.CanceledJobs, qt.DeepEquals, []pollenfront.JobRef{jobRef("0a")})
			c.Assert(cancelOutcome(s, at(20), 0), qt.Equals, pollenfront.CancelDone)
			c.Assert(startedTasks(effects), qt.Equals, 0)
			c.Assert(s.JobCount(), qt.Equals, 1, qt.Commentf("the job must be kept until its runs have ended"))
			commands := effects.Commands["agent-1"]
			if commands == nil {
				commands = s.Tick(at(20)).Commands["agent-1"]
			}
			c.Assert(commands.Cancellations, qt.DeepEquals, []pollenfront.Cancellation{{Found: true, JobRef: jobRef("0a")}})
		})
	}
}

// TestCanceledJobStopsRuns guards against a cancellation that takes runs for ended: the runs are
// stopped, and the job is kept until the agent has reported their ends.
func TestCanceledJobStopsRuns(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	s.Submit(at(10), submission("0a", 1))
	effects := s.CancelJob(at(20), jobRef("0a"))
	c.Assert(effects.Commands["agent-1"].Stops, qt.DeepEquals, []pollenfront.RunID{firstRun()})
	for ms := 40; ms <= 1000; ms += 40 {
		s.HandleUpdate(at(ms), "agent-1", update(64))
		s.Tick(at(ms))
		c.Assert(s.JobCount(), qt.Equals, 1)
	}
	ended := s.HandleUpdate(at(1010), "agent-1", update(64, tasklink.RunEnd{Ending: pollenfront.EndingStopped, Run: firstRun()}))
	c.Assert(ended.Results, qt.HasLen, 0)
	c.Assert(startedTasks(ended), qt.Equals, 0)
	c.Assert(s.JobCount(), qt.Equals, 0)
}

// TestSubmitCanceledJob guards against a start of a job whose submission arrives after its
// cancellation, for the first time or again, and against other jobs that are taken for it.
func TestSubmitCanceledJob(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	c.Assert(s.CancelJob(at(0), jobRef("0a")).CanceledJobs, qt.HasLen, 0)
	c.Assert(cancelOutcome(s, at(0), 0), qt.Equals, waiting)
	for ms := 10; ms <= 14_990; ms += 20 {
		s.HandleUpdate(at(ms), "agent-1", update(64))
		s.Tick(at(ms))
		if ms%1000 != 10 {
			continue
		}
		effects := s.Submit(at(ms), submission("0a", 1))
		c.Assert(effects.Results, qt.DeepEquals, []pollenfront.Result{{ID: "0a", Reason: pollenfront.ReasonCanceled, Verdict: pollenfront.VerdictCanceled}})
		c.Assert(startedTasks(effects), qt.Equals, 0)
		c.Assert(cancelOutcome(s, at(ms), 0), qt.Equals, pollenfront.CancelDone)
	}
	otherRoute := submission("0a", 1)
	otherRoute.Route.PathPrefix = "other"
	c.Assert(startedTasks(s.Submit(at(14_990), otherRoute)), qt.Equals, 1)
	c.Assert(s.CancelJob(at(14_990), jobRef("0a")).Results, qt.HasLen, 0)
	c.Assert(startedTasks(s.Submit(at(14_990), submission("0b", 1))), qt.Equals, 1)
}

// TestCancelOutcome checks when a job that no entry has found may be reported as not
// existing: only when all agents are known to hold the cancellation, which none does whose link
// was lost, that is silent, or that has not answered.
func TestCancelOutcome(t *testing.T) {
	tests := []struct {
		name  string
		after func(s *scheduler.Scheduler, sent uint64)
		want  pollenfront.CancelOutcome
	}{
		{name: "answered", want: pollenfront.CancelNoJob, after: func(s *scheduler.Scheduler, sent uint64) {
			u := update(64)
			u.CancellationSeqNum = sent
			s.HandleUpdate(at(30), "agent-1", u)
		}},
		{name: "not answered", want: waiting, after: func(s *scheduler.Scheduler, _ uint64) { s.HandleUpdate(at(30), "agent-1", update(64)) }},
		{name: "invalid answer", want: waiting, after: func(s *scheduler.Scheduler, sent uint64) {
			s.UnlinkAgent("agent-1", 1)
			s.LinkAgent(at(20), &tasklink.Hello{Incarnation: 1, Name: "agent-1", Service: "service", Zone: "west"})
			u := update(64)
			u.CancellationSeqNum = sent + 100
			s.HandleUpdate(at(30), "agent-1", u)
		}},
		{name: "link lost after the answer", want: waiting, after: func(s *scheduler.Scheduler, sent uint64) {
			u := update(64)
			u.CancellationSeqNum = sent
			s.HandleUpdate(at(30), "agent-1", u)
			s.UnlinkAgent("agent-1", 1)
		}},
		{name: "another agent", want: waiting, after: func(s *scheduler.Scheduler, sent uint64) {
			u := update(64)
			u.CancellationSeqNum = sent
			s.HandleUpdate(at(30), "agent-1", u)
			s.LinkAgent(at(30), &tasklink.Hello{Incarnation: 1, Name: "agent-2", Service: "service", Zone: "west"})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(64)
			effects := s.CancelJob(at(20), jobRef("0a"))
			c.Assert(cancelOutcome(s, at(20), settleTime), qt.Equals, waiting)
			test.after(s, effects.Commands["agent-1"].CancellationSeqNum)
			c.Assert(cancelOutcome(s, at(30), settleTime-1), qt.Equals, waiting)
			c.Assert(cancelOutcome(s, at(30), settleTime), qt.Equals, test.want)
			c.Assert(cancelOutcome(s, at(30)+scheduler.AgentSuspectTimeout+time.Millisecond, settleTime), qt.Equals, waiting)
			_, known := s.CancelOutcome(at(30), jobRef("0b"), settleTime, time.Minute)
			c.Assert(known, qt.IsFalse)
			outcome, known := s.CancelOutcome(at(30), jobRef("0b"), 100*time.Millisecond, 130*time.Millisecond)
			c.Assert(known && outcome == pollenfront.CancelUnconfirmed, qt.IsTrue)
		})
	}
	withoutAgents := scheduler.New(at(0), "entry-1", "west")
	withoutAgents.CancelJob(at(0), jobRef("0a"))
	qt.Assert(t, cancelOutcome(withoutAgents, at(0), settleTime), qt.Equals, waiting)
	qt.Assert(t, cancelOutcome(withoutAgents, at(0), 2*time.Second), qt.Equals, pollenfront.CancelUnconfirmed)
}

// TestCancellationSentAgain guards against a cancellation that gets lost with a link: it is sent
// again on the next one, and never twice on the same.
func TestCancellationSentAgain(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	c.Assert(s.CancelJob(at(20), jobRef("0a")).Commands["agent-1"].Cancellations, qt.HasLen, 1)
	c.Assert(s.CancelJob(at(25), jobRef("0a")).Commands["agent-1"], qt.IsNil)
	s.UnlinkAgent("agent-1", 1)
	s.LinkAgent(at(30), &tasklink.Hello{Incarnation: 1, LinkSeqNum: 2, Name: "agent-1", Service: "service", Zone: "west"})
	c.Assert(s.Tick(at(40)).Commands["agent-1"].Cancellations, qt.HasLen, 1)
	s.MarkSent(at(40), "agent-1")
	c.Assert(s.Tick(at(80)).Commands["agent-1"], qt.IsNil)
}

// TestEntryPassesCancellationOn guards against a cancellation that does not reach the owner of its
// job, as no agent is linked both to that entry and to the one that took the request: the entries
// between them pass on what they learn, but not back to the agent that told them.
func TestEntryPassesCancellationOn(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	s.LinkAgent(at(0), &tasklink.Hello{Incarnation: 1, Name: "agent-2", Service: "service", Zone: "west"})
	s.HandleUpdate(at(0), "agent-2", update(64))
	for _, name := range []string{"agent-1", "agent-2"} {
		s.MarkSent(at(10), name)
	}
	c.Assert(s.HandleUpdate(at(15), "agent-1", canceledUpdate("0a")).Commands, qt.HasLen, 0)
	commands := s.Tick(at(20)).Commands
	c.Assert(commands["agent-1"], qt.IsNil)
	c.Assert(commands["agent-2"].Cancellations, qt.DeepEquals, []pollenfront.Cancellation{{Age: 5 * time.Millisecond, JobRef: jobRef("0a")}})
	c.Assert(startedTasks(s.Submit(at(25), submission("0a", 1))), qt.Equals, 0)
}

// TestCancellationsWithoutRoom guards against a job that is answered as canceled, and then submitted
// again while its runs are being stopped, without being remembered as canceled.
func TestCancellationsWithoutRoom(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	c.Assert(startedTasks(s.Submit(at(10), submission("0a", 1))), qt.Equals, 1)
	for n := range 2048 {
		s.CancelJob(at(20), jobRef(fmt.Sprintf("%016x", n)))
	}
	c.Assert(s.CancelJob(at(20), jobRef("0a")).Results, qt.HasLen, 0)
	c.Assert(cancelOutcome(s, at(20), 0), qt.Equals, waiting)
	c.Assert(cancelOutcome(s, at(20), 2*time.Second), qt.Equals, pollenfront.CancelUnconfirmed)
	for ms := 40; ms <= 2020; ms += 20 {
		s.HandleUpdate(at(ms), "agent-1", update(64))
	}
	c.Assert(s.CancelJob(at(2020), jobRef("0a")).Results[0].Verdict, qt.Equals, pollenfront.VerdictCanceled)
}
