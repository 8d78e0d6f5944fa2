package main

import (
	"context"
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCallersAreProbed guards against runs that go on for a caller that has lost its
// connection on its own side only, while it submits its job to another entry.
func TestCallersAreProbed(t *testing.T) {
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
	probeCaller(context.Background(), conn)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	for _, option := range []int{syscall.TCP_KEEPIDLE, syscall.TCP_KEEPINTVL} {
		seconds := 0
		c.Assert(raw.Control(func(fd uintptr) { seconds, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option) }), qt.IsNil)
		c.Assert(err, qt.IsNil)
		c.Assert(seconds, qt.Equals, 1)
	}
}
