package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// playLateRandom is the case late with chance in place of a plan: for SECONDS seconds each start
// order is left unanswered with a probability of 0.055 and carried out 2 to 12 s later, or as soon
// as its runner is back, and one runner after the other is down for a time. It is no case; the
// report tells what was tried with it.
func playLateRandom(f *fleet, r *record, trouble bool) (bool, error) {
	stop := make(chan struct{})
	b := newBalancer(f, stop)
	var callers sync.WaitGroup
	submitAll := func(every, work time.Duration) {
		for {
			select {
			case <-stop:
				return
			case <-time.After(every):
			}
			callers.Go(func() { submit(b, r, newID(), jobBody(1, 4000, work)) })
		}
	}
	callers.Go(func() { submitAll(25*time.Millisecond, 200*time.Millisecond) })
	callers.Go(func() { submitAll(100*time.Millisecond, lateWork) })
	time.Sleep(3 * time.Second)
	if trouble {
		for _, s := range f.runners {
			s.mu.Lock()
			s.late = func(string) bool { return rand.Float64() < 0.055 } //nolint:gosec // Not for secrets.
			s.randomDelay = true
			s.mu.Unlock()
		}
	}
	for end := time.Now().Add(time.Duration(envInt("SECONDS", 80)) * time.Second); time.Now().Before(end); {
		s := f.runners[rand.IntN(len(f.runners))] //nolint:gosec // Not for secrets.
		if trouble {
			r.printf("CRASH    %s", s)
			s.crash()
		}
		time.Sleep(time.Duration(500+rand.IntN(2000)) * time.Millisecond) //nolint:gosec // Not for secrets.
		if trouble {
			if err := s.start(); err != nil {
				return false, err
			}
			r.printf("CRASH    %s starts again", s)
		}
		time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond) //nolint:gosec // Not for secrets.
	}
	close(stop)
	callers.Wait()
	started, twice := f.runs.counts()
	r.summary("starts %d, starts beside another run of the task %d", started, twice)
	return twice > 0, nil
}
