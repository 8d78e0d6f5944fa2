package callerconn_test

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/callerconn"
)

// newPair returns a connection that w watches, its ID and the caller's side of it. before is
// called with the caller's side before the connection is accepted.
func newPair(t testing.TB, w *callerconn.Watcher, before func(caller *net.TCPConn)) (net.Conn, callerconn.ID, *net.TCPConn) {
	t.Helper()
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	caller, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = caller.Close() })
	tcp, ok := caller.(*net.TCPConn)
	c.Assert(ok, qt.IsTrue)
	before(tcp)
	conn, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	id := callerconn.FromContext(w.Context(context.Background(), conn))
	c.Assert(id, qt.Not(qt.Equals), callerconn.ID(0))
	return conn, id, tcp
}

// awaitClosed calls w.Closed until it returns a connection, and returns all of them.
func awaitClosed(t *testing.T, w *callerconn.Watcher) []callerconn.ID {
	t.Helper()
	for range 1000 {
		if closed := w.Closed(); len(closed) > 0 {
			return closed
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no connection was found closed")
	return nil
}

// TestClosed guards against jobs that go on although the kernel knows that their callers have
// left.
func TestClosed(t *testing.T) {
	tests := []struct {
		name  string
		leave func(caller *net.TCPConn)
	}{
		{name: "closed", leave: func(caller *net.TCPConn) { _ = caller.Close() }},
		{name: "closed for writing", leave: func(caller *net.TCPConn) { _ = caller.CloseWrite() }},
		{name: "closed after bytes that nobody has read", leave: func(caller *net.TCPConn) {
			_, _ = caller.Write([]byte("POST /"))
			_ = caller.Close()
		}},
		{name: "reset", leave: func(caller *net.TCPConn) {
			_ = caller.SetLinger(0)
			_ = caller.Close()
		}},
	}
	for _, test := range tests {
		for _, accepted := range []bool{true, false} {
			name := test.name
			before, after := func(*net.TCPConn) {}, test.leave
			if !accepted {
				name += " before it was accepted"
				before, after = test.leave, func(*net.TCPConn) {}
			}
			t.Run(name, func(t *testing.T) {
				c := qt.New(t)
				w, err := callerconn.NewWatcher()
				c.Assert(err, qt.IsNil)
				_, other, _ := newPair(t, w, func(*net.TCPConn) {})
				_, id, caller := newPair(t, w, before)
				after(caller)
				c.Assert(awaitClosed(t, w), qt.DeepEquals, []callerconn.ID{id})
				c.Assert(w.IsClosed(id), qt.IsTrue)
				c.Assert(w.IsClosed(other), qt.IsFalse)
				c.Assert(w.Closed(), qt.HasLen, 0)
			})
		}
	}
}

// TestManyClosed checks that one call returns more connections than one system call does.
func TestManyClosed(t *testing.T) {
	c := qt.New(t)
	w, err := callerconn.NewWatcher()
	c.Assert(err, qt.IsNil)
	const count = 300
	for range count {
		newPair(t, w, func(caller *net.TCPConn) { _ = caller.Close() })
	}
	closed := 0
	for range 1000 {
		closed += len(w.Closed())
		if closed == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("got %d closed connections, want %d", closed, count)
}

// TestForgottenConnection checks that a connection counts as closed once the server has closed
// it, and that its descriptor, used again, doesn't stand for it.
func TestForgottenConnection(t *testing.T) {
	c := qt.New(t)
	w, err := callerconn.NewWatcher()
	c.Assert(err, qt.IsNil)
	conn, id, _ := newPair(t, w, func(*net.TCPConn) {})
	w.HandleState(conn, http.StateIdle)
	c.Assert(w.IsClosed(id), qt.IsFalse)
	c.Assert(conn.Close(), qt.IsNil)
	w.HandleState(conn, http.StateClosed)
	c.Assert(w.IsClosed(id), qt.IsTrue)
	_, next, caller := newPair(t, w, func(*net.TCPConn) {})
	c.Assert(w.IsClosed(next), qt.IsFalse)
	_ = caller.Close()
	c.Assert(awaitClosed(t, w), qt.DeepEquals, []callerconn.ID{next})
}

// TestUnwatched checks that nothing is closed without a Watcher or a watched connection.
func TestUnwatched(t *testing.T) {
	c := qt.New(t)
	var none *callerconn.Watcher
	c.Assert(none.Closed(), qt.HasLen, 0)
	c.Assert(none.IsClosed(7), qt.IsFalse)
	w, err := callerconn.NewWatcher()
	c.Assert(err, qt.IsNil)
	pipe, _ := net.Pipe()
	id := callerconn.FromContext(w.Context(context.Background(), pipe))
	c.Assert(id, qt.Equals, callerconn.ID(0))
	c.Assert(w.IsClosed(id), qt.IsFalse)
}

// TestConnectionsAreProbed guards against runs that go on for a caller that has lost its
// connection on its own side only, while it submits its job to another entry.
func TestConnectionsAreProbed(t *testing.T) {
	c := qt.New(t)
	w, err := callerconn.NewWatcher()
	c.Assert(err, qt.IsNil)
	conn, _, _ := newPair(t, w, func(*net.TCPConn) {})
	tcp, ok := conn.(*net.TCPConn)
	c.Assert(ok, qt.IsTrue)
	raw, err := tcp.SyscallConn()
	c.Assert(err, qt.IsNil)
	for _, option := range []int{syscall.TCP_KEEPIDLE, syscall.TCP_KEEPINTVL} {
		seconds := 0
		c.Assert(raw.Control(func(fd uintptr) { seconds, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option) }), qt.IsNil)
		c.Assert(err, qt.IsNil)
		c.Assert(seconds, qt.Equals, 1)
	}
}

// TestLastHeard checks that the answers to probes show that a caller's machine still knows the
// connection, and that their absence shows too.
func TestLastHeard(t *testing.T) {
	c := qt.New(t)
	w, err := callerconn.NewWatcher()
	c.Assert(err, qt.IsNil)
	_, answering, _ := newPair(t, w, func(*net.TCPConn) {})
	conn, silent, _ := newPair(t, w, func(*net.TCPConn) {})
	tcp, ok := conn.(*net.TCPConn)
	c.Assert(ok, qt.IsTrue)
	c.Assert(tcp.SetKeepAlive(false), qt.IsNil) // An unanswered probe tells as much as none.
	longest := time.Duration(0)
	for range 25 {
		time.Sleep(100 * time.Millisecond)
		longest = max(longest, w.LastHeard(answering))
	}
	c.Assert(longest >= 800*time.Millisecond && longest < callerconn.SilenceTimeout, qt.IsTrue, qt.Commentf("%v", longest))
	c.Assert(w.LastHeard(silent) >= 2*time.Second, qt.IsTrue)
	c.Assert(w.LastHeard(0), qt.Equals, time.Duration(0))
}

// TestUnwatchableConnection guards against requests on a connection of which nobody would know
// that its caller has left.
func TestUnwatchableConnection(t *testing.T) {
	c := qt.New(t)
	w, err := callerconn.NewWatcher()
	c.Assert(err, qt.IsNil)
	conn, _, caller := newPair(t, w, func(*net.TCPConn) {})
	again := callerconn.FromContext(w.Context(context.Background(), conn)) // A descriptor can't be added twice.
	c.Assert(again, qt.Equals, callerconn.ID(0))
	_, err = caller.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
}

// TestClosedBehindForgotten guards against a closed connection that is not returned since many
// that the server has given away were closed before it.
func TestClosedBehindForgotten(t *testing.T) {
	c := qt.New(t)
	w, err := callerconn.NewWatcher()
	c.Assert(err, qt.IsNil)
	var callers []*net.TCPConn
	for range 128 {
		conn, _, caller := newPair(t, w, func(*net.TCPConn) {})
		w.HandleState(conn, http.StateHijacked)
		callers = append(callers, caller)
	}
	_, id, last := newPair(t, w, func(*net.TCPConn) {})
	for _, caller := range append(callers, last) {
		c.Assert(caller.Close(), qt.IsNil)
	}
	time.Sleep(50 * time.Millisecond)
	c.Assert(w.Closed(), qt.DeepEquals, []callerconn.ID{id})
}

// BenchmarkClosed measures what an entry does before each event, with the connections of 200
// callers that wait.
func BenchmarkClosed(b *testing.B) {
	w, err := callerconn.NewWatcher()
	qt.Assert(b, err, qt.IsNil)
	for range 200 {
		newPair(b, w, func(*net.TCPConn) {})
	}
	for b.Loop() {
		w.Closed()
	}
}
