package jobs

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/callerconn"
	"github.com/pollenfront/pollenfront/tasklink"
)

// newWatchedConn makes j watch a connection, and returns the context of a request on it, which
// does not end by itself, and the caller's side.
func newWatchedConn(t *testing.T, j *Jobs) (context.Context, net.Conn) {
	t.Helper()
	ctx, caller, _ := newWatchedPair(t, j)
	return ctx, caller
}

// newWatchedConnOf is like newWatchedConn, for a Watcher that watches others already.
func newWatchedConnOf(t *testing.T, w *callerconn.Watcher) (context.Context, net.Conn) {
	t.Helper()
	ctx, caller, _ := newPairOf(t, w)
	return ctx, caller
}

// newWatchedPair is like newWatchedConn. It also returns the entry's side.
func newWatchedPair(t *testing.T, j *Jobs) (ctx context.Context, caller net.Conn, conn *net.TCPConn) {
	t.Helper()
	c := qt.New(t)
	w, err := callerconn.NewWatcher()
	c.Assert(err, qt.IsNil)
	j.WatchCallers(w)
	return newPairOf(t, w)
}

// newPairOf makes w watch a connection, and returns what newWatchedPair does.
func newPairOf(t *testing.T, w *callerconn.Watcher) (ctx context.Context, caller net.Conn, conn *net.TCPConn) {
	t.Helper()
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	caller, err = net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = accepted.Close() })
	conn, ok := accepted.(*net.TCPConn)
	c.Assert(ok, qt.IsTrue)
	return w.Context(context.Background(), conn), caller, conn
}

// closeAndWait closes the caller's side of a connection and waits until the kernel has told
// the other side.
func closeAndWait(t *testing.T, caller net.Conn) {
	t.Helper()
	qt.Assert(t, caller.Close(), qt.IsNil)
	time.Sleep(20 * time.Millisecond)
}

// resultTimeout is the time within which a job is answered that was not taken, or was canceled.
const resultTimeout = time.Second

// awaitResult returns the result of a job. It fails the test if there is none within
// resultTimeout, as the job was taken, or goes on.
func awaitResult(t *testing.T, j *Jobs, result <-chan pollenfront.Result) pollenfront.Result {
	t.Helper()
	select {
	case r := <-result:
		return r
	case <-time.After(resultTimeout):
		t.Fatalf("no answer after %v: the job was taken or goes on, and %d jobs wait", resultTimeout, j.SubmissionCount())
		return pollenfront.Result{}
	}
}

// TestStartForClosedConnection guards against a start for a caller that left while its request
// waited in a buffer, for example of an entry that stood still, or for the answer of the store.
func TestStartForClosedConnection(t *testing.T) {
	for _, atMostOnce := range []bool{false, true} {
		t.Run(fmt.Sprintf("at most once %v", atMostOnce), func(t *testing.T) {
			c := qt.New(t)
			j, a := newLinkedJobs(t, &claimStore{claimedIDs: make(map[string]bool)})
			ctx, caller := newWatchedConn(t, j)
			closeAndWait(t, caller)
			c.Assert(awaitResult(t, j, submitAsync(ctx, j, newSubmission(atMostOnce))).Reason, qt.Equals, pollenfront.ReasonCallerLeft)
			c.Assert(j.SubmissionCount(), qt.Equals, 0)
			j.tick() // Causes commands if nothing else does.
			var commands tasklink.Commands
			c.Assert(a.Receive(&commands), qt.IsNil)
			c.Assert(commands.Starts, qt.HasLen, 0)
		})
	}
}

