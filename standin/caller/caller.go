// Package caller is a stand-in for callers of the users' platform: it submits
// jobs of plain tasks and returns their outcomes.
//
// # Usage
//
//	c := caller.New()
//	outcome := c.Submit(ctx, "127.0.1.1:8080", caller.Job{Host: "swap.example", Path: "/lookup/0011223344556677", …})
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxIdleConns is the number of idle connections that are kept for each entry.
const maxIdleConns = 64

// An Outcome says how a submission ended.
type Outcome int

// Outcomes of a submission.
const (
	// Unknown means that there was no answer, or one that does not say whether
	// the job ran.
	Unknown Outcome = iota

	// Completed means that every task succeeded.
	Completed

	// Refused means that the job was not run.
	Refused

	// Canceled means that the job was canceled by a caller.
	Canceled
)

// A Job is a job of one step of plain tasks, which may run more than once.
type Job struct {
	// CPU is the need of a task, in thousandths of a core.
	CPU int

	// CrashAfter is the time after which each task crashes its server. With zero they
	// don't.
	CrashAfter time.Duration

	// Deadline is the time until which the caller waits.
	Deadline time.Time
	Host     string

	// Path is the path of the request; it ends with the ID of the job.
	Path  string
	Tasks int

	// Work is the run time of a task on a server of normal speed.
	Work time.Duration
}

// A Caller submits jobs. It is safe for concurrent use.
type Caller struct {
	client *http.Client

	// conns has the open connections, with the addresses of their entries.
	conns map[*conn]string
	mu    sync.Mutex
}

// A conn is a connection to an entry.
type conn struct {
	*net.TCPConn

	caller *Caller
}

// New returns a caller with its own pool of connections.
func New() *Caller {
	c := &Caller{conns: make(map[*conn]string)}
	c.client = &http.Client{Transport: &http.Transport{DialContext: c.dial, MaxIdleConnsPerHost: maxIdleConns}}
	return c
}

// dial connects to an entry.
func (c *Caller) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	connection := &conn{TCPConn: raw.(*net.TCPConn), caller: c} //nolint:forcetypeassert // The transport dials TCP only.
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[connection] = address
	return connection, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.caller.mu.Lock()
	delete(c.caller.conns, c)
	c.caller.mu.Unlock()
	return c.TCPConn.Close()
}

// Reset closes all connections to an entry with a TCP reset. The outcomes of the
// submissions that wait for it are Unknown.
func (c *Caller) Reset(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for connection, address := range c.conns {
		if address == entry {
			_ = connection.SetLinger(0)
			_ = connection.TCPConn.Close()
		}
	}
}

// Submit submits a job once, to the entry at an address, and returns its outcome.
// Errors count as Unknown.
func (c *Caller) Submit(ctx context.Context, entry string, job Job) Outcome {
	body, err := json.Marshal(map[string]any{
		"best-effort": true, "spec": fmt.Sprintf(`{"cpu":%d,"crash-ms":%d,"work":%q}`, job.CPU, job.CrashAfter.Milliseconds(), job.Work),
		"steps": []map[string]any{{"count": job.Tasks, "cpu": job.CPU, "mem-mb": 64, "estimate-ms": job.Work.Milliseconds()}},
	})
	if err != nil {
		return Unknown
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+job.Path, bytes.NewReader(body))
	if err != nil {
		return Unknown
	}
	request.Host = job.Host
	request.GetBody = nil // Keeps the transport from repeating the request.
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(job.Deadline).Milliseconds(), 10))
	response, err := c.client.Do(request)
	if err != nil {
		return Unknown
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
	case response.StatusCode == http.StatusServiceUnavailable:
		return Refused
	case response.StatusCode == http.StatusOK && bytes.Contains(data, []byte(`"completed"`)):
		return Completed
	case response.StatusCode == http.StatusOK && bytes.Contains(data, []byte(`"cancelled"`)):
		return Canceled
	}
	return Unknown
}

// Cancel requests once to cancel a job, from the entry at an address. It reports whether the
// request was acknowledged: the job was canceled, or does not exist.
func (c *Caller) Cancel(ctx context.Context, entry string, job Job) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+entry+job.Path, http.NoBody)
	if err != nil {
		return false
	}
	request.Host = job.Host
	response, err := c.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && (response.StatusCode == http.StatusOK || response.StatusCode == http.StatusGone)
}
