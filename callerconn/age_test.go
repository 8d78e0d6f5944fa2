package callerconn_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/callerconn"
)

// TestMaxRequestAge checks the ages of requests on connections that waited to be accepted while
// the process stood still, and of those that were established afterwards.
func TestMaxRequestAge(t *testing.T) {
	c := qt.New(t)
	w, err := callerconn.NewWatcher()
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	base := w.BaseContext(listener)
	dial := func() {
		caller, err := net.Dial("tcp", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		t.Cleanup(func() { _ = caller.Close() })
	}
	accept := func() callerconn.ID {
		conn, err := listener.Accept()
		c.Assert(err, qt.IsNil)
		t.Cleanup(func() { _ = conn.Close() })
		return callerconn.FromContext(w.Context(base, conn))
	}
	dial()
	before := accept()
	start := bootclock.Now()
	w.Observe(start)
	dial()
	dial()
	time.Sleep(400 * time.Millisecond)
	waited := []callerconn.ID{accept(), accept()}
	w.Observe(bootclock.Now())
	dial()
	accept() // It may have been established before the first look at the empty queue.
	dial()
	fresh := accept()
	now := bootclock.Now()
	for _, id := range append(waited, before) {
		age := w.MaxRequestAge(now, id)
		c.Assert(age >= 400*time.Millisecond && age <= now-start, qt.IsTrue, qt.Commentf("%v of %v", age, now-start))
	}
	c.Assert(w.MaxRequestAge(now, fresh), qt.Equals, time.Duration(0))
	c.Assert(w.MaxRequestAge(now, 0), qt.Equals, time.Duration(0))
	unqueued := callerconn.FromContext(w.Context(context.Background(), mustAccept(t)))
	c.Assert(w.MaxRequestAge(now, unqueued) >= 400*time.Millisecond, qt.IsTrue) // Nothing is known of its listener.
}

// mustAccept returns a connection of a listener of which nothing is known.
func mustAccept(t *testing.T) net.Conn {
	t.Helper()
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	caller, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = caller.Close() })
	conn, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestCheck checks that the kernel of this machine reports what the Watcher relies on first.
func TestCheck(t *testing.T) {
	c := qt.New(t)
	support, err := callerconn.Check()
	c.Assert(err, qt.IsNil)
	c.Assert(support.Closed, qt.IsTrue)
	c.Assert(support.LastHeard, qt.IsTrue)
	c.Assert(support.ClosedAfter < 50*time.Millisecond, qt.IsTrue)
}

// TestMaxRequestAgeOnIdleConnection guards against refusals of callers that send another request
// on a connection after they got an answer from an entry that had stood still.
func TestMaxRequestAgeOnIdleConnection(t *testing.T) {
	c := qt.New(t)
	w, err := callerconn.NewWatcher()
	c.Assert(err, qt.IsNil)
	conn, id, _ := newPair(t, w, func(*net.TCPConn) {})
	w.Observe(bootclock.Now())
	time.Sleep(400 * time.Millisecond)
	w.Observe(bootclock.Now())
	w.HandleState(conn, http.StateActive)
	c.Assert(w.MaxRequestAge(bootclock.Now(), id) >= 400*time.Millisecond, qt.IsTrue)
	w.HandleState(conn, http.StateIdle)
	c.Assert(w.MaxRequestAge(bootclock.Now(), id), qt.Equals, time.Duration(0))
}