// TestJoinOnClosedConnection guards against a job that goes on after its caller has left, since a
// second caller that had left as well was taken for one that waits.
func TestJoinOnClosedConnection(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, nil)
	ctx, first := newWatchedConn(t, j)
	result := submitAsync(ctx, j, newSubmission(false))
	run := a.receiveStart(t)
	otherCtx, second := newWatchedConnOf(t, j.conns)
	closeAndWait(t, second)
	c.Assert(awaitResult(t, j, submitAsync(otherCtx, j, newSubmission(false))).Reason, qt.Equals, pollenfront.ReasonCallerLeft)
	closeAndWait(t, first)
	j.tick()
	c.Assert(awaitResult(t, j, result).Reason, qt.Equals, pollenfront.ReasonCallerLeft)
	var commands tasklink.Commands
	for len(commands.Stops) == 0 {
		commands = tasklink.Commands{}
		c.Assert(a.Receive(&commands), qt.IsNil)
	}
	c.Assert(commands.Stops, qt.DeepEquals, []pollenfront.RunID{run})
}

// TestEchoOvertakesStop guards against a run that an entry keeps alive by echoes although its
// kernel knows that the caller's connection is closed: no message to the agent may echo an
// update that was sent after the break and not stop the run.
func TestEchoOvertakesStop(t *testing.T) {
	events := []struct {
		name  string
		cause func(j *Jobs, a *fakeAgent, t *testing.T)
	}{
		{name: "update", cause: func(_ *Jobs, a *fakeAgent, t *testing.T) { t.Helper(); a.sendClock(t, 2) }},
		{name: "tick", cause: func(j *Jobs, _ *fakeAgent, t *testing.T) { t.Helper(); j.tick() }},
		{name: "another submission", cause: func(j *Jobs, _ *fakeAgent, t *testing.T) {
			t.Helper()
			other := newSubmission(false)
			other.ID = "8899aabbccddeeff"
			submitAsync(context.Background(), j, other)
		}},
	}
	for _, event := range events {
		t.Run(event.name, func(t *testing.T) {
			c := qt.New(t)
			j, a := newLinkedJobs(t, nil)
			ctx, caller := newWatchedConn(t, j)
			result := submitAsync(ctx, j, newSubmission(false))
			run := a.receiveStart(t)
			closeAndWait(t, caller)
			event.cause(j, a, t)
			var commands tasklink.Commands
			c.Assert(a.Receive(&commands), qt.IsNil)
			c.Assert(commands.Stops, qt.DeepEquals, []pollenfront.RunID{run})
			c.Assert(commands.Starts, qt.HasLen, 0)
			c.Assert(awaitResult(t, j, result).Reason, qt.Equals, pollenfront.ReasonCallerLeft)
		})
	}
}

// TestFreedRoomForClosedConnection guards against a start for one of several callers that have
// left, in the room that the others leave.
func TestFreedRoomForClosedConnection(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, nil)
	ctx, caller := newWatchedConn(t, j)
	first := submitAsync(ctx, j, newSubmission(false))
	run := a.receiveStart(t)
	j.mu.Lock()
	w := j.conns
	j.mu.Unlock()
	waiting := newSubmission(false)
	waiting.ID, waiting.Need = "8899aabbccddeeff", pollenfront.Resources{CPU: 64000}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	other, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	conn, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	second := submitAsync(w.Context(context.Background(), conn), j, waiting)
	for j.SubmissionCount() < 2 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(caller.Close(), qt.IsNil)
	closeAndWait(t, other)
	a.sendUpdate(t, tasklink.RunEnd{Ending: pollenfront.EndingLost, Run: run})
	c.Assert(awaitResult(t, j, first).Reason, qt.Equals, pollenfront.ReasonCallerLeft)
	c.Assert(awaitResult(t, j, second).Reason, qt.Equals, pollenfront.ReasonCallerLeft)
	c.Assert(j.SubmissionCount(), qt.Equals, 0)
}

// TestSilentCaller guards against a run that goes on for a caller whose connection broke unseen:
// its machine does not answer, or not any more, and the caller submits its job elsewhere.
func TestSilentCaller(t *testing.T) {
	tests := []struct {
		name      string
		answering bool
	}{
		{name: "answers probes", answering: true},
		{name: "answers nothing", answering: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			j, a := newLinkedJobs(t, nil)
			ctx, _, conn := newWatchedPair(t, j)
			if !test.answering {
				c.Assert(conn.SetKeepAlive(false), qt.IsNil) // An unanswered probe tells as much as none.
			}
			result := submitAsync(ctx, j, newSubmission(false))
			a.receiveStart(t)
			go discard(a)
			deadline := time.Now().Add(callerconn.SilenceTimeout + 120*time.Millisecond)
			for len(result) == 0 && time.Now().Before(deadline) {
				time.Sleep(20 * time.Millisecond)
				a.sendClock(t, 1)
				j.tick()
			}
			c.Assert(len(result) == 0, qt.Equals, test.answering)
		})
	}
}

