package jobs

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/callerconn"
	"github.com/pollenfront/pollenfront/tasklink"
)

// pauseLength is how long the entries of these tests stand still.
const pauseLength = callerconn.SilenceTimeout + 150*time.Millisecond

// work makes j handle events for d, as an entry does that does not stand still.
func work(t *testing.T, j *Jobs, a *fakeAgent, d time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		a.sendClock(t, 1)
		j.tick()
	}
}

// standStill keeps j from handling any event for pauseLength. The agent goes on, and its update is
// the first event that is handled afterwards.
func standStill(t *testing.T, j *Jobs, a *fakeAgent) {
	t.Helper()
	j.mu.Lock()
	time.Sleep(pauseLength)
	a.sendClock(t, 2)
	time.Sleep(20 * time.Millisecond)
	j.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
}

// TestStaleRequest guards against a start for a request that an entry reads after it stood still,
// although its kernel does not report that the caller has left. The connections of these tests
// stay open, so that the kernel knows of nothing.
func TestStaleRequest(t *testing.T) {
	tests := []struct {
		name       string
		atMostOnce bool
		// pause stands still before the request is read.
		pause func(t *testing.T, j *Jobs, a *fakeAgent)
		// want is the verdict, and wantStarted whether the job starts instead.
		want        pollenfront.Verdict
		wantStarted bool
	}{
		{name: "no pause", pause: func(t *testing.T, j *Jobs, a *fakeAgent) { t.Helper(); work(t, j, a, pauseLength) }, wantStarted: true},
		{name: "pause", pause: func(*testing.T, *Jobs, *fakeAgent) { time.Sleep(pauseLength) }, want: pollenfront.VerdictRefused},
		{name: "pause, at most once", atMostOnce: true, pause: func(*testing.T, *Jobs, *fakeAgent) { time.Sleep(pauseLength) }, want: pollenfront.VerdictRefused},
		{name: "read late after the pause", pause: func(_ *testing.T, j *Jobs, _ *fakeAgent) {
			time.Sleep(pauseLength)
			for range 5 {
				j.tick()
				time.Sleep(40 * time.Millisecond)
			}
		}, want: pollenfront.VerdictRefused},
		{name: "two short pauses", pause: func(_ *testing.T, j *Jobs, _ *fakeAgent) {
			time.Sleep(pauseLength - 250*time.Millisecond)
			j.tick()
			time.Sleep(250 * time.Millisecond)
		}, want: pollenfront.VerdictRefused},
		{name: "short pause", pause: func(*testing.T, *Jobs, *fakeAgent) { time.Sleep(pauseLength / 2) }, wantStarted: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			j, a := newLinkedJobs(t, &claimStore{claimedIDs: make(map[string]bool)})
			ctx, _ := newWatchedConn(t, j)
			work(t, j, a, 100*time.Millisecond)
			test.pause(t, j, a)
			if test.wantStarted {
				submitAsync(ctx, j, newSubmission(test.atMostOnce))
				a.sendClock(t, 2) // The agent is suspect after the pause.
				a.receiveStart(t)
				return
			}
			result := awaitResult(t, j, submitAsync(ctx, j, newSubmission(test.atMostOnce)))
			c.Assert(result.Verdict, qt.Equals, test.want)
			c.Assert(result.Reason, qt.Equals, pollenfront.ReasonSuspended)
			c.Assert(j.SubmissionCount(), qt.Equals, 0)
		})
	}
}

// TestStaleRequestOnNewConnection guards against refusals of callers that connect to an entry
// after it stood still.
func TestStaleRequestOnNewConnection(t *testing.T) {
	j, a := newLinkedJobs(t, nil)
	newWatchedConn(t, j)
	work(t, j, a, 100*time.Millisecond)
	standStill(t, j, a)
	submitAsync(acceptAfter(t, j.conns, func() {}), j, newSubmission(false))
	a.receiveStart(t)
}

// TestStaleClaim guards against a start of an at-most-once job for a caller that has left while
// the entry stood still before the answer of the store. As the ID is claimed, the answer must not
// tell the caller to submit the job again.
func TestStaleClaim(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, &pausingStore{claimStore: claimStore{claimedIDs: make(map[string]bool)}})
	ctx, _ := newWatchedConn(t, j)
	work(t, j, a, 100*time.Millisecond)
	pending := submitAsync(ctx, j, newSubmission(true))
	time.Sleep(pauseLength)
	result := awaitResult(t, j, pending)
	c.Assert(result.Verdict, qt.Equals, pollenfront.VerdictUnknown)
	c.Assert(result.Reason, qt.Equals, pollenfront.ReasonSuspended)
}

// A pausingStore is a claimStore that answers after pauseLength.
type pausingStore struct {
	claimStore
}

// Claim implements pollenfront.Store.
func (s *pausingStore) Claim(ctx context.Context, id string) error {
	time.Sleep(pauseLength)
	return s.claimStore.Claim(ctx, id)
}

// TestStaleJoin guards against a caller that may have left, and is added to a job that runs. The
// job may have started, so that the answer must not say that it has not.
func TestStaleJoin(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, nil)
	ctx, _ := newWatchedConn(t, j)
	work(t, j, a, 100*time.Millisecond)
	time.Sleep(pauseLength)
	fresh := acceptAfter(t, j.conns, func() { j.conns.Observe(bootclock.Now()) })
	submitAsync(fresh, j, newSubmission(false))
	go discard(a)
	for j.SubmissionCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	result := awaitResult(t, j, submitAsync(ctx, j, newSubmission(false)))
	c.Assert(result.Verdict, qt.Equals, pollenfront.VerdictUnknown)
	c.Assert(result.Reason, qt.Equals, pollenfront.ReasonSuspended)
}

// TestStaleJobInQueue guards against a start, in room that becomes free, for a caller that may
// have left while the entry stood still.
func TestStaleJobInQueue(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, nil)
	ctx, _ := newWatchedConn(t, j)
	submitAsync(ctx, j, newSubmission(false))
	run := a.receiveStart(t)
	waiting := newSubmission(false)
	waiting.ID, waiting.Need = "8899aabbccddeeff", pollenfront.Resources{CPU: 64000}
	result := submitAsync(ctx, j, waiting)
	for j.SubmissionCount() < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(pauseLength)
	a.sendUpdate(t, tasklink.RunEnd{Ending: pollenfront.EndingLost, Run: run})
	c.Assert(awaitResult(t, j, result).Reason, qt.Equals, pollenfront.ReasonSuspended)
}

// acceptAfter makes w watch a connection that is established after the last look at an empty
// queue of the listener and after before, and returns the context of its requests.
func acceptAfter(t *testing.T, w *callerconn.Watcher, before func()) context.Context {
	t.Helper()
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	before()
	base := w.BaseContext(listener)
	caller, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = caller.Close() })
	conn, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return w.Context(base, conn)
}
