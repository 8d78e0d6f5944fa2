package main

import (
	"errors"
	"strings"
	"sync"
	"time"
)

// The job and the disruptions of the case late, with times from the submission of the job.
const (
	lateRounds  = 5
	lateWork    = 3600 * time.Millisecond
	lateCrash   = 2400 * time.Millisecond
	lateRestart = 3400 * time.Millisecond
	lateEnd     = 7 * time.Second
)

// playLate has a runner leave one start order unanswered, which its agent repeats. The caller's
// limit passes and the job is sent again to another entry. The runner crashes, starts again
// under its ID, and then carries out the order. The rule TWICE is broken if that run exists
// beside the one of the other entry.
func playLate(f *fleet, r *record, trouble bool) (bool, error) {
	stop := make(chan struct{})
	b := newBalancer(f, stop)
	var callers sync.WaitGroup
	callers.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			callers.Go(func() { submit(b, r, newID(), jobBody(1, 6200, 200*time.Millisecond)) })
		}
	})
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	id, marked := "", false
	for _, s := range f.runners {
		s.mu.Lock()
		s.late = func(task string) bool {
			mu.Lock()
			defer mu.Unlock()
			first := trouble && !marked && id != "" && strings.HasPrefix(task, id+".")
			marked = marked || first
			return first
		}
		s.mu.Unlock()
	}
	held := 0
	for range lateRounds {
		job := newID()
		mu.Lock()
		id, marked = job, false
		mu.Unlock()
		crashed, err := playLateRound(f, r, func() { callers.Go(func() { submit(b, r, job, jobBody(1, 6200, lateWork)) }) })
		if err != nil {
			return false, err
		}
		held += crashed
	}
	close(stop)
	callers.Wait()
	started, twice := f.runs.counts()
	r.summary("%d rounds, %d start orders left unanswered, starts %d, starts beside another run of the task %d", lateRounds, held, started, twice)
	if trouble && held < lateRounds {
		return false, errors.New("no start order was left unanswered")
	}
	return twice > 0, nil
}

// playLateRound submits a job, and crashes the runner that has left an order unanswered, if
// there is one, and starts it again. It returns the number of such runners.
func playLateRound(f *fleet, r *record, submit func()) (crashed int, err error) {
	sent := time.Now()
	submit()
	time.Sleep(time.Until(sent.Add(lateCrash)))
	for _, s := range f.runners {
		s.mu.Lock()
		has := len(s.lateOrders) > 0
		s.mu.Unlock()
		if !has {
			continue
		}
		crashed++
		r.printf("CRASH    %s", s)
		s.crash()
		time.Sleep(time.Until(sent.Add(lateRestart)))
		r.printf("CRASH    %s starts again", s)
		if err := s.start(); err != nil {
			return crashed, err
		}
	}
	time.Sleep(time.Until(sent.Add(lateEnd)))
	return crashed, nil
}
