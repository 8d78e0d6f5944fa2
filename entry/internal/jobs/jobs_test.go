package jobs

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/tasklink"
)

// claims claims IDs in memory. Its other methods are not called.
type claims struct {
	pollenfront.Store

	err     error
	claimed map[string]bool
}

func (s *claims) Claim(_ context.Context, id string) error {
	if s.err == nil && s.claimed[id] {
		return pollenfront.ErrClaimed
	}
	s.claimed[id] = true
	return s.err
}

// An agent is the agent's side of a link, with room for everything.
type agent struct {
	*tasklink.Link
}

// newJobs returns jobs with one linked agent.
func newJobs(t *testing.T, store pollenfront.Store) (*Jobs, *agent) {
	t.Helper()
	c := qt.New(t)
	j := New(tasklink.Hello{Incarnation: 1, Name: "entry-1", Version: tasklink.Version, Zone: "west"}, store, prometheus.NewRegistry(), zap.NewNop())
	left, right := net.Pipe()
	go j.serveLink(left)
	a := &agent{Link: tasklink.NewLink(right)}
	t.Cleanup(a.Close)
	var hello tasklink.Hello
	c.Assert(a.Receive(&hello), qt.IsNil)
	c.Assert(a.Send(&tasklink.Hello{Incarnation: 1, LinkSeqNum: 5, Name: "agent-1", Service: "service", Version: tasklink.Version, Zone: "west"}), qt.IsNil)
	a.update(t)
	for {
		j.mu.Lock()
		usable := j.scheduler.UsableAgents(bootclock.Now())
		j.mu.Unlock()
		if usable > 0 {
			return j, a
		}
		time.Sleep(time.Millisecond)
	}
}

// update reports a free server, and some endings.
func (a *agent) update(t *testing.T, ends ...tasklink.RunEnd) {
	t.Helper()
	room := pollenfront.Resources{CPU: 64000}
	qt.Assert(t, a.Send(&tasklink.Update{
		Clock: 1, Report: tasklink.Report{Capacity: room, Free: room, Slowness: 1, State: tasklink.StateReady, Waits: []int{0, 0, 0}}, RunEnds: ends,
	}), qt.IsNil)
}

// start waits for a start order and returns its first run.
func (a *agent) start(t *testing.T) pollenfront.RunID {
	t.Helper()
	for {
		var orders tasklink.Commands
		qt.Assert(t, a.Receive(&orders), qt.IsNil)
		for _, s := range orders.Starts {
			return pollenfront.RunID{Number: s.Tasks[0].Run, TaskID: pollenfront.TaskID{Index: s.Tasks[0].Index, Job: s.Job, Step: s.Step}}
		}
	}
}

// submission returns a job of one task.
func submission(once bool) pollenfront.Submission {
	return pollenfront.Submission{
		AtMostOnce: once, Count: 1, Estimate: 100 * time.Millisecond, ID: "0011223344556677", Payload: "p",
		Route: pollenfront.Route{LatencyTarget: 10 * time.Second, MaxAttempts: 2, Name: "r", Service: "service", Stretch: 1.6}, TimeLimit: 20 * time.Second,
	}
}

// submit submits a job in the background.
func submit(ctx context.Context, j *Jobs, s pollenfront.Submission) <-chan pollenfront.Result {
	end := make(chan pollenfront.Result, 1)
	go func() { end <- j.Submit(ctx, s) }()
	return end
}

func TestSubmit(t *testing.T) {
	c := qt.New(t)
	j, a := newJobs(t, nil)
	end := submit(context.Background(), j, submission(false))
	run := a.start(t)
	a.update(t, tasklink.RunEnd{Ending: pollenfront.EndingDone, Run: run})
	c.Assert((<-end).Verdict, qt.Equals, pollenfront.VerdictCompleted)
}

