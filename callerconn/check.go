package callerconn

import (
	"context"
	"fmt"
	"net"
	"time"
)

// Times of Check.
const (
	// checkIdle is how long a connection of Check is silent.
	checkIdle = 20 * time.Millisecond
	// checkInterval is the time between two looks at a connection that was closed.
	checkInterval = time.Millisecond
	// checkTimeout is how long Check waits for the kernel to report that a connection is closed.
	checkTimeout = 100 * time.Millisecond
)

// A Support states what the kernel reports of connections.
type Support struct {
	// Closed is whether it reports that a connection is closed.
	Closed bool
	// ClosedAfter is the time that the report took.
	ClosedAfter time.Duration
	// LastHeard is whether it reports when the other side last sent a packet.
	LastHeard bool
}

// Check finds out what the kernel reports, with a connection of its own on the loopback
// interface. Without these reports, only what the HTTP server reads and MaxRequestAge tell that a
// caller has left.
func Check() (Support, error) {
	w, err := NewWatcher()
	if err != nil {
		return Support{}, err
	}
	defer w.close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Support{}, fmt.Errorf("listen: %w", err)
	}
	defer func() { _ = listener.Close() }()
	caller, err := net.DialTimeout("tcp", listener.Addr().String(), checkTimeout)
	if err != nil {
		return Support{}, fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = caller.Close() }()
	conn, err := listener.Accept()
	if err != nil {
		return Support{}, fmt.Errorf("accept: %w", err)
	}
	defer func() { _ = conn.Close() }()
	id := FromContext(w.Context(context.Background(), conn))
	time.Sleep(checkIdle)
	support := Support{LastHeard: w.LastHeard(id) > 0}
	_ = caller.Close()
	support.ClosedAfter, support.Closed = w.awaitClosed()
	return support, nil
}

// awaitClosed waits until the kernel reports a closed connection. It returns the time that this
// took, and false if there is none within checkTimeout.
func (w *Watcher) awaitClosed() (time.Duration, bool) {
	start := time.Now()
	for {
		closed := len(w.Closed()) > 0
		took := time.Since(start)
		if closed || took > checkTimeout {
			return took, closed
		}
		time.Sleep(checkInterval)
	}
}
