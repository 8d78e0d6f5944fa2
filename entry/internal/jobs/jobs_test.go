package jobs

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/tasklink"
)

// claimStore is a store that implements only Claim. Claim records the claimed IDs and
// returns err if it is set.
type claimStore struct {
	pollenfront.Store

	claimedIDs map[string]bool
	err        error
}

func (s *claimStore) Claim(_ context.Context, id string) error {
	if s.err == nil && s.claimedIDs[id] {
		return pollenfront.ErrClaimed
	}
	s.claimedIDs[id] = true
	return s.err
}

// A fakeAgent is the agent's side of a link. It reports a server with free capacity.
type fakeAgent struct {
	*tasklink.Link
}

// newLinkedJobs returns a Jobs with one linked agent, whose server is usable.
func newLinkedJobs(t *testing.T, store pollenfront.Store) (*Jobs, *fakeAgent) {
	t.Helper()
	c := qt.New(t)
	j := New(tasklink.Hello{Incarnation: 1, Name: "entry-1", Version: tasklink.Version, Zone: "west"}, store, prometheus.NewRegistry(), zap.NewNop())
	entryConn, agentConn := net.Pipe()
	go j.serveLink(j.newLink(entryConn))
	a := &fakeAgent{Link: tasklink.NewLink(agentConn)}
	t.Cleanup(a.Close)
	var hello tasklink.Hello
	c.Assert(a.Receive(&hello), qt.IsNil)
	c.Assert(a.Send(&tasklink.Hello{Incarnation: 1, LinkSeqNum: 5, Name: "agent-1", Service: "service", Version: tasklink.Version, Zone: "west"}), qt.IsNil)
	a.sendUpdate(t)
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

// sendUpdate sends an update with a server that has free capacity and with runEnds.
func (a *fakeAgent) sendUpdate(t *testing.T, runEnds ...tasklink.RunEnd) {
	t.Helper()
	a.sendClock(t, 1, runEnds...)
}

// sendClock is like sendUpdate, with a reading of the agent's clock.
func (a *fakeAgent) sendClock(t *testing.T, clock int64, runEnds ...tasklink.RunEnd) {
	t.Helper()
	capacity := pollenfront.Resources{CPU: 64000}
	qt.Assert(t, a.Send(&tasklink.Update{
		Clock: clock, Report: tasklink.Report{Capacity: capacity, Free: capacity, Slowness: 1, State: tasklink.StateReady, Waits: []int{0, 0, 0}}, RunEnds: runEnds,
	}), qt.IsNil)
}

// receiveStart waits for a start command and returns its first run.
func (a *fakeAgent) receiveStart(t *testing.T) pollenfront.RunID {
	t.Helper()
	for {
		var commands tasklink.Commands
		qt.Assert(t, a.Receive(&commands), qt.IsNil)
		for _, s := range commands.Starts {
			return pollenfront.RunID{Number: s.Tasks[0].Run, TaskID: pollenfront.TaskID{Index: s.Tasks[0].Index, Job: s.Job, Step: s.Step}}
		}
	}
}

// newSubmission returns a job of one task. The job fails when the task has failed
// twice.
func newSubmission(atMostOnce bool) pollenfront.Submission {
	return pollenfront.Submission{
		AtMostOnce: atMostOnce, Estimate: 100 * time.Millisecond, ID: "0011223344556677", Payload: "p",
		Route:     pollenfront.Route{LatencyTarget: 10 * time.Second, MaxAttempts: 2, Name: "r", Service: "service", Stretch: 1.6},
		TaskCount: 1, TimeLimit: 20 * time.Second,
	}
}

// submitAsync submits a job in a new goroutine and returns the channel on which its
// result is sent.
func submitAsync(ctx context.Context, j *Jobs, s pollenfront.Submission) <-chan pollenfront.Result {
	result := make(chan pollenfront.Result, 1)
	go func() { result <- j.Submit(ctx, s) }()
	return result
}

func TestSubmitCompletes(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, nil)
	result := submitAsync(context.Background(), j, newSubmission(false))
	run := a.receiveStart(t)
	a.sendUpdate(t, tasklink.RunEnd{Ending: pollenfront.EndingDone, Run: run})
	c.Assert((<-result).Verdict, qt.Equals, pollenfront.VerdictCompleted)
}

