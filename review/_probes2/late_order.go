package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// Times of the case late-order.
const (
	// lateDelay is how much later the orders without an answer are carried out.
	lateDelay = 2900 * time.Millisecond
	// zoneDark is how long a zone is without power. Its runners are back then, and its machines machinesAfter later.
	zoneDark      = 2 * time.Second
	machinesAfter = 1400 * time.Millisecond
)

// lateOrder leaves the orders for a job at one runner without an answer. The runner's zone loses power. The runner starts
// again under its id, and then carries out what it was sent. The client sends the job again after no response.
func lateOrder(rec *record, trouble bool) (string, bool, error) {
	f, err := startFleet(rec, 3, 11)
	defer f.stop()
	if err != nil {
		return "", false, err
	}
	j := &jobSpec{count: 4, cpu: 6200, id: "5c0e7a21d94b36f8", waits: 1500 * time.Millisecond, workMS: 900}
	var victim *runner
	f.onOrder(func(r *runner, o *order) time.Duration {
		if !trouble || !strings.HasPrefix(o.Task, j.id) {
			return 0
		}
		if victim == nil {
			victim = r
			time.AfterFunc(5*time.Millisecond, func() { f.loseZone(r.zone) })
		}
		if victim == r && r.life == 1 {
			return lateDelay
		}
		return 0
	})
	status, body := f.submit(0, j, 4)
	time.Sleep(2 * time.Second)
	found := f.history.overlaps()
	if len(found) == 0 {
		return fmt.Sprintf("no two runs of a task at the same time; the last answer was %d %s", status, strings.TrimSpace(body)), false, nil
	}
	return describe(found), true, nil
}

// onOrder sets what all runners do with a run-start. decide is called for one of them at a time. See runner.onOrder.
func (f *fleet) onOrder(decide func(r *runner, o *order) time.Duration) {
	for _, r := range f.runners {
		r.mu.Lock()
		r.onOrder = func(r *runner, o *order) time.Duration {
			f.history.mu.Lock()
			defer f.history.mu.Unlock()
			return decide(r, o)
		}
		r.mu.Unlock()
	}
}

// loseZone cuts the power of a zone for zoneDark. Its processes don't answer any more, and start anew afterwards.
func (f *fleet) loseZone(lost string) {
	f.rec.addf("zone %s loses power", lost)
	for _, r := range f.runners {
		if r.zone == lost {
			r.crash(zoneDark)
		}
	}
	for _, p := range f.processes() {
		if p.zone != lost {
			continue
		}
		p.signal(syscall.SIGSTOP) // Without power nothing answers, and channels hang.
		time.AfterFunc(zoneDark+machinesAfter, func() {
			p.signal(syscall.SIGKILL)
			<-p.done
			if err := p.start(); err != nil {
				f.rec.addf("%s: not started again: %v", p.name, err)
			}
		})
	}
}

// describe describes the longest overlap.
func describe(found []overlap) string {
	longest := found[0]
	for _, o := range found {
		if o.for_ > longest.for_ {
			longest = o
		}
	}
	a, b := longest.a, longest.b
	return fmt.Sprintf("%d pairs of runs at the same time; %s run %d on %s (life %d) and run %d on %s (life %d) both went on for %v",
		len(found), a.task, a.number, a.runner, a.life, b.number, b.runner, b.life, longest.for_.Round(time.Millisecond))
}
