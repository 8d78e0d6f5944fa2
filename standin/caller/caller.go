// Package caller is a stand-in for callers of the users' platform: it submits
// jobs of plain tasks, and tells how they ended.
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
	"net/http"
	"strconv"
	"time"
)

// maxIdle is the number of connections that are kept for each entry.
const maxIdle = 64

// An Outcome is how an attempt to run a job ended.
type Outcome int

// Outcomes.
const (
	Unknown   Outcome = iota // No answer, or one that leaves it open.
	Completed                // Every task succeeded.
	Refused                  // The job was not run.
)

// A Job is a job of plain tasks that may run again from the start.
type Job struct {
	CPU   int // Of one task, in thousandths of a core.
	Host  string
	Limit time.Time // Until when its caller waits.
	Path  string    // With its ID.
	Tasks int
	Work  time.Duration // Of one task.
}

// A Caller submits jobs.
type Caller struct {
	client *http.Client
}

// New returns a caller with connections of its own.
func New() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle}}}
}

// Submit submits a job to an entry once.
func (c *Caller) Submit(ctx context.Context, entry string, j Job) Outcome {
	body, err := json.Marshal(map[string]any{
		"best-effort": true, "spec": fmt.Sprintf(`{"cpu":%d,"work":%q}`, j.CPU, j.Work),
		"steps": []map[string]any{{"count": j.Tasks, "cpu": j.CPU, "mem-mb": 64, "estimate-ms": j.Work.Milliseconds()}},
	})
	if err != nil {
		return Unknown
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+j.Path, bytes.NewReader(body))
	if err != nil {
		return Unknown
	}
	request.Host = j.Host
	request.GetBody = nil // The transport must not repeat it by itself.
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(j.Limit).Milliseconds(), 10))
	response, err := c.client.Do(request)
	if err != nil {
		return Unknown
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
	case response.StatusCode == http.StatusServiceUnavailable:
		return Refused
	case response.StatusCode == http.StatusOK && bytes.Contains(answer, []byte(`"completed"`)):
		return Completed
	}
	return Unknown
}
