package jobs

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/tasklink"
)

// linkAgain opens another link of an agent to j and returns the agent's side. j has handled the
// hello when it returns.
func linkAgain(t *testing.T, j *Jobs, name string, linkSeqNum uint64) *fakeAgent {
	t.Helper()
	c := qt.New(t)
	entryConn, agentConn := net.Pipe()
	go j.serveLink(j.newLink(entryConn))
	a := &fakeAgent{Link: tasklink.NewLink(agentConn)}
	t.Cleanup(a.Close)
	var hello tasklink.Hello
	c.Assert(a.Receive(&hello), qt.IsNil)
	c.Assert(a.Send(&tasklink.Hello{Incarnation: 1, LinkSeqNum: linkSeqNum, Name: name, Service: "service", Version: tasklink.Version, Zone: "west"}), qt.IsNil)
	for {
		j.mu.Lock()
		link, ok := j.links[name]
		linked := ok && link.hello.LinkSeqNum == linkSeqNum
		j.mu.Unlock()
		if linked {
			return a
		}
		time.Sleep(time.Millisecond)
	}
}

// receiveStarts returns the jobs that are started by the commands that arrive until an echo of
// clock.
func (a *fakeAgent) receiveStarts(t *testing.T, clock int64) []string {
	t.Helper()
	var jobs []string
	for {
		var commands tasklink.Commands
		qt.Assert(t, a.Receive(&commands), qt.IsNil)
		for _, s := range commands.Starts {
			jobs = append(jobs, s.Job)
		}
		if commands.EchoedClock == clock {
			return jobs
		}
	}
}

// TestStartBeforeHelloIsHandled guards against two runs of a task that was sent on a new link of
// an agent before the hello on it was compared with what had been sent. The hello does not list
// the run, so that the entry would take it for one that never reached the agent and send the task
// to another one as well. Here the agent has reset its former link, and the caller of another job
// leaves at that moment, which makes room for the task.
func TestStartBeforeHelloIsHandled(t *testing.T) {
	c := qt.New(t)
	j, first := newLinkedJobs(t, nil)
	second := linkAgain(t, j, "agent-2", 1)
	capacity := pollenfront.Resources{CPU: 64000}
	update := func(clock int64, slowness float64) *tasklink.Update {
		return &tasklink.Update{Clock: clock, Report: tasklink.Report{
			Capacity: capacity, Free: capacity, RunSeconds: 10, Slowness: slowness, State: tasklink.StateReady, Waits: []int{0, 0, 0},
		}}
	}
	c.Assert(first.Send(update(2, 1)), qt.IsNil)
	c.Assert(second.Send(update(2, 1.2)), qt.IsNil)
	awaitUsable(j, 2)

	// Two servers have no room for three tasks of this job. The other one is overdue, and waits
	// until no such job is in the queue.
	ctx, caller := newWatchedConn(t, j)
	large := newSubmission(false)
	large.ID, large.Need, large.TaskCount = "8899aabbccddeeff", capacity, 3
	submitAsync(ctx, j, large)
	awaitSubmissions(j, 1)
	overdue := newSubmission(false)
	overdue.Estimate, overdue.Route.LatencyTarget, overdue.Route.Stretch = 2*time.Second, 0, 1
	submitAsync(context.Background(), j, overdue)
	awaitSubmissions(j, 2)
	c.Assert(j.Pending(large.Route), qt.Equals, 2)

	closeAndWait(t, caller)
	relinked := linkAgain(t, j, "agent-1", 6)
	c.Assert(relinked.Send(update(7, 1)), qt.IsNil)
	c.Assert(second.Send(update(8, 1.2)), qt.IsNil)
	awaitUsable(j, 2)
	echoRegularly(t, j)
	started := append(relinked.receiveStarts(t, 7), second.receiveStarts(t, 8)...)
	c.Assert(started, qt.DeepEquals, []string{overdue.ID})
}

// echoRegularly makes j send an echo on all links, again and again until the test ends.
func echoRegularly(t *testing.T, j *Jobs) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for version := uint64(1); ctx.Err() == nil; version++ {
			j.SetOperatorState(pollenfront.OperatorState{Version: version})
			time.Sleep(5 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// awaitUsable waits until j may send tasks to a number of agents.
func awaitUsable(j *Jobs, n int) {
	for usable := -1; usable != n; time.Sleep(time.Millisecond) {
		j.mu.Lock()
		usable = j.scheduler.UsableAgents(bootclock.Now())
		j.mu.Unlock()
	}
}

// awaitSubmissions waits until callers wait for a number of jobs.
func awaitSubmissions(j *Jobs, n int) {
	for j.SubmissionCount() != n {
		time.Sleep(time.Millisecond)
	}
}
