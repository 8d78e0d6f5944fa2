package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the case cancel-forgotten.
const (
	// againAfter is the time from the acknowledgement of the cancelling to the job's late second request.
	againAfter = 9 * time.Second
	// cancelBound is the time after the acknowledgement from which no task may start, cancel_ms.
	cancelBound = 3 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
)

// cancelForgotten cancels a job. All processes are killed at the same moment and start again. Then the
// job's request arrives once more. No task of the job may start.
func cancelForgotten(rec *record, trouble bool) (string, bool, error) {
	f, err := startFleet(rec, 3, 11)
	defer f.stop()
	if err != nil {
		return "", false, err
	}
	j := &jobSpec{count: 4, cpu: 6200, id: "5c0e7a21d94b36f8", waits: 6 * time.Second, workMS: 3000}
	var posts sync.WaitGroup
	posts.Go(func() { f.post(0, j) })
	time.Sleep(300 * time.Millisecond)
	if status := f.delete(1, j); status != http.StatusOK && status != http.StatusGone {
		return "", false, fmt.Errorf("the cancelling was answered %d", status)
	}
	acked := rec.now()
	posts.Wait()
	if trouble {
		if err := f.killAll(); err != nil {
			return "", false, err
		}
	}
	time.Sleep(acked + againAfter - rec.now())
	status, body := f.post(2, j)
	late := 0
	f.history.mu.Lock()
	defer f.history.mu.Unlock()
	for _, p := range f.history.runs {
		if strings.HasPrefix(p.task, j.id) && p.start > acked+cancelBound {
			late++
		}
	}
	seen := fmt.Sprintf("%d starts of tasks of the job later than %v after its cancelling was acknowledged; the second request was answered %d %s",
		late, cancelBound, status, strings.TrimSpace(body))
	return seen, late > 0, nil
}

// killAll kills all processes at the same moment and starts them again.
func (f *fleet) killAll() error {
	for _, p := range f.processes() {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range f.processes() {
		<-p.done
	}
	time.Sleep(restartDelay)
	for _, p := range f.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// delete cancels a job and returns the status, or 0 without a response.
func (f *fleet) delete(entry int, j *jobSpec) int {
	ctx, cancel := context.WithTimeout(f.ctx, j.waits)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+f.address(1, entry, callersPort)+prefix+j.id, http.NoBody)
	req.Host = host
	f.rec.addf("client: cancels job %s at front-%d", j.id, entry)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		f.rec.addf("client: no response to the cancelling from front-%d: %v", entry, err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	f.rec.addf("client: front-%d answers the cancelling: %d %s", entry, resp.StatusCode, strings.TrimSpace(string(data)))
	return resp.StatusCode
}
