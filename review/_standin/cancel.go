package main

import (
	"errors"
	"net/http"
	"time"
)

// Bounds of the rule UNASKED (cancel_ms, stop-timeout-ms) and the job of the case cancel.
const (
	cancelBound = 3000 * time.Millisecond
	stopBound   = 50 * time.Millisecond
	cancelWork  = 3600 * time.Millisecond
	cancelLimit = 6 * time.Second
	cancelDelay = 200 * time.Millisecond
)

// playCancel plays the case with one entry.
func playCancel(f *fleet, r *record, trouble bool) (bool, error) {
	return cancelAt(f, r, trouble, 0)
}

// playCancelOther plays the case with three entries. The job is canceled at another entry than
// the one that runs it.
func playCancelOther(f *fleet, r *record, trouble bool) (bool, error) {
	return cancelAt(f, r, trouble, 2)
}

// cancelAt submits a job of long tasks to the first entry, and cancels it on another channel, at
// the entry with an index, after cancelDelay. The rule UNASKED is broken if a task of it runs later than cancelBound and stopBound after
// the acknowledgement.
func cancelAt(f *fleet, r *record, trouble bool, entry int) (bool, error) {
	id := newID()
	answered := make(chan answer, 1)
	r.printf("caller   %s POST sent", id)
	go func() {
		a := send(http.MethodPost, f.callers(0), prefix+id, jobBody(4, 6200, cancelWork), cancelLimit)
		r.printf("caller   %s POST answered: %d %s", id, a.status, a.body)
		answered <- a
	}()
	time.Sleep(cancelDelay)
	if len(f.runs.running(id)) == 0 {
		return false, errors.New("the job does not run")
	}
	if !trouble {
		a := <-answered
		if a.status != http.StatusOK {
			return false, errors.New("the job was not served")
		}
		return false, nil
	}
	r.printf("caller   %s DELETE sent to entry %d", id, entry)
	a := send(http.MethodDelete, f.callers(entry), prefix+id, nil, cancelLimit)
	r.printf("caller   %s DELETE answered: %d %s", id, a.status, a.body)
	if a.status/100 != 2 && a.status != http.StatusGone {
		return false, errors.New("the cancel was not acknowledged")
	}
	time.Sleep(cancelBound + stopBound)
	running := f.runs.running(id)
	r.summary("%v after the acknowledgement %d tasks run", cancelBound+stopBound, len(running))
	for _, task := range running {
		r.printf("UNASKED  %s runs on", task)
	}
	last := <-answered
	r.summary("the DELETE was answered with %d, the POST with %d %s", a.status, last.status, last.body)
	return len(running) > 0, nil
}