func TestSameID(t *testing.T) {
	c := qt.New(t)
	j, a := newJobs(t, nil)
	first := submit(context.Background(), j, submission(false))
	run := a.start(t)
	other := submission(false)
	other.Payload = "another"
	c.Assert(j.Submit(context.Background(), other).Verdict, qt.Equals, pollenfront.VerdictConflict)
	ctx, leave := context.WithCancel(context.Background())
	second := submit(ctx, j, submission(false))
	third := submit(context.Background(), j, submission(false))
	for {
		j.mu.Lock()
		callers := len(j.waiters[run.Job].callers)
		j.mu.Unlock()
		if callers == 3 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	leave()
	c.Assert((<-second).Reason, qt.Equals, pollenfront.ReasonCallerLeft)
	a.update(t, tasklink.RunEnd{Ending: pollenfront.EndingDone, Run: run})
	c.Assert((<-first).Verdict, qt.Equals, pollenfront.VerdictCompleted)
	c.Assert((<-third).Verdict, qt.Equals, pollenfront.VerdictCompleted)
}

func TestCallerLeaves(t *testing.T) {
	c := qt.New(t)
	j, a := newJobs(t, nil)
	ctx, leave := context.WithCancel(context.Background())
	end := submit(ctx, j, submission(false))
	run := a.start(t)
	leave()
	c.Assert((<-end).Reason, qt.Equals, pollenfront.ReasonCallerLeft)
	for {
		var orders tasklink.Commands
		c.Assert(a.Receive(&orders), qt.IsNil)
		if len(orders.Stops) > 0 {
			c.Assert(orders.Stops, qt.DeepEquals, []pollenfront.RunID{run})
			return
		}
	}
}

// TestOnce checks that a job that may run only once is claimed, and that a task
// of it whose run was lost is not started again.
func TestOnce(t *testing.T) {
	c := qt.New(t)
	store := &claims{claimed: make(map[string]bool)}
	j, a := newJobs(t, store)
	end := submit(context.Background(), j, submission(true))
	run := a.start(t)
	a.update(t, tasklink.RunEnd{Ending: pollenfront.EndingLost, Run: run})
	lost := <-end
	c.Assert(lost.Verdict, qt.Equals, pollenfront.VerdictUnknown)
	c.Assert(lost.Reason, qt.Equals, pollenfront.ReasonRunLost)
	again := j.Submit(context.Background(), submission(true))
	c.Assert(again.Reason, qt.Equals, pollenfront.ReasonAlreadyClaimed)
	store.err = context.DeadlineExceeded
	other := submission(true)
	other.ID = "8899aabbccddeeff"
	c.Assert(j.Submit(context.Background(), other).Reason, qt.Equals, pollenfront.ReasonStoreUnavailable)
}

// TestDelayedLink checks that a greeting that was held up until after a later
// link of the same agent changes nothing: it does not know the runs that were
// ordered since. (Soak seed 14: links held up for 2.9 s, a task ran three times.)
func TestDelayedLink(t *testing.T) {
	c := qt.New(t)
	j, a := newJobs(t, nil)
	end := submit(context.Background(), j, submission(false))
	run := a.start(t)
	left, right := net.Pipe()
	served := make(chan struct{})
	go func() {
		j.serveLink(left)
		close(served)
	}()
	delayed := tasklink.NewLink(right)
	defer delayed.Close()
	var hello tasklink.Hello
	c.Assert(delayed.Receive(&hello), qt.IsNil)
	c.Assert(delayed.Send(&tasklink.Hello{Incarnation: 1, LinkSeqNum: 4, Name: "agent-1", Service: "service", Version: tasklink.Version, Zone: "west"}), qt.IsNil)
	<-served
	a.update(t, tasklink.RunEnd{Ending: pollenfront.EndingDone, Run: run})
	c.Assert((<-end).Verdict, qt.Equals, pollenfront.VerdictCompleted)
}

func TestFailedTask(t *testing.T) {
	c := qt.New(t)
	j, a := newJobs(t, nil)
	end := submit(context.Background(), j, submission(false))
	first := a.start(t)
	a.update(t, tasklink.RunEnd{Ending: pollenfront.EndingFailed, Run: first})
	second := a.start(t)
	c.Assert(second.Number > first.Number, qt.IsTrue)
	a.update(t, tasklink.RunEnd{Ending: pollenfront.EndingFailed, Run: second})
	failed := <-end
	c.Assert(failed.Verdict, qt.Equals, pollenfront.VerdictFailed)
	c.Assert(failed.Reason, qt.Equals, pollenfront.ReasonTaskFailed)
}