func TestSubmitSameID(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, nil)
	first := submitAsync(context.Background(), j, newSubmission(false))
	run := a.receiveStart(t)
	other := newSubmission(false)
	other.Payload = "another"
	c.Assert(j.Submit(context.Background(), other).Verdict, qt.Equals, pollenfront.VerdictConflict)
	ctx, cancel := context.WithCancel(context.Background())
	second := submitAsync(ctx, j, newSubmission(false))
	third := submitAsync(context.Background(), j, newSubmission(false))
	for {
		j.mu.Lock()
		callers := len(j.submissions[run.Job].callers)
		j.mu.Unlock()
		if callers == 3 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	c.Assert((<-second).Reason, qt.Equals, pollenfront.ReasonCallerLeft)
	a.sendUpdate(t, tasklink.RunEnd{Ending: pollenfront.EndingDone, Run: run})
	c.Assert((<-first).Verdict, qt.Equals, pollenfront.VerdictCompleted)
	c.Assert((<-third).Verdict, qt.Equals, pollenfront.VerdictCompleted)
}

func TestCallerLeavesStopsRun(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, nil)
	ctx, cancel := context.WithCancel(context.Background())
	result := submitAsync(ctx, j, newSubmission(false))
	run := a.receiveStart(t)
	cancel()
	c.Assert((<-result).Reason, qt.Equals, pollenfront.ReasonCallerLeft)
	for {
		var commands tasklink.Commands
		c.Assert(a.Receive(&commands), qt.IsNil)
		if len(commands.Stops) > 0 {
			c.Assert(commands.Stops, qt.DeepEquals, []pollenfront.RunID{run})
			return
		}
	}
}

// TestSubmitAtMostOnce checks that the ID of an at-most-once job is claimed, that its
// task is not started again after the run was lost, and that the job is not run if
// the ID is already claimed or can't be claimed.
func TestSubmitAtMostOnce(t *testing.T) {
	c := qt.New(t)
	store := &claimStore{claimedIDs: make(map[string]bool)}
	j, a := newLinkedJobs(t, store)
	result := submitAsync(context.Background(), j, newSubmission(true))
	run := a.receiveStart(t)
	a.sendUpdate(t, tasklink.RunEnd{Ending: pollenfront.EndingLost, Run: run})
	lost := <-result
	c.Assert(lost.Verdict, qt.Equals, pollenfront.VerdictUnknown)
	c.Assert(lost.Reason, qt.Equals, pollenfront.ReasonRunLost)
	again := j.Submit(context.Background(), newSubmission(true))
	c.Assert(again.Reason, qt.Equals, pollenfront.ReasonAlreadyClaimed)
	store.err = context.DeadlineExceeded
	other := newSubmission(true)
	other.ID = "8899aabbccddeeff"
	c.Assert(j.Submit(context.Background(), other).Reason, qt.Equals, pollenfront.ReasonStoreUnavailable)
}

// TestStaleHello checks that a hello is rejected if it arrives after that of a newer
// link of the same agent. Such a hello does not list the runs that were started since,
// so the entry would start them again. In soak seed 14, links were delayed by 2.9 s
// and a task ran three times.
func TestStaleHello(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, nil)
	result := submitAsync(context.Background(), j, newSubmission(false))
	run := a.receiveStart(t)
	entryConn, agentConn := net.Pipe()
	served := make(chan struct{})
	go func() {
		j.serveLink(j.newLink(entryConn))
		close(served)
	}()
	stale := tasklink.NewLink(agentConn)
	defer stale.Close()
	var hello tasklink.Hello
	c.Assert(stale.Receive(&hello), qt.IsNil)
	c.Assert(stale.Send(&tasklink.Hello{Incarnation: 1, LinkSeqNum: 4, Name: "agent-1", Service: "service", Version: tasklink.Version, Zone: "west"}), qt.IsNil)
	<-served
	a.sendUpdate(t, tasklink.RunEnd{Ending: pollenfront.EndingDone, Run: run})
	c.Assert((<-result).Verdict, qt.Equals, pollenfront.VerdictCompleted)
}

func TestTaskFailsMaxAttempts(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, nil)
	result := submitAsync(context.Background(), j, newSubmission(false))
	first := a.receiveStart(t)
	a.sendUpdate(t, tasklink.RunEnd{Ending: pollenfront.EndingFailed, Run: first})
	second := a.receiveStart(t)
	c.Assert(second.Number > first.Number, qt.IsTrue)
	a.sendUpdate(t, tasklink.RunEnd{Ending: pollenfront.EndingFailed, Run: second})
	failed := <-result
	c.Assert(failed.Verdict, qt.Equals, pollenfront.VerdictFailed)
	c.Assert(failed.Reason, qt.Equals, pollenfront.ReasonTaskFailed)
}

