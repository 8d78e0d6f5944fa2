package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/soak/internal/callers"
	"github.com/pollenfront/pollenfront/soak/internal/fleet"
	"github.com/pollenfront/pollenfront/standin/caller"
)

// Parameters of the callers of a suspended entry.
const (
	// attemptTimeout is how long they wait for an answer before they close the connection.
	attemptTimeout = 1500 * time.Millisecond

	// maxAttempts is how often they submit a job.
	maxAttempts = 3

	// resendDelay is the time after which they submit a job again, to another entry.
	resendDelay = 1300 * time.Millisecond

	// submitInterval is the time between two jobs.
	submitInterval = 20 * time.Millisecond

	// suspension is how long the entry is suspended. Callers that it has not answered submit their
	// jobs again, and these run, before it ends.
	suspension = 4 * time.Second

	// taskWork is the run time of a task. The second submission still runs when the suspension ends.
	taskWork = 900 * time.Millisecond
)

// A patientCaller submits jobs to the entries of a fleet in turn, until one of them answers.
type patientCaller struct {
	fleet *fleet.Fleet

	// resubmissions counts the jobs that were submitted again.
	resubmissions atomic.Int64
}

// submit submits a job first to one entry, and then to the next ones. Each attempt has a connection
// of its own.
func (p *patientCaller) submit(id string, entry int) {
	for attempt := range maxAttempts {
		if attempt > 0 {
			p.resubmissions.Add(1)
			time.Sleep(resendDelay)
		}
		p.fleet.Checker.RecordSubmission(id, 1)
		switch p.attempt(id, p.fleet.CallerAddresses[(entry+attempt)%len(p.fleet.CallerAddresses)]) {
		case caller.Completed:
			p.fleet.Checker.RecordCompletion(id)
			return
		case caller.Refused:
			p.fleet.Checker.RecordRefusal(id)
			return
		case caller.Canceled:
			return
		case caller.Unknown:
		}
	}
}

// attempt submits a job once.
func (p *patientCaller) attempt(id, address string) caller.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	c := caller.New()
	defer c.Reset(address)
	job := caller.Job{CPU: smallCPU, Deadline: time.Now().Add(attemptTimeout), Host: callers.Host, Path: "/trade/" + id, Tasks: 1, Work: taskWork}
	return c.Submit(ctx, address, job)
}

// checkSuspension suspends the processes that suspended returns, under callers that come back, and
// checks that no task ran twice.
func checkSuspension(t *testing.T, suspended func(f *fleet.Fleet) []*fleet.Process) {
	t.Helper()
	c := qt.New(t)
	f, err := fleet.Start(fleet.Options{Agents: 6, Bin: buildPrograms(t), Dir: t.TempDir(), Entries: 2})
	c.Assert(err, qt.IsNil)
	defer f.Stop()
	time.Sleep(settleTime)
	p := &patientCaller{fleet: f}
	start := time.Now()
	for _, process := range suspended(f) {
		time.AfterFunc(time.Second, func() { process.Signal(syscall.SIGSTOP) })
		time.AfterFunc(time.Second+suspension, func() { process.Signal(syscall.SIGCONT) })
	}
	var submissions sync.WaitGroup
	for i := 0; time.Since(start) < suspension+2*time.Second; i++ {
		submissions.Go(func() { p.submit(fmt.Sprintf("%016x", i+1), i%2) })
		time.Sleep(submitInterval)
	}
	submissions.Wait()
	t.Logf("%d jobs were submitted again, %d starts", p.resubmissions.Load(), f.Checker.Starts())
	c.Assert(p.resubmissions.Load() > 0, qt.IsTrue)
	c.Assert(f.Checker.Violations(), qt.HasLen, 0)
}

// TestSuspendedEntry guards against tasks that run twice, as an entry that was suspended starts
// the jobs of callers that have submitted them to another entry meanwhile.
func TestSuspendedEntry(t *testing.T) {
	checkSuspension(t, func(f *fleet.Fleet) []*fleet.Process { return f.Entries[:1] })
}

// TestSuspendedAgents guards against tasks that run twice, as agents that were suspended send the
// starts that they had got before.
func TestSuspendedAgents(t *testing.T) {
	checkSuspension(t, func(f *fleet.Fleet) []*fleet.Process { return f.Agents[:3] })
}

// TestSuspendedEntryAndAgents guards against the same if both stand still, so that neither notices
// by the other that it is late.
func TestSuspendedEntryAndAgents(t *testing.T) {
	checkSuspension(t, func(f *fleet.Fleet) []*fleet.Process { return append(f.Agents[:3:3], f.Entries[0]) })
}
