package callerconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pollenfront/pollenfront/bootclock"
)

// An acceptQueue has the connections of a listener that the kernel has established and the server
// has not accepted yet. Only the goroutine that accepts may use it.
type acceptQueue struct {
	// emptyAt is the newest time at which the queue is known to have been empty.
	emptyAt  time.Duration
	listener syscall.RawConn
}

// queueKey is the key of the acceptQueue in the context of a listener.
type queueKey struct{}

// BaseContext makes the Watcher tell how long the connections of a listener may have waited to be
// accepted. It is the BaseContext of an http.Server.
func (w *Watcher) BaseContext(listener net.Listener) context.Context {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return context.Background()
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return context.Background()
	}
	return context.WithValue(context.Background(), queueKey{}, &acceptQueue{emptyAt: bootclock.Now(), listener: raw})
}

// acceptQueueOf returns the queue in a context of BaseContext, or nil.
func acceptQueueOf(ctx context.Context) *acceptQueue {
	queue, _ := ctx.Value(queueKey{}).(*acceptQueue)
	return queue
}

// next returns a time before the connection that was accepted last was established, or zero if
// that is not known.
func (q *acceptQueue) next() time.Duration {
	if q == nil {
		return 0
	}
	establishedAfter := q.emptyAt
	now := bootclock.Now()
	if q.empty() {
		q.emptyAt = now
	}
	return establishedAfter
}

// empty reports whether no connection waits to be accepted.
func (q *acceptQueue) empty() bool {
	count, err := 0, error(nil)
	controlErr := q.listener.Control(func(fd uintptr) {
		count, err = unix.Poll([]unix.PollFd{{Events: unix.POLLIN, Fd: int32(fd)}}, 0) //nolint:gosec // A descriptor is small.
	})
	return controlErr == nil && err == nil && count == 0
}