// A failingListener fails to accept links, as a process does that has no descriptor
// left, until it is closed.
type failingListener struct {
	net.Listener

	accepts atomic.Int64
	closed  atomic.Bool
}

func (f *failingListener) Accept() (net.Conn, error) {
	f.accepts.Add(1)
	if f.closed.Load() {
		return nil, net.ErrClosed
	}
	return nil, syscall.EMFILE
}

// TestServeWithoutDescriptors checks that Serve tries again after a pause when it can't
// accept a link, and still ends when the listener is closed.
func TestServeWithoutDescriptors(t *testing.T) {
	c := qt.New(t)
	j := New(tasklink.Hello{Name: "entry-1"}, nil, prometheus.NewRegistry(), zap.NewNop())
	listener := &failingListener{}
	time.AfterFunc(200*time.Millisecond, func() { listener.closed.Store(true) })
	c.Assert(j.Serve(listener), qt.IsNil)
	c.Assert(listener.accepts.Load() <= 30, qt.IsTrue, qt.Commentf("%d attempts", listener.accepts.Load()))
}

// TestSilentPeer checks that a peer which connects and sends no hello does not keep its
// connection.
func TestSilentPeer(t *testing.T) {
	c := qt.New(t)
	j := New(tasklink.Hello{Name: "entry-1"}, nil, prometheus.NewRegistry(), zap.NewNop())
	entryConn, agentConn := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, agentConn) }()
	served := make(chan struct{})
	go func() {
		j.serveLink(j.newLink(entryConn))
		close(served)
	}()
	select {
	case <-served:
	case <-time.After(2 * helloTimeout):
		c.Fatal("the connection is still open")
	}
}

// TestConfigFromAgents checks which configuration an entry uses that has started while the
// store is unavailable: the newest copy that agents keep, but none while the store may
// still answer, and never instead of one from the store.
func TestConfigFromAgents(t *testing.T) {
	type step struct {
		at      time.Duration
		copy    uint64 // copy is the version of a copy that arrives from an agent, or zero.
		failure bool   // failure is set if the store fails.
		read    uint64 // read is the version that is read from the store, or zero.
		want    uint64 // want is the version in force after the step.
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{name: "no copy", steps: []step{{failure: true}, {at: time.Second}}},
		{name: "the store has not failed", steps: []step{{copy: 7}, {at: time.Second}}},
		{name: "the newest copy", steps: []step{{failure: true}, {copy: 7}, {copy: 8}, {at: copyDelay, want: 8}, {at: copyDelay, copy: 9, want: 8}, {at: 2 * copyDelay, want: 9}}},
		{name: "a copy before the failure", steps: []step{{copy: 7}, {at: copyDelay, failure: true, want: 7}}},
		{name: "the store after a copy", steps: []step{{failure: true}, {copy: 7}, {at: copyDelay, want: 7}, {at: time.Second, read: 8, want: 8}, {at: time.Second, copy: 9, want: 8}}},
		{name: "the store before a copy", steps: []step{{failure: true}, {read: 8, want: 8}, {copy: 9, want: 8}, {at: time.Second, want: 8}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := New(tasklink.Hello{Name: "entry-1"}, nil, prometheus.NewRegistry(), zap.NewNop())
			for i, s := range test.steps {
				if s.failure {
					j.HandleStoreFailure()
				}
				if s.read > 0 {
					j.SetOperatorState(pollenfront.OperatorState{Config: &pollenfront.Config{Version: s.read}})
				}
				if s.copy > 0 && !j.storeRead {
					j.offerConfig(s.at, &pollenfront.Config{Version: s.copy})
				}
				if s.copy == 0 && s.read == 0 {
					j.adoptConfig(s.at)
				}
				qt.Assert(t, j.configVersion(), qt.Equals, s.want, qt.Commentf("step %d", i))
			}
		})
	}
}

// TestConfigSentToAgent checks that an entry sends its configuration to an agent whose
// server it is the primary entry of, when it links and when the configuration changes.
func TestConfigSentToAgent(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, nil)
	for _, version := range []uint64{3, 4} {
		config := &pollenfront.Config{Routes: []pollenfront.Route{{Name: "r", LatencyTarget: time.Second}}, Version: version}
		j.SetOperatorState(pollenfront.OperatorState{Config: config})
		var commands tasklink.Commands
		for commands.Config == nil {
			c.Assert(a.Receive(&commands), qt.IsNil)
		}
		c.Assert(commands.Config.Version, qt.Equals, version)
		c.Assert(commands.Config.Routes, qt.DeepEquals, config.Routes)
	}
}
