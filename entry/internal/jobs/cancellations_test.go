package jobs

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Bounds of the platform on canceled jobs.
const (
	// cancelBound is the time after the acknowledgement from which no task may start.
	cancelBound = 3 * time.Second
	// settleTime is the time after which a job that was not found is reported as not existing.
	settleTime = 500 * time.Millisecond
	// stopBound is the time after that from which no task may run.
	stopBound = 50 * time.Millisecond
	// callerTimeLimit is how long the callers of these tests wait.
	callerTimeLimit = 4 * time.Second
)

// cancelJob cancels the job of newSubmission.
func cancelJob(j *Jobs) pollenfront.CancelOutcome {
	sub := newSubmission(false)
	return j.Cancel(context.Background(), sub.Ref(), callerTimeLimit)
}

// TestCancelAtOwner guards against a job that runs on after it was canceled at its own entry. All
// of its callers get a final answer at once, and no run is sent again.
func TestCancelAtOwner(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, nil)
	first := submitAsync(context.Background(), j, newSubmission(false))
	run := a.receiveStart(t)
	second := submitAsync(context.Background(), j, newSubmission(false))
	for j.callerCount(run.Job) < 2 {
		time.Sleep(time.Millisecond)
	}
	outcome := make(chan pollenfront.CancelOutcome, 1)
	go func() { outcome <- cancelJob(j) }()
	var commands tasklink.Commands
	for len(commands.Stops) == 0 {
		commands = tasklink.Commands{}
		c.Assert(a.Receive(&commands), qt.IsNil)
	}
	c.Assert(commands.Stops, qt.DeepEquals, []pollenfront.RunID{run})
	c.Assert(commands.Cancellations, qt.HasLen, 1)
	c.Assert(<-outcome, qt.Equals, pollenfront.CancelDone)
	for _, result := range []<-chan pollenfront.Result{first, second} {
		r := <-result
		c.Assert(r.Verdict, qt.Equals, pollenfront.VerdictCanceled)
		c.Assert(r.Reason, qt.Equals, pollenfront.ReasonCanceled)
	}
	go a.sendUpdate(t, tasklink.RunEnd{Ending: pollenfront.EndingStopped, Run: run})
	for j.jobCount() > 0 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(cancelJob(j), qt.Equals, pollenfront.CancelDone)
	c.Assert(j.Submit(context.Background(), newSubmission(false)).Verdict, qt.Equals, pollenfront.VerdictCanceled)
}

// newLongSubmission is like newSubmission, with a task that takes some seconds.
func newLongSubmission() pollenfront.Submission {
	sub := newSubmission(false)
	sub.Estimate = 8 * time.Second
	return sub
}

// callerCount returns the number of callers that wait for a job.
func (j *Jobs) callerCount(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if sub, ok := j.submissions[id]; ok {
		return len(sub.callers)
	}
	return 0
}

// jobCount returns the number of jobs that have not ended.
func (j *Jobs) jobCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.scheduler.JobCount()
}

// TestCancelAtOtherEntry guards against a DELETE that is answered although the job runs on, as
// another entry owns it.
func TestCancelAtOtherEntry(t *testing.T) {
	tests := []struct {
		name string
		// before is called when the job runs.
		before func(f *cancelFleet)
		// after is called after the request to cancel the job.
		after func(f *cancelFleet)
		want  pollenfront.CancelOutcome
	}{
		{name: "undisturbed", want: pollenfront.CancelDone},
		{name: "stops are lost", before: (*cancelFleet).setLoseStops, want: pollenfront.CancelDone},
		{
			name: "owner's link is lost for a while", before: func(f *cancelFleet) { f.unlink(0) },
			after: func(f *cancelFleet) { time.Sleep(300 * time.Millisecond); f.link(0) }, want: pollenfront.CancelDone,
		},
		{
			name: "other entry's link is lost for a while", before: func(f *cancelFleet) { f.unlink(1) },
			after: func(f *cancelFleet) { time.Sleep(300 * time.Millisecond); f.link(1) }, want: pollenfront.CancelDone,
		},
		{
			name: "both links are lost for a while", before: func(f *cancelFleet) { f.unlink(0); f.unlink(1) },
			after: func(f *cancelFleet) { time.Sleep(300 * time.Millisecond); f.link(1); f.link(0) }, want: pollenfront.CancelDone,
		},
		{name: "other entry's link is lost for good", before: func(f *cancelFleet) { f.unlink(1) }, want: pollenfront.CancelUnconfirmed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newCancelFleet(t, 2)
			result := submitAsync(context.Background(), f.entries[0], newLongSubmission())
			f.awaitRun()
			if test.before != nil {
				test.before(f)
			}
			outcome := make(chan pollenfront.CancelOutcome, 1)
			go func() { outcome <- cancelJob(f.entries[1]) }()
			if test.after != nil {
				test.after(f)
			}
			c.Assert(<-outcome, qt.Equals, test.want)
			if test.want != pollenfront.CancelDone {
				running, _ := f.counts()
				c.Assert(running, qt.Equals, 1)
				c.Assert(cancelJob(f.entries[0]), qt.Equals, pollenfront.CancelDone)
			}
			c.Assert((<-result).Verdict, qt.Equals, pollenfront.VerdictCanceled)
			_, started := f.counts()
			time.Sleep(cancelBound + stopBound)
			running, startedLater := f.counts()
			c.Assert(running, qt.Equals, 0)
			c.Assert(startedLater, qt.Equals, started)
			c.Assert(cancelJob(f.entries[1]), qt.Equals, test.want)
		})
	}
}

