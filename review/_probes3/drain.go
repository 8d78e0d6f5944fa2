package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Times of the case drain.
const (
	drainBudget   = 12 * time.Second
	drainInterval = 200 * time.Millisecond
	drainWork     = 3200 * time.Millisecond
	graceS        = 6 * time.Second
	lossSlack     = 200 * time.Millisecond
)

// drain sends jobs through the project's own API to an entry that then gets a SIGTERM, and looks for
// requests that were read and passed on to a runner, but whose channel ends without an answer.
func drain(r *record, trouble bool) ([]string, error) {
	f, err := startFleet(r, 3, 3)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return nil, err
	}
	var jobs sync.WaitGroup
	var mu sync.Mutex
	var breaks []string
	var sigterm time.Duration
	client := newClient()
	completed := 0
	for i := range 12 {
		id := fmt.Sprintf("%016x", 0xd0a0+i)
		if i == 6 {
			sigterm = r.now()
			if trouble {
				r.add("SIGTERM to %s", f.entries[0].name)
				f.entries[0].signal(syscall.SIGTERM)
			}
		}
		sent := r.now()
		r.add("client: POST /v1/jobs %s, 2 tasks of %v, time limit %v, to %s", id, drainWork, drainBudget, f.entries[0].name)
		jobs.Go(func() {
			a := send(client, "POST", "http://"+f.address(1, 0, portAPI)+"/v1/jobs", "", drainBudget, ownJob(id, 2, 6200, drainWork, drainBudget, true), r)
			r.add("client: job %s: %s", id, a)
			mu.Lock()
			defer mu.Unlock()
			if a.err == nil && a.status == 200 {
				completed++
			}
			runs := r.runsOf(id)
			if a.err != nil && len(runs) > 0 && a.ended > sent+lossSlack && a.ended < sigterm+graceS+time.Second && a.ended < sent+drainBudget {
				breaks = append(breaks, fmt.Sprintf("LOST: job %s, sent %.2f s after the SIGTERM, was run %d times and got no answer; its channel ended %.2f s after the SIGTERM",
					id, (sent-sigterm).Seconds(), len(runs), (a.ended-sigterm).Seconds()))
			}
		})
		time.Sleep(drainInterval)
	}
	jobs.Wait()
	r.add("%d of 12 jobs were answered with 200", completed)
	if !trouble && completed < 12 {
		return nil, fmt.Errorf("without the SIGTERM only %d of 12 jobs were answered", completed)
	}
	return breaks, nil
}
