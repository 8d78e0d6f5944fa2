package main

import (
	"context"
	"net"
	"time"
)

// callerProbes are the keep-alive probes on connections of callers. The first one shows that
// a caller has lost its connection, and submits its job to another entry 1.3 s later. After
// the others have gone unanswered, the caller has long left.
var callerProbes = net.KeepAliveConfig{Count: 9, Enable: true, Idle: time.Second, Interval: time.Second}

// probeCaller is the ConnContext of the server for callers. It enables callerProbes.
func probeCaller(ctx context.Context, conn net.Conn) context.Context {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(callerProbes) // It fails only if the connection is closed already.
	}
	return ctx
}
