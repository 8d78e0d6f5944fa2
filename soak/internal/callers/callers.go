// Package callers submits jobs to entries at a rate, as callers of the users'
// platform do, and counts how they ended.
//
// # Usage
//
//	c := callers.New(entries, checker, seed)
//	c.Run(ctx, 40, 0, 0)
//	counts := c.TakeCounts()
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

// Parameters of the load.
const (
	// attemptMargin is how long an attempt may go on after the deadline of its
	// job.
	attemptMargin = 200 * time.Millisecond

	// cancelTimeout is how long a caller waits for the answer to a request to cancel a job.
	cancelTimeout = 3 * time.Second

	// maxCancelAttempts is how often a caller requests to cancel a job.
	maxCancelAttempts = 4

	// resendDelay is the time from an attempt with an unknown outcome to the
	// next one.
	resendDelay = 1300 * time.Millisecond

	// taskCPU is the need of a task, in thousandths of a core.
	taskCPU = 6000
)

// Host is the host of all queues, and Service the service that runs their jobs.
const (
	Host    = "swap.example"
	Service = "lookup"
)

// A Kind is a kind of job, with a queue of its own.
type Kind struct {
	// Prefix is the prefix of the paths of its jobs.
	Prefix   string
	Priority int

	// crashAfter is the time after which each task crashes its server, or zero.
	crashAfter time.Duration

	// share is the share of the kind in all jobs; the shares add up to 1.
	share float64

	// tasks is the number of tasks of a job.
	tasks int

	// work is the run time of a task on a server of normal speed.
	work time.Duration
}

// Kinds are the kinds of jobs that callers submit. Tasks of the last one go on for longer
// than resendDelay, so that a run that is wrongly taken for ended meets the next one.
var Kinds = []Kind{
	{Prefix: "/lookup/", Priority: 0, share: 0.25, tasks: 8, work: 60 * time.Millisecond},
	{Prefix: "/check/", Priority: 1, share: 0.54, tasks: 2, work: 200 * time.Millisecond},
	{Prefix: "/trade/", Priority: 2, share: 0.15, tasks: 4, work: 900 * time.Millisecond},
	{Prefix: "/batch/", Priority: 3, share: 0.06, tasks: 2, work: 3 * time.Second},
}

// Jobs of crashing crash every server that starts one of their tasks. Their callers are
// patient, so that the tasks could crash many.
var crashing = Kind{Prefix: "/lookup/", crashAfter: 12 * time.Millisecond, tasks: 2, work: 60 * time.Millisecond}

// crashingPatience is how long callers wait for the answer to a job of crashing.
const crashingPatience = 12 * time.Second

// randomKind returns a random kind; the shares are the probabilities.
func randomKind(random *rand.Rand) Kind {
	rest := random.Float64()
	for _, k := range Kinds {
		if rest -= k.share; rest < 0 {
			return k
		}
	}
	return Kinds[0]
}

// Counts has the numbers of jobs by how they ended. The soak prints it with %+v,
// so the names of the fields are part of its output.
type Counts struct {
	Completed int

	// Lost counts the jobs whose attempts all ended with an unknown outcome.
	Lost    int
	Refused int
}

// Callers submits jobs to entries. Its load is drawn from a seed.
type Callers struct {
	caller  *caller.Caller
	checker *invariants.Checker
	counts  Counts
	entries []string

	// lastID is the number of the newest job; its ID is the number in
	// hexadecimal.
	lastID uint64
	mu     sync.Mutex
	random *rand.Rand
}

// New returns callers of the entries at the given addresses. They report their
// jobs to the checker.
func New(entries []string, checker *invariants.Checker, seed uint64) *Callers {
	return &Callers{
		caller: caller.New(), checker: checker, entries: entries,
		random: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // The load must be reproducible from the seed.
	}
}

