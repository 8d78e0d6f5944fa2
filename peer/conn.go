// Package peer carries the messages between pollenfront's processes as
// JSON-RPC 2.0 over TCP.
//
// Agents dial every entry in the view, and entries dial each other. Both ends
// of a connection serve calls. A refusal crosses the connection in the data of
// a JSON-RPC error and comes out of Call as the same *refusal.Error.
//
// # Usage
//
//	handler := peer.Handler{
//		peer.MethodPing: peer.Serve(func(ctx context.Context, c *peer.Conn, in peer.Ping) (peer.PingReply, error) { … }),
//	}
//	conn, err := peer.Dial(ctx, localIP, address, handler, metrics)
//	err = conn.Call(ctx, peer.MethodPing, peer.Ping{…}, &reply)
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/pollenfront/pollenfront/refusal"
)

// codeRefusal is the JSON-RPC error code of a refusal.
const codeRefusal = -32000

// A HandlerFunc serves one method.
type HandlerFunc func(ctx context.Context, conn *Conn, params json.RawMessage) (any, error)

// A Handler maps methods to the functions that serve them.
type Handler map[string]HandlerFunc

// Serve returns a HandlerFunc that decodes the parameters for f.
func Serve[P, R any](f func(ctx context.Context, conn *Conn, params P) (R, error)) HandlerFunc {
	return func(ctx context.Context, conn *Conn, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, refusal.New(refusal.BadRequest, "parameters: %v", err)
		}
		return f(ctx, conn, params)
	}
}

// A Conn is a connection to another process.
type Conn struct {
	metrics *Metrics
	rpc     *jsonrpc2.Conn
}

// newConn returns a Conn over an established network connection.
func newConn(ctx context.Context, network net.Conn, handler Handler, metrics *Metrics) *Conn {
	c := &Conn{metrics: metrics}
	ready := make(chan struct{})
	serve := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
		<-ready
		return c.serve(ctx, handler, request)
	}).SuppressErrClosed()
	stream := jsonrpc2.NewBufferedStream(metrics.count(network), jsonrpc2.VarintObjectCodec{})
	c.rpc = jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(serve))
	close(ready)
	return c
}

// Call calls a method of the other process and waits for its result. It
// returns a *refusal.Error if the other process refused, and another error if
// the connection broke or ctx ended: the call may then have taken effect.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	c.metrics.sent(method)
	err := c.rpc.Call(ctx, method, params, result)
	var failure *jsonrpc2.Error
	if errors.As(err, &failure) {
		return decodeError(failure)
	}
	return err
}

// Notify calls a method of the other process without waiting for a result.
func (c *Conn) Notify(ctx context.Context, method string, params any) error {
	c.metrics.sent(method)
	return c.rpc.Notify(ctx, method, params)
}

// Close closes the connection.
func (c *Conn) Close() {
	_ = c.rpc.Close()
}

// Done is closed when the connection is.
func (c *Conn) Done() <-chan struct{} {
	return c.rpc.DisconnectNotify()
}

// serve passes a request to the function that serves its method.
func (c *Conn) serve(ctx context.Context, handler Handler, request *jsonrpc2.Request) (any, error) {
	f, ok := handler[request.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + request.Method}
	}
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	result, err := f(ctx, c, params)
	if err != nil {
		return nil, encodeError(err)
	}
	return result, nil
}

// encodeError returns err as a JSON-RPC error.
func encodeError(err error) *jsonrpc2.Error {
	failure := &jsonrpc2.Error{Code: codeRefusal, Message: err.Error()}
	failure.SetError(refusal.From(err))
	return failure
}

// decodeError returns the refusal inside a JSON-RPC error.
func decodeError(failure *jsonrpc2.Error) error {
	var refused refusal.Error
	if failure.Data == nil || json.Unmarshal(*failure.Data, &refused) != nil || refused.Kind == "" {
		return refusal.New(refusal.Internal, "%s", failure.Message)
	}
	return &refused
}
