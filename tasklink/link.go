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

// Limits of a link.
const (
	// headerSize is the size of the length before each message, in bytes.
	headerSize = 4
	// maxFrameSize is the limit for a message, in bytes.
	maxFrameSize = 8 << 20
	// maxPendingSize is the limit for the bytes that wait to be written. Beyond
	// it, the peer is assumed to have stopped reading, and the link is closed.
	maxPendingSize = 16 << 20
	// readBufferSize is the size of the read buffer, in bytes.
	readBufferSize = 8 << 10
	// writeTimeout bounds a write. It is well over the time that a write takes
	// on a working connection.
	writeTimeout = 2 * time.Second
)

// Errors of a Link.
var (
	// ErrClosed means that the link is closed.
	ErrClosed = errors.New("the link is closed")
	// ErrFrameTooLarge means that a message is over the size limit, or that too
	// much is waiting to be written.
	ErrFrameTooLarge = fmt.Errorf("the frame is larger than %d bytes", maxFrameSize)
)

// A Link carries messages over a network connection. Its methods are safe for
// concurrent use, except that only one goroutine may call Receive.
type Link struct {
	closed  bool
	conn    net.Conn
	mu      sync.Mutex
	pending []byte // pending holds the frames that wait to be written.
	reader  *bufio.Reader
	spare   []byte        // spare is the buffer of the previous write, kept for reuse.
	wake    chan struct{} // wake tells writeLoop that pending is not empty.
}

// NewLink returns a link over conn. The link owns conn and closes it in Close.
func NewLink(conn net.Conn) *Link {
	l := &Link{conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize), wake: make(chan struct{}, 1)}
	go l.writeLoop()
	return l
}

// Send queues a message and returns without waiting for the network. It returns
// ErrClosed if the link is closed. If the message is too large or the peer does
// not read, it closes the link and returns ErrFrameTooLarge.
func (l *Link) Send(message msgp.Marshaler) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	start := len(l.pending)
	buffer, err := message.MarshalMsg(append(l.pending, 0, 0, 0, 0))
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	size := len(buffer) - start - headerSize
	if size > maxFrameSize || len(buffer) > maxPendingSize {
		l.closeLocked()
		return fmt.Errorf("%w: message of %d bytes, %d bytes pending", ErrFrameTooLarge, size, len(buffer))
	}
	binary.BigEndian.PutUint32(buffer[start:], uint32(size)) //nolint:gosec // Bounded by maxFrameSize.
	l.pending = buffer
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// Receive waits for the next message and decodes it. The caller should close the
// link after an error.
func (l *Link) Receive(message msgp.Unmarshaler) error {
	var header [headerSize]byte
	if _, err := io.ReadFull(l.reader, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameSize {
		return fmt.Errorf("%w: message of %d bytes", ErrFrameTooLarge, size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(l.reader, body); err != nil {
		return err
	}
	if _, err := message.UnmarshalMsg(body); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// Close closes the link and discards the messages that were not written yet. It
// may be called more than once.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLocked()
}

// closeLocked closes the link. The caller must hold mu.
func (l *Link) closeLocked() {
	if l.closed {
		return
	}
	l.closed = true
	_ = l.conn.Close()
	close(l.wake)
}

// writeLoop writes pending frames until the link closes. It swaps two buffers, so
// that Send can fill one while the other is being written.
func (l *Link) writeLoop() {
	for range l.wake {
		l.mu.Lock()
		batch := l.pending
		l.pending = l.spare[:0]
		l.spare = nil
		l.mu.Unlock()
		if len(batch) > 0 {
			_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := l.conn.Write(batch); err != nil {
				l.Close() // Receive then returns an error.
				return
			}
		}
		l.mu.Lock()
		l.spare = batch
		l.mu.Unlock()
	}
}
