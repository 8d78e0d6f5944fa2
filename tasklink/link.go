package tasklink

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// Limits on a link.
const (
	headerSize   = 4               // bytes, of a frame
	maxFrame     = 8 << 20         // bytes
	maxPending   = 16 << 20        // bytes that wait to be written; a peer that reads nothing is given up
	readBuffer   = 8 << 10         // bytes
	writeTimeout = 2 * time.Second // well over what a link without faults needs for a frame
)

// Errors of a Link.
var (
	// ErrClosed means that the link is closed.
	ErrClosed = errors.New("the link is closed")
	// ErrFrameTooLarge means that a frame is over the limit.
	ErrFrameTooLarge = fmt.Errorf("the frame is larger than %d bytes", maxFrame)
)

// A Link carries messages over a network connection. Its methods may be called
// at the same time, but for Receive, which one goroutine calls.
type Link struct {
	closed  bool
	conn    net.Conn
	mu      sync.Mutex
	pending []byte
	reader  *bufio.Reader
	spare   []byte // Written before, to be used again.
	wake    chan struct{}
}

// NewLink returns a link over conn, which it owns from then on.
func NewLink(conn net.Conn) *Link {
	l := &Link{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), wake: make(chan struct{}, 1)}
	go l.write()
	return l
}

// Send queues a message and returns without waiting for the network. It
// reports an error if the link is closed or its peer reads nothing.
func (l *Link) Send(message msgp.Marshaler) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	start := len(l.pending)
	framed, err := message.MarshalMsg(append(l.pending, 0, 0, 0, 0))
	if err != nil {
		return fmt.Errorf("encode a message: %w", err)
	}
	size := len(framed) - start - headerSize
	if size > maxFrame || len(framed) > maxPending {
		l.closeLocked()
		return ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(framed[start:], uint32(size)) //nolint:gosec // Bounded by maxFrame.
	l.pending = framed
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// Receive waits for the next message and decodes it.
func (l *Link) Receive(into msgp.Unmarshaler) error {
	var header [headerSize]byte
	if _, err := io.ReadFull(l.reader, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrame {
		return ErrFrameTooLarge
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(l.reader, body); err != nil {
		return err
	}
	if _, err := into.UnmarshalMsg(body); err != nil {
		return fmt.Errorf("decode a message: %w", err)
	}
	return nil
}

// Close closes the link. Messages that were not written yet are lost.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLocked()
}

// closeLocked closes the link; the caller holds mu.
func (l *Link) closeLocked() {
	if l.closed {
		return
	}
	l.closed = true
	_ = l.conn.Close()
	close(l.wake)
}

// write writes what is pending until the link closes.
func (l *Link) write() {
	for range l.wake {
		l.mu.Lock()
		out := l.pending
		l.pending = l.spare[:0]
		l.spare = nil
		l.mu.Unlock()
		if len(out) > 0 {
			_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := l.conn.Write(out); err != nil {
				l.Close() // Receive reports the loss.
				return
			}
		}
		l.mu.Lock()
		l.spare = out
		l.mu.Unlock()
	}
}
