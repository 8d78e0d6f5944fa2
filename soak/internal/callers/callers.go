// Package callers submits jobs to entries as callers of the users' platform do.
//
// # Usage
//
//	c := callers.New(entries, checker, seed)
//	c.Run(ctx, 40)
//	counts := c.Counts()
package callers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pollenfront/pollenfront/soak/internal/invariants"
	"github.com/pollenfront/pollenfront/standin/caller"
)

// Parameters of callers.
const (
	attemptMargin = 200 * time.Millisecond
	resendDelay   = 1300 * time.Millisecond
	taskCPU       = 6000 // Thousandths of a core.
)

// Host is the host of all queues, and Service runs their jobs.
const (
	Host    = "swap.example"
	Service = "lookup"
)

// A Kind is a kind of job, with a queue of its own.
type Kind struct {
	Prefix   string // Of the paths of its jobs.
	Priority int
	share    float64
	tasks    int
	work     time.Duration
}

// Kinds are the kinds of jobs.
var Kinds = []Kind{
	{Prefix: "/lookup/", Priority: 0, share: 0.25, tasks: 8, work: 60 * time.Millisecond},
	{Prefix: "/check/", Priority: 1, share: 0.6, tasks: 2, work: 200 * time.Millisecond},
	{Prefix: "/trade/", Priority: 2, share: 0.15, tasks: 4, work: 900 * time.Millisecond},
}

// draw draws a kind by the shares.
func draw(random *rand.Rand) Kind {
	at := random.Float64()
	for _, k := range Kinds {
		if at -= k.share; at < 0 {
			return k
		}
	}
	return Kinds[0]
}

// Counts are the jobs by how they ended.
type Counts struct {
	Completed int
	Lost      int // No answer within the time limit.
	Refused   int
}

// Callers submit jobs.
type Callers struct {
	caller  *caller.Caller
	checker *invariants.Checker
	counts  Counts
	entries []string
	mu      sync.Mutex
	next    uint64
	random  *rand.Rand
}

// New returns callers of some entries.
func New(entries []string, checker *invariants.Checker, seed uint64) *Callers {
	return &Callers{
		caller: caller.New(), checker: checker, entries: entries,
		random: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // A load needs a seed.
	}
}

// Run submits jobs at a rate until ctx ends, and waits for their answers.
func (c *Callers) Run(ctx context.Context, perSecond float64) {
	var group sync.WaitGroup
	for ctx.Err() == nil {
		c.mu.Lock()
		pause := time.Duration(c.random.ExpFloat64() / perSecond * float64(time.Second))
		k := draw(c.random)
		c.next++
		id := fmt.Sprintf("%016x", c.next)
		c.mu.Unlock()
		time.Sleep(pause)
		group.Go(func() { c.submit(id, k) })
	}
	group.Wait()
}

// Counts returns how the jobs ended, and begins to count anew.
func (c *Callers) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	c.counts = Counts{}
	return counts
}

// submit submits a job, again and again as long as its outcome is not known.
func (c *Callers) submit(id string, k Kind) {
	job := caller.Job{
		CPU: taskCPU, Host: Host, Limit: time.Now().Add(1500*time.Millisecond + 3*k.work), Path: k.Prefix + id, Tasks: k.tasks, Work: k.work,
	}
	for time.Now().Before(job.Limit) {
		c.checker.Submitted(id, k.tasks)
		switch c.attempt(job) {
		case caller.Completed:
			c.checker.Completed(id)
			c.count(func(n *Counts) { n.Completed++ })
			return
		case caller.Refused:
			c.checker.Refused(id)
			c.count(func(n *Counts) { n.Refused++ })
			return
		case caller.Unknown:
		}
		time.Sleep(resendDelay)
	}
	c.count(func(n *Counts) { n.Lost++ })
}

// count counts an end.
func (c *Callers) count(add func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add(&c.counts)
}

// attempt submits a job once, to any entry.
func (c *Callers) attempt(job caller.Job) caller.Outcome {
	c.mu.Lock()
	entry := c.entries[c.random.IntN(len(c.entries))]
	c.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), job.Limit.Add(attemptMargin))
	defer cancel()
	return c.caller.Submit(ctx, entry, job)
}