// awaitRun waits until a run is on the server.
func (f *cancelFleet) awaitRun() {
	for {
		if running, _ := f.counts(); running > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestCancelBeforeSubmission guards against a job that starts as its submission arrives after the
// request to cancel it, at this entry or at another one.
func TestCancelBeforeSubmission(t *testing.T) {
	for i, name := range []string{"same entry", "other entry"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newCancelFleet(t, 2)
			start := bootclock.Now()
			c.Assert(cancelJob(f.entries[0]), qt.Equals, pollenfront.CancelNoJob)
			c.Assert(bootclock.Now()-start >= settleTime, qt.IsTrue)
			c.Assert(f.entries[i].Submit(context.Background(), newSubmission(false)).Verdict, qt.Equals, pollenfront.VerdictCanceled)
			_, started := f.counts()
			c.Assert(started, qt.Equals, 0)
			c.Assert(cancelJob(f.entries[0]), qt.Equals, pollenfront.CancelDone)
		})
	}
}

// TestSubmissionWhileCancelWaits checks that a request to cancel a job which arrives while the
// request waits is answered as done.
func TestSubmissionWhileCancelWaits(t *testing.T) {
	c := qt.New(t)
	f := newCancelFleet(t, 2)
	outcome := make(chan pollenfront.CancelOutcome, 1)
	go func() { outcome <- cancelJob(f.entries[0]) }()
	time.Sleep(150 * time.Millisecond)
	c.Assert(f.entries[1].Submit(context.Background(), newSubmission(false)).Verdict, qt.Equals, pollenfront.VerdictCanceled)
	c.Assert(<-outcome, qt.Equals, pollenfront.CancelDone)
	_, started := f.counts()
	c.Assert(started, qt.Equals, 0)
}

// TestCancelUnconfirmed guards against an answer that no such job exists when that is not known,
// and against requests that wait for longer than their callers or without a limit.
func TestCancelUnconfirmed(t *testing.T) {
	sub := newSubmission(false)
	t.Run("no agent", func(t *testing.T) {
		t.Parallel()
		c := qt.New(t)
		f := newCancelFleet(t, 1)
		f.unlink(0)
		start := bootclock.Now()
		c.Assert(cancelJob(f.entries[0]), qt.Equals, pollenfront.CancelUnconfirmed)
		c.Assert(bootclock.Now()-start < callerTimeLimit, qt.IsTrue)
	})
	t.Run("short time limit", func(t *testing.T) {
		t.Parallel()
		c := qt.New(t)
		f := newCancelFleet(t, 1)
		start := bootclock.Now()
		c.Assert(f.entries[0].Cancel(context.Background(), sub.Ref(), 200*time.Millisecond), qt.Equals, pollenfront.CancelUnconfirmed)
		c.Assert(bootclock.Now()-start < settleTime, qt.IsTrue)
	})
	t.Run("caller has left", func(t *testing.T) {
		t.Parallel()
		c := qt.New(t)
		f := newCancelFleet(t, 1)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		c.Assert(f.entries[0].Cancel(ctx, sub.Ref(), callerTimeLimit), qt.Equals, pollenfront.CancelUnconfirmed)
		c.Assert(f.entries[0].cancelWaiterCount(), qt.Equals, 0)
	})
	t.Run("too many requests", func(t *testing.T) {
		t.Parallel()
		c := qt.New(t)
		f := newCancelFleet(t, 1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for range maxCancelWaiters {
			go f.entries[0].Cancel(ctx, sub.Ref(), time.Minute)
		}
		for f.entries[0].cancelWaiterCount() < maxCancelWaiters {
			time.Sleep(time.Millisecond)
		}
		start := bootclock.Now()
		c.Assert(cancelJob(f.entries[0]), qt.Equals, pollenfront.CancelUnconfirmed)
		c.Assert(bootclock.Now()-start < settleTime, qt.IsTrue)
	})
}

// cancelWaiterCount returns the number of requests that wait.
func (j *Jobs) cancelWaiterCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.cancelWaiters)
}
