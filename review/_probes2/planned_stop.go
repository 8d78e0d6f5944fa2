package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Times of the case planned-stop.
const (
	// apiWorkMS is the run time of the task, in milliseconds.
	apiWorkMS = 3500
	// termAfter is the time from the request to SIGTERM.
	termAfter = 300 * time.Millisecond
	// grace is the time from SIGTERM to SIGKILL, grace-s of the bounds.
	grace = 6 * time.Second
)

// plannedStop stops an entry in a planned way while it serves a request of the callers' API
// of the project, whose task ends well before the grace period does. The request must get a whole answer.
func plannedStop(rec *record, trouble bool) (string, bool, error) {
	f, err := startFleet(rec, 3, 11)
	defer f.stop()
	if err != nil {
		return "", false, err
	}
	if trouble {
		time.AfterFunc(termAfter, func() {
			f.entries[0].signal(syscall.SIGTERM)
			time.AfterFunc(grace, func() {
				if f.entries[0].running() {
					f.entries[0].signal(syscall.SIGKILL)
				}
			})
		})
	}
	id := "7a1e0c52d94b36f8"
	sent := rec.now()
	status, answer, err := f.postAPI(0, id, apiWorkMS, 6*time.Second, true)
	took := rec.now() - sent
	started := f.history.started(id)
	if err != nil && started > 0 {
		return fmt.Sprintf("the channel ended %v after the request without a complete answer (%v), and its task had been started %d times", took.Round(time.Millisecond), err, started), true, nil
	}
	return fmt.Sprintf("answer after %v: %d %s", took.Round(time.Millisecond), status, answer), false, nil
}

// started returns how many runs of a job's tasks were started.
func (h *history) started(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, p := range h.runs {
		if strings.HasPrefix(p.task, id) {
			n++
		}
	}
	return n
}

// postAPI sends a job to the callers' API of the project at an entry. again is whether the job may run again. It returns
// an error if the channel ends without a complete answer.
func (f *fleet) postAPI(entry int, id string, workMS int, waits time.Duration, again bool) (int, string, error) {
	ctx, cancel := context.WithTimeout(f.ctx, waits+4*time.Second)
	defer cancel()
	body, _ := json.Marshal(map[string]any{
		"declared": fmt.Sprintf("%dms", workMS), "id": id, "may-run-again": again, "need": map[string]int{"cpu": 6200, "memory": 64},
		"payload": fmt.Sprintf(`{"cpu":6200,"work-ms":%d}`, workMS), "queue": queue, "tasks": 1, "time-limit": waits.String(),
	})
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address(1, entry, apiPort)+"/v1/jobs", bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	f.rec.addf("client: sends job %s to the callers' API of front-%d", id, entry)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		f.rec.addf("client: the channel to front-%d ends without an answer for job %s: %v", entry, id, err)
		return 0, "", errors.Unwrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	f.rec.addf("client: front-%d answers job %s: %d %s (%v)", entry, id, resp.StatusCode, strings.TrimSpace(string(data)), err)
	return resp.StatusCode, strings.TrimSpace(string(data)), err
}
