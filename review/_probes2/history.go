package main

import (
	"sync"
	"time"
)

// A pastRun is a run of a task, as its runner has seen it.
type pastRun struct {
	// acked is when the end was taken note of, or zero.
	acked  time.Duration
	cpu    int
	ended  time.Duration // ended is zero while the run goes on.
	how    string
	life   int
	number int
	runner string
	spec   string
	start  time.Duration
	task   string
}

// A history has all runs of a case.
type history struct {
	mu   sync.Mutex
	rec  *record
	runs []*pastRun
}

// start adds a run that starts now.
func (h *history) start(r *runner, o *order, cpu int) *pastRun {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := &pastRun{cpu: cpu, life: r.life, number: o.Run, runner: r.id, spec: o.Spec, start: h.rec.now(), task: o.Task}
	h.runs = append(h.runs, p)
	h.rec.addf("%s: life %d runs %s run %d", r.id, r.life, o.Task, o.Run)
	return p
}

// end records the end of a run.
func (h *history) end(p *pastRun, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.ended != 0 {
		return
	}
	p.ended, p.how = h.rec.now(), how
	h.rec.addf("%s: life %d ends %s run %d: %s", p.runner, p.life, p.task, p.number, how)
}

// acknowledge records that the end of a run is taken note of.
func (h *history) acknowledge(p *pastRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p == nil || p.acked != 0 {
		return
	}
	p.acked = h.rec.now()
	h.rec.addf("%s: the end of %s run %d (%s) is taken note of", p.runner, p.task, p.number, p.how)
}

// An overlap is a pair of runs of one task that went on at the same time.
type overlap struct {
	a, b *pastRun
	for_ time.Duration
}

// overlaps returns the pairs of runs of one task that went on at the same time.
func (h *history) overlaps() []overlap {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []overlap
	for i, a := range h.runs {
		for _, b := range h.runs[i+1:] {
			if a.task != b.task {
				continue
			}
			end := func(p *pastRun) time.Duration {
				if p.ended == 0 {
					return h.rec.now()
				}
				return p.ended
			}
			if both := min(end(a), end(b)) - max(a.start, b.start); both > 0 {
				found = append(found, overlap{a: a, b: b, for_: both})
			}
		}
	}
	return found
}
