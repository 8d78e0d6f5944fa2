package main

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

// The traffic and the disruption of the case freeze.
const (
	freezeRate   = 60 // jobs a second
	freezeCPU    = 6200
	freezeWork   = 900 * time.Millisecond
	freezeLength = 4 * time.Second
	freezeLead   = 4 * time.Second
	freezeTail   = 6 * time.Second
	// freezeRounds is the number of entries that freeze, one after the other.
	freezeRounds = 3
)

// playFreeze freezes one entry after the other for freezeLength under steady traffic. The rule
// TWICE is broken if two runs of a task exist at the same time.
func playFreeze(f *fleet, r *record, trouble bool) (bool, error) {
	stop := make(chan struct{})
	b := newBalancer(f, stop)
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses, resent := make(map[int]int), 0
	callers.Go(func() {
		ticker := time.NewTicker(time.Second / freezeRate)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			callers.Go(func() {
				a, attempts := submit(b, r, newID(), jobBody(1, freezeCPU, freezeWork))
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
				if attempts > 1 {
					resent++
				}
			})
		}
	})
	time.Sleep(freezeLead)
	for i := range freezeRounds {
		if trouble {
			r.printf("FREEZE   entry %d", i)
			f.entries[i].signal(syscall.SIGSTOP)
		}
		time.Sleep(freezeLength)
		if trouble {
			f.entries[i].signal(syscall.SIGCONT)
			r.printf("FREEZE   entry %d goes on", i)
		}
		time.Sleep(freezeTail)
	}
	close(stop)
	callers.Wait()
	started, twice := f.runs.counts()
	r.summary("last answers by status %v, jobs sent again %d, starts %d, starts beside another run of the task %d", statuses, resent, started, twice)
	if statuses[200] < freezeRate {
		return false, errors.New("too few jobs were served")
	}
	if trouble && resent == 0 {
		return false, errors.New("no job was sent again")
	}
	for _, p := range f.entries {
		if !p.running() {
			return false, errors.New("an entry has ended")
		}
	}
	return twice > 0, nil
}