// TestRequestOfSilentCaller guards against a job that is taken, or goes on, for a caller whose
// machine has been silent for callerconn.SilenceTimeout, part of which had passed when the request
// was read: an entry that stood still reads it late, and the connection broke unseen meanwhile.
func TestRequestOfSilentCaller(t *testing.T) {
	tests := []struct {
		readAfter time.Duration
		started   bool
	}{
		{readAfter: 0, started: true},
		{readAfter: 800 * time.Millisecond, started: true},
		{readAfter: callerconn.SilenceTimeout + 50*time.Millisecond, started: false},
	}
	for _, test := range tests {
		t.Run("read after "+test.readAfter.String(), func(t *testing.T) {
			c := qt.New(t)
			j, a := newLinkedJobs(t, nil)
			var starts atomic.Int64
			go countStarts(a, &starts)
			ctx, _, conn := newWatchedPair(t, j)
			heard := time.Now()
			c.Assert(conn.SetKeepAlive(false), qt.IsNil) // An unanswered probe tells as much as none.
			tickUntil := func(silence time.Duration, result <-chan pollenfront.Result) {
				for len(result) == 0 && time.Since(heard) < silence {
					time.Sleep(20 * time.Millisecond)
					a.sendClock(t, 1)
					j.tick()
				}
			}
			tickUntil(test.readAfter, nil)
			result := submitAsync(ctx, j, newSubmission(false))
			tickUntil(callerconn.SilenceTimeout+120*time.Millisecond, result)
			c.Assert(result, qt.HasLen, 1)
			c.Assert(awaitResult(t, j, result).Reason, qt.Equals, pollenfront.ReasonCallerLeft)
			c.Assert(starts.Load() > 0, qt.Equals, test.started)
		})
	}
}

// TestEchoForSilentCaller guards against an echo that keeps a run alive for a caller whose machine
// has been silent for callerconn.SilenceTimeout, if the entry stood still and another event comes
// before the next tick.
func TestEchoForSilentCaller(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, nil)
	ctx, _, conn := newWatchedPair(t, j)
	heard := time.Now()
	c.Assert(conn.SetKeepAlive(false), qt.IsNil) // An unanswered probe tells as much as none.
	for time.Since(heard) < 400*time.Millisecond {
		time.Sleep(20 * time.Millisecond)
		a.sendClock(t, 1)
	}
	result := submitAsync(ctx, j, newSubmission(false))
	run := a.receiveStart(t)
	time.Sleep(time.Until(heard.Add(callerconn.SilenceTimeout + 50*time.Millisecond)))
	a.sendClock(t, 2)
	echoRegularly(t, j)
	var commands tasklink.Commands
	for commands.EchoedClock < 2 && len(commands.Stops) == 0 {
		commands = tasklink.Commands{}
		c.Assert(a.Receive(&commands), qt.IsNil)
	}
	c.Assert(commands.Stops, qt.DeepEquals, []pollenfront.RunID{run})
	c.Assert(awaitResult(t, j, result).Reason, qt.Equals, pollenfront.ReasonCallerLeft)
}

// countStarts receives the messages to an agent until its link is closed, and counts the start
// commands.
func countStarts(a *fakeAgent, starts *atomic.Int64) {
	for {
		var commands tasklink.Commands
		if a.Receive(&commands) != nil {
			return
		}
		starts.Add(int64(len(commands.Starts)))
	}
}

// discard receives the messages to an agent until its link is closed.
func discard(a *fakeAgent) {
	for {
		var commands tasklink.Commands
		if a.Receive(&commands) != nil {
			return
		}
	}
}
