package main

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

// An answer is how one attempt of a client ended.
type answer struct {
	body string
	err  error // err is set if the channel ended, or the client's time did, without a complete answer.
	// ended is the time of the end.
	ended  time.Duration
	status int
}

// String returns the answer as the record has it.
func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, a.body)
}

// newClient returns a client whose attempts use channels of their own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// send sends one request and waits for the answer until limit has passed.
func send(client *http.Client, method, url, hostName string, limit time.Duration, body any, r *record) answer {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		panic(err)
	}
	request.GetBody = nil // The transport must not repeat it.
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	if hostName != "" {
		request.Host = hostName
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{ended: r.now(), err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return answer{body: string(bytes.Join(bytes.Fields(content), nil)), ended: r.now(), err: err, status: response.StatusCode}
}

// platformJob returns the body of a job as the users' platform sends it.
func platformJob(tasks, cpu int, work time.Duration) map[string]any {
	return map[string]any{
		"best-effort": true, "spec": specOf(cpu, work),
		"steps": []map[string]any{{"count": tasks, "cpu": cpu, "mem-mb": 64, "estimate-ms": work.Milliseconds()}},
	}
}

// specOf returns the spec of a job's tasks.
func specOf(cpu int, work time.Duration) string {
	text, err := json.Marshal(spec{CPU: cpu, WorkMS: work.Milliseconds()})
	if err != nil {
		panic(err)
	}
	return string(text)
}
