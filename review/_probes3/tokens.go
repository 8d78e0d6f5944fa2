package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Times of the case tokens.
const (
	tokensBudget  = 12 * time.Second
	resend        = 1300 * time.Millisecond
	tokensCalm    = 4 * time.Second
	tokensDark    = 1200 * time.Millisecond
	tokensFreeze  = 2 * time.Second
	tokensFreezes = 3
	tokensJobs    = 9
	tokensLate    = 4 * time.Second
	// tokensLateOrders is less than 0.055 of the orders that the runner gets in 5.5 s.
	tokensLateOrders = 2
	tokensWork       = 3600 * time.Millisecond
)

// tokens freezes an agent's machine. Later, when that is long over, a zone loses power shortly after
// some orders to its runner got no answer, which are carried out late. It looks for tasks that run twice
// at the same time.
func tokens(r *record, trouble bool) ([]string, error) {
	f, err := startFleet(r, 3, 3)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return nil, err
	}
	var jobs sync.WaitGroup
	completed, submitted := 0, 0
	var mu sync.Mutex
	submit := func(work time.Duration) {
		for range tokensJobs {
			id := fmt.Sprintf("%016x", 0xa000+submitted)
			submitted++
			jobs.Go(func() {
				entry := 0
				for limit := r.now() + tokensBudget; r.now() < limit; entry = 1 + submitted%2 {
					r.add("client: POST %s%s, 2 tasks of %v, to %s", prefix, id, work, f.entries[entry].name)
					a := send(newClient(), "POST", "http://"+f.address(1, entry, portFront)+prefix+id, host, limit-r.now(), platformJob(2, 3100, work), r)
					r.add("client: job %s: %s", id, a)
					if a.err == nil && a.status != http.StatusGatewayTimeout {
						mu.Lock()
						defer mu.Unlock()
						if a.status == http.StatusOK {
							completed++
						}
						return
					}
					time.Sleep(resend)
				}
			})
		}
	}
	for range tokensFreezes {
		submit(time.Second)
		time.Sleep(300 * time.Millisecond)
		if trouble && os.Getenv("FREEZE") != "0" {
			r.add("%s freezes for %v", f.agents[0].name, tokensFreeze)
			f.agents[0].signal(syscall.SIGSTOP)
			time.Sleep(tokensFreeze)
			f.agents[0].signal(syscall.SIGCONT)
			r.add("%s goes on", f.agents[0].name)
		}
		jobs.Wait()
		time.Sleep(tokensCalm)
	}
	if trouble {
		f.runners[0].delayFirstOrders(tokensLate)
	}
	submit(tokensWork)
	time.Sleep(600 * time.Millisecond)
	if trouble {
		f.runners[0].delayFirstOrders(0)
		r.add("zone %s loses power", zoneOf(0))
		f.entries[0].signal(syscall.SIGKILL)
		f.agents[0].signal(syscall.SIGKILL)
		f.runners[0].crash()
		time.Sleep(tokensDark)
		r.add("zone %s has power again", zoneOf(0))
		if err := f.runners[0].listen(); err != nil {
			return nil, err
		}
		f.runners[0].beatNow <- struct{}{}
		if err := f.entries[0].start(); err != nil {
			return nil, err
		}
		if err := f.agents[0].start(); err != nil {
			return nil, err
		}
	}
	jobs.Wait()
	time.Sleep(2 * time.Second)
	r.add("%d of %d jobs were answered with 200", completed, submitted)
	var breaks []string
	for _, o := range r.overlaps() {
		breaks = append(breaks, "TWICE: "+o)
	}
	if !trouble && completed < submitted {
		return nil, fmt.Errorf("without trouble only %d of %d jobs were answered", completed, submitted)
	}
	return breaks, nil
}

// delayFirstOrders makes the runner leave the first orders to start tokensLateOrders runs unanswered,
// and carry them out after delay. With zero it ends that.
func (r *runner) delayFirstOrders(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = nil
	if delay == 0 {
		return
	}
	seen := make(map[string]bool)
	r.late = func(call string, o *order) time.Duration {
		run := fmt.Sprintf("%s/%d", o.Task, o.Run)
		if call != "run-start" || seen[run] || len(seen) == tokensLateOrders {
			return 0
		}
		seen[run] = true
		return delay
	}
}
