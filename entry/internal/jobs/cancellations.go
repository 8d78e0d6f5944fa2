package jobs

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
)

// Parameters of requests to cancel a job.
const (
	// cancelAnswerMargin is how long before its caller's time limit a request is answered.
	cancelAnswerMargin = 30 * time.Millisecond
	// cancelCheckInterval is the time between two checks whether the job does not exist.
	cancelCheckInterval = 50 * time.Millisecond
	// cancelSettleTime is the time after which the entry that has the job has been told of the
	// cancellation, and this entry of that, if all links work. The way there and back leads
	// through two agents and two entries at the most, which need 260 ms.
	cancelSettleTime = 500 * time.Millisecond
	// cancelTimeout is how long the request waits at the longest. An agent that is lost may
	// have runs for 1.3 s.
	cancelTimeout = 2 * time.Second
	// maxCancelWaiters is the number of requests that may wait.
	maxCancelWaiters = 1024
)

// A cancelWaiter waits until a job that was canceled is found.
type cancelWaiter struct {
	// found is closed when the job was found.
	found chan struct{}
	job   pollenfront.JobRef
}

// Cancel implements pollenfront.Jobs.
func (j *Jobs) Cancel(ctx context.Context, job pollenfront.JobRef, timeLimit time.Duration) pollenfront.CancelOutcome {
	outcome := j.cancel(ctx, job, timeLimit)
	j.metrics.cancellations.WithLabelValues(outcome.String()).Inc()
	j.logger.Info("cancellation answered", zap.String("request", job.ID), zap.String("route", job.Route), zap.Stringer("outcome", outcome))
	return outcome
}

// cancel implements Cancel.
func (j *Jobs) cancel(ctx context.Context, job pollenfront.JobRef, timeLimit time.Duration) pollenfront.CancelOutcome {
	start := bootclock.Now()
	waiter, outcome := j.beginCancel(job)
	if waiter == nil {
		return outcome
	}
	defer j.removeCancelWaiter(waiter)
	ticker := time.NewTicker(cancelCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-waiter.found:
			return pollenfront.CancelDone
		case <-ctx.Done():
			return pollenfront.CancelUnconfirmed
		case <-ticker.C:
		}
		waited := bootclock.Now() - start
		if waited >= cancelSettleTime && j.isUnknown(job) {
			return pollenfront.CancelNoJob
		}
		if waited >= min(cancelTimeout, timeLimit-cancelAnswerMargin) {
			return pollenfront.CancelUnconfirmed
		}
	}
}

// beginCancel cancels a job. It returns a waiter if it is not known yet whether the job exists,
// and the outcome otherwise.
func (j *Jobs) beginCancel(job pollenfront.JobRef) (*cancelWaiter, pollenfront.CancelOutcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.beginEvent()
	j.applyEffects(now, j.scheduler.CancelJob(now, job))
	switch {
	case j.scheduler.JobFound(now, job):
		return nil, pollenfront.CancelDone
	case len(j.cancelWaiters) >= maxCancelWaiters:
		return nil, pollenfront.CancelUnconfirmed
	}
	waiter := &cancelWaiter{found: make(chan struct{}), job: job}
	j.cancelWaiters = append(j.cancelWaiters, waiter)
	return waiter, pollenfront.CancelUnconfirmed
}

// isUnknown reports whether a canceled job does not exist as far as can be known: no entry has
// found it, and all agents hold the cancellation.
func (j *Jobs) isUnknown(job pollenfront.JobRef) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.beginEvent()
	return !j.scheduler.JobFound(now, job) && j.scheduler.AgentsHoldCancellation(now, job)
}

// confirmCancellations notifies those who wait for a job that was found. The caller must hold mu.
func (j *Jobs) confirmCancellations(found []pollenfront.JobRef) {
	if len(found) == 0 {
		return
	}
	j.cancelWaiters = slices.DeleteFunc(j.cancelWaiters, func(w *cancelWaiter) bool {
		if !slices.Contains(found, w.job) {
			return false
		}
		close(w.found)
		return true
	})
}

// removeCancelWaiter removes a waiter that does not wait any more.
func (j *Jobs) removeCancelWaiter(waiter *cancelWaiter) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cancelWaiters = slices.DeleteFunc(j.cancelWaiters, func(w *cancelWaiter) bool { return w == waiter })
}