// Run submits jobs at an average rate until ctx is done, and waits for their
// outcomes. The pauses between jobs are distributed exponentially. One job in
// crashInterval crashes servers, and one in cancelInterval is canceled, unless these are zero.
func (c *Callers) Run(ctx context.Context, jobsPerSecond float64, crashInterval, cancelInterval uint64) {
	var submissions sync.WaitGroup
	for ctx.Err() == nil {
		c.mu.Lock()
		pause := time.Duration(c.random.ExpFloat64() / jobsPerSecond * float64(time.Second))
		k := randomKind(c.random)
		c.lastID++
		if crashInterval > 0 && c.lastID%crashInterval == 0 {
			k = crashing
		}
		canceled := cancelInterval > 0 && c.lastID%cancelInterval == 0
		id := fmt.Sprintf("%016x", c.lastID)
		c.mu.Unlock()
		time.Sleep(pause)
		submissions.Go(func() { c.submit(id, k) })
		if canceled {
			submissions.Go(func() { c.cancel(id, k) })
		}
	}
	submissions.Wait()
}

// TakeCounts returns the counts since the previous call, and resets them.
func (c *Callers) TakeCounts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	c.counts = Counts{}
	return counts
}

// submit submits a job, and submits it again until its outcome is known or its
// deadline has passed.
func (c *Callers) submit(id string, k Kind) {
	patience := 1500*time.Millisecond + 3*k.work
	if k.crashAfter > 0 {
		patience = crashingPatience
	}
	job := caller.Job{
		CPU: taskCPU, CrashAfter: k.crashAfter, Deadline: time.Now().Add(patience), Host: Host, Path: k.Prefix + id, Tasks: k.tasks, Work: k.work,
	}
	entry := c.randomEntry()
	for ; time.Now().Before(job.Deadline); entry = c.otherEntry(entry) {
		c.checker.RecordSubmission(id, k.tasks)
		switch c.attempt(job, entry) {
		case caller.Completed:
			c.checker.RecordCompletion(id)
			c.updateCounts(func(counts *Counts) { counts.Completed++ })
			return
		case caller.Refused:
			c.checker.RecordRefusal(id)
			if k.crashAfter > 0 {
				break // These callers don't give up.
			}
			c.updateCounts(func(counts *Counts) { counts.Refused++ })
			return
		case caller.Canceled:
			return
		case caller.Unknown:
		}
		time.Sleep(resendDelay)
	}
	if k.crashAfter == 0 {
		c.updateCounts(func(counts *Counts) { counts.Lost++ })
	}
}

// cancel cancels a job at some time while it should run, at a random entry, and again at another
// one until that is acknowledged.
func (c *Callers) cancel(id string, k Kind) {
	c.mu.Lock()
	delay := time.Duration(c.random.Float64() * float64(k.work))
	c.mu.Unlock()
	time.Sleep(delay)
	entry := c.randomEntry()
	for range maxCancelAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		acknowledged := c.caller.Cancel(ctx, c.entries[entry], caller.Job{Host: Host, Path: k.Prefix + id})
		cancel()
		if acknowledged {
			c.checker.RecordCancellation(id)
			return
		}
		time.Sleep(resendDelay)
		entry = c.otherEntry(entry)
	}
}

// updateCounts calls update with the counts, under the lock.
func (c *Callers) updateCounts(update func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.counts)
}

// randomEntry returns the number of a random entry.
func (c *Callers) randomEntry() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(len(c.entries))
}

// otherEntry returns the number of a random entry other than the given one, unless there
// is only one.
func (c *Callers) otherEntry(than int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) == 1 {
		return than
	}
	return (than + 1 + c.random.IntN(len(c.entries)-1)) % len(c.entries)
}

// ResetConnections resets the connections to an entry. The callers whose submissions
// wait for it submit again after resendDelay.
func (c *Callers) ResetConnections(entry int) {
	c.caller.Reset(c.entries[entry])
}

// attempt submits a job once, to an entry.
func (c *Callers) attempt(job caller.Job, entry int) caller.Outcome {
	ctx, cancel := context.WithDeadline(context.Background(), job.Deadline.Add(attemptMargin))
	defer cancel()
	return c.caller.Submit(ctx, c.entries[entry], job)
}
