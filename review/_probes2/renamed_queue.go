package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the case renamed-queue.
const (
	// changeAfter is the time from the job's request to the change of the manifest, and cancelAfter the one from
	// there to the cancelling.
	changeAfter = 300 * time.Millisecond
	cancelAfter = 500 * time.Millisecond
	// stopBound is stop-timeout-ms.
	stopBound = 50 * time.Millisecond
)

// renamedQueue submits a job. A version of the manifest removes its queue and adds one of another name with the
// same host and prefix. Then the job is canceled. No task of it may run on after the bounds for that.
func renamedQueue(rec *record, trouble bool) (string, bool, error) {
	f, err := startFleet(rec, 3, 11)
	defer f.stop()
	if err != nil {
		return "", false, err
	}
	j := &jobSpec{count: 4, cpu: 6200, id: "5c0e7a21d94b36f8", waits: 7 * time.Second, workMS: 5500}
	var posts sync.WaitGroup
	posts.Go(func() { f.post(0, j) })
	time.Sleep(changeAfter)
	if trouble {
		f.configure(4, "confirm-b")
	}
	time.Sleep(cancelAfter)
	status := f.delete(1, j)
	if status != http.StatusOK && status != http.StatusGone {
		return "", false, fmt.Errorf("the cancelling was answered %d", status)
	}
	acked := rec.now()
	posts.Wait()
	time.Sleep(time.Second)
	f.history.mu.Lock()
	defer f.history.mu.Unlock()
	ranOn, last := 0, time.Duration(0)
	for _, p := range f.history.runs {
		if strings.HasPrefix(p.task, j.id) && (p.ended == 0 || p.ended > acked+cancelBound+stopBound) {
			ranOn++
			last = max(last, p.ended)
		}
	}
	seen := fmt.Sprintf("the cancelling was answered %d; %d runs of the job's tasks went on later than %v after that", status, ranOn, cancelBound+stopBound)
	if ranOn > 0 {
		seen += fmt.Sprintf(", the last one for %v", (last - acked).Round(time.Millisecond))
	}
	return seen, ranOn > 0, nil
}
