// Package callerconn watches the connections of callers, so that an entry knows which
// callers have left before it sends anything on their behalf.
//
// The HTTP server reads the end of a connection in a goroutine, which has to wait for its
// turn. On a busy machine, or after a suspension, the entry would meanwhile go on with the
// jobs of callers that have left and submit them elsewhere. A Watcher asks the kernel instead,
// which takes one system call for all connections.
//
// The kernel knows nothing of a connection that broke at the caller's side only, or behind a
// cut. It probes each connection after ProbeIdle without a packet. A caller's machine that has
// lost the connection resets it. LastHeard tells when the machine last answered anything.
//
// What the kernel tells may come late, or not at all. MaxRequestAge needs nothing from it: it
// bounds the age of a request by the times at which the process stood still. Check tells
// what the kernel reports.
//
// # Usage
//
//	w, err := callerconn.NewWatcher()
//	server := &http.Server{BaseContext: w.BaseContext, ConnContext: w.Context, ConnState: w.HandleState, …}
//
//	conn := callerconn.FromContext(request.Context())
//	w.Observe(now)
//	for _, conn := range w.Closed() { … }
package callerconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/pauselog"
)

// eventsPerPoll is the number of closed connections that one system call returns.
const eventsPerPoll = 128

// ProbeIdle is the time without a packet after which the kernel probes a connection. It knows no
// shorter one.
const ProbeIdle = time.Second

// SilenceTimeout is the time without a packet from a caller's machine after which the caller
// counts as gone. The answer to a probe comes well before. A caller submits its job again 1.3 s
// after its connection broke, which leaves the rest for the stop.
const SilenceTimeout = 1150 * time.Millisecond

// probes are the keep-alive probes on connections of callers.
var probes = net.KeepAliveConfig{Count: 9, Enable: true, Idle: ProbeIdle, Interval: ProbeIdle}

// An ID identifies a connection. The zero ID stands for one that is not watched.
type ID int32

// A Watcher watches connections. It is safe for concurrent use. A nil Watcher watches none.
type Watcher struct {
	// epoll is the descriptor of the epoll instance to which all connections are added.
	epoll  int
	events [eventsPerPoll]unix.EpollEvent
	// ids has the open connections.
	ids    map[net.Conn]ID
	lastID ID
	mu     sync.Mutex
	// open has the connections of ids without those that were found closed.
	open map[ID]openConn
	// pauses has the times during which the process stood still.
	pauses pauselog.Log
}

// An openConn is a connection that is not known to be closed.
type openConn struct {
	*net.TCPConn

	// quietAt is a time before the next request on the connection was sent: the connection was
	// not established yet, or the request before was answered then.
	quietAt time.Duration
}

// NewWatcher returns a Watcher that watches no connection yet.
func NewWatcher() (*Watcher, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("create an epoll instance: %w", err)
	}
	return &Watcher{epoll: epoll, ids: make(map[net.Conn]ID), open: make(map[ID]openConn)}, nil
}

// close releases the epoll instance. The Watcher must not be used afterwards.
func (w *Watcher) close() {
	_ = unix.Close(w.epoll)
}

// idKey is the key of the ID in the context of a request.
type idKey struct{}

// Context adds a connection to the watched ones, or closes it if it can't be watched. It is the
// ConnContext of an http.Server.
func (w *Watcher) Context(ctx context.Context, conn net.Conn) context.Context {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return ctx
	}
	_ = tcp.SetKeepAliveConfig(probes) // It fails only if the connection is closed already.
	id, err := w.add(openConn{TCPConn: tcp, quietAt: acceptQueueOf(ctx).next()})
	if err != nil {
		_ = conn.Close() // Nobody would know when the caller leaves.
		return ctx
	}
	return context.WithValue(ctx, idKey{}, id)
}

// FromContext returns the ID of the connection on which a request with the given context
// arrived, or zero if the connection is not watched.
func FromContext(ctx context.Context) ID {
	id, _ := ctx.Value(idKey{}).(ID)
	return id
}

// add adds a connection and returns its ID.
func (w *Watcher) add(conn openConn) (ID, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID = max(w.lastID+1, 1) // It starts again after the highest ID.
	event := unix.EpollEvent{Events: unix.EPOLLRDHUP | unix.EPOLLONESHOT, Fd: int32(w.lastID)}
	controlErr := raw.Control(func(fd uintptr) { err = unix.EpollCtl(w.epoll, unix.EPOLL_CTL_ADD, int(fd), &event) })
	if err := errors.Join(controlErr, err); err != nil {
		return 0, err
	}
	w.ids[conn.TCPConn], w.open[w.lastID] = w.lastID, conn
	return w.lastID, nil
}

// HandleState records that a connection is idle, and forgets one that the server has closed. It
// is the ConnState of an http.Server.
func (w *Watcher) HandleState(conn net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
	case http.StateIdle:
		if c, ok := w.open[w.ids[conn]]; ok {
			c.quietAt = bootclock.Now()
			w.open[w.ids[conn]] = c
		}
	case http.StateClosed, http.StateHijacked:
		delete(w.open, w.ids[conn])
		delete(w.ids, conn)
	}
}

// Closed returns the connections that were closed by their callers, or have failed, since the
// last call.
func (w *Watcher) Closed() []ID {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var closed []ID
	for {
		n, err := unix.EpollWait(w.epoll, w.events[:], 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		for _, event := range w.events[:max(n, 0)] {
			if id := ID(event.Fd); w.isOpen(id) {
				delete(w.open, id)
				closed = append(closed, id)
			}
		}
		if n < eventsPerPoll {
			return closed
		}
	}
}

// IsClosed reports whether a connection is known to be closed: Closed has returned it, or the
// server has closed it.
func (w *Watcher) IsClosed(id ID) bool {
	if w == nil || id == 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.isOpen(id)
}

// isOpen reports whether a connection is not known to be closed. The caller must hold mu.
func (w *Watcher) isOpen(id ID) bool {
	_, ok := w.open[id]
	return ok
}

// Observe records that the process works. It must be called often, and before the methods below
// whenever the process may have stood still.
func (w *Watcher) Observe(now time.Duration) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pauses.Observe(now, bootclock.Suspended())
}

// MaxRequestAge returns the longest time since which a request that was just read from a
// connection may have been under way, if its caller has waited for the answer to the one before.
// It is zero unless the process stood still, or if the connection is not watched any more.
func (w *Watcher) MaxRequestAge(now time.Duration, id ID) time.Duration {
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	conn, ok := w.open[id]
	if !ok {
		return 0
	}
	return w.pauses.MaxAge(now, conn.quietAt)
}

// LastHeard returns the time since the machine of a caller last sent a packet on a connection,
// as an answer to a probe at the latest, or zero if that is not known.
func (w *Watcher) LastHeard(id ID) time.Duration {
	if w == nil {
		return 0
	}
	w.mu.Lock()
	conn, ok := w.open[id]
	w.mu.Unlock()
	if !ok {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err := errors.Join(controlErr, err); err != nil {
		return 0
	}
	return time.Duration(min(info.Last_ack_recv, info.Last_data_recv)) * time.Millisecond
}
