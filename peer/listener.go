package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// dialTimeout bounds the time to establish a connection.
const dialTimeout = 2 * time.Second

// Dial connects to the process at address. The connection comes from localIP,
// the address of this process in its settings.
func Dial(ctx context.Context, localIP, address string, handler Handler, metrics *Metrics) (*Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(localIP)}, Timeout: dialTimeout}
	network, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(context.WithoutCancel(ctx), network, handler, metrics), nil
}

// A Listener accepts connections from other processes.
type Listener struct {
	conns    map[*Conn]bool
	handler  Handler
	listener net.Listener
	metrics  *Metrics
	mutex    sync.Mutex
}

// Listen listens on address.
func Listen(address string, handler Handler, metrics *Metrics) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{conns: make(map[*Conn]bool), handler: handler, listener: listener, metrics: metrics}, nil
}

// Serve accepts connections until Close is called.
func (l *Listener) Serve() error {
	for {
		network, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		l.add(newConn(context.Background(), network, l.handler, l.metrics))
	}
}

// Close stops listening and closes all connections.
func (l *Listener) Close() {
	_ = l.listener.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.conns {
		c.Close()
	}
}

// add keeps a connection until it is closed.
func (l *Listener) add(c *Conn) {
	l.mutex.Lock()
	l.conns[c] = true
	l.mutex.Unlock()
	go func() {
		<-c.Done()
		l.mutex.Lock()
		delete(l.conns, c)
		l.mutex.Unlock()
	}()
}
