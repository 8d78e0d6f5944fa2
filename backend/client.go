// Package backend speaks to the backend server beside an agent over HTTP.
//
// A task is posted to /v1/tasks. The Start-By header holds the wall-clock time
// in Unix nanoseconds after which the backend server must not start the task.
// It answers 200 with the result, 409 with the header Not-Started: true if it
// did not start the task, and any other status if the task started and failed.
//
// # Usage
//
//	client := backend.NewClient("http://127.0.0.1:7200", 64)
//	payload, err := client.Run(ctx, ref, kind, task, startBy)
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/refusal"
)

// Headers of the backend servers' protocol.
const (
	HeaderNotStarted = "Not-Started"
	HeaderStartBy    = "Start-By"
)

// maxResultSize bounds the result of a task, in bytes.
const maxResultSize = 256 << 10

var _ pollenfront.Backend = &Client{}

// A Request is the body of a request to run a task.
type Request struct {
	Job     pollenfront.JobID `json:"job"`
	Kind    string            `json:"kind"`
	Payload json.RawMessage   `json:"payload,omitempty"`
	Task    string            `json:"task"`
}

// A Client runs tasks on a backend server.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a Client of the backend server at the base URL that opens
// at most the given number of connections.
func NewClient(base string, connections int) *Client {
	transport := &http.Transport{
		DisableCompression:  true,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
	}
	return &Client{base: base, client: &http.Client{Transport: transport}}
}

// Run implements pollenfront.Backend.
func (c *Client) Run(ctx context.Context, ref pollenfront.TaskRef, kind string, task pollenfront.Task, startBy time.Time) (json.RawMessage, error) {
	body, err := json.Marshal(Request{Job: ref.Job, Kind: kind, Payload: task.Payload, Task: ref.Task})
	if err != nil {
		return nil, refusal.New(refusal.NotStarted, "encode: %v", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/tasks", bytes.NewReader(body))
	if err != nil {
		return nil, refusal.New(refusal.NotStarted, "request: %v", err)
	}
	request.GetBody = nil // A request must not be repeated by the transport.
	request.Header.Set(HeaderStartBy, strconv.FormatInt(startBy.UnixNano(), 10))
	response, err := c.client.Do(request)
	if err != nil {
		return nil, classify(err)
	}
	defer func() { _ = response.Body.Close() }()
	return readResult(response)
}

// readResult returns the result in a response, or the error that it stands for.
func readResult(response *http.Response) (json.RawMessage, error) {
	result, err := io.ReadAll(io.LimitReader(response.Body, maxResultSize))
	if err != nil {
		return nil, refusal.New(refusal.OutcomeUnknown, "read the result: %v", err)
	}
	if response.StatusCode == http.StatusOK {
		return result, nil
	}
	detail := strings.TrimSpace(string(result))
	if response.StatusCode == http.StatusConflict && response.Header.Get(HeaderNotStarted) == "true" {
		return nil, refusal.New(refusal.NotStarted, "%s", detail)
	}
	return nil, refusal.New(refusal.TaskFailed, "%s: %s", response.Status, detail)
}

// classify returns the refusal for a request without a response. Only a
// connection that could not be established proves that the task did not start.
func classify(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED) {
		return refusal.New(refusal.NotStarted, "connect: %v", err)
	}
	return refusal.New(refusal.OutcomeUnknown, "connection to the backend server: %v", err)
}
