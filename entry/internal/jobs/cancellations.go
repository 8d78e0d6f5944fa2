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
	// cancelCheckInterval is the time between two checks whether the request is to wait on.
	cancelCheckInterval = 50 * time.Millisecond
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
	waiter, saved, outcome := j.beginCancel(job, timeLimit)
	if waiter != nil {
		outcome = j.awaitOutcome(ctx, waiter, timeLimit)
	}
	awaitSaved(ctx, saved)
	return outcome
}

// awaitOutcome waits until it is known whether a job that is to be canceled exists.
func (j *Jobs) awaitOutcome(ctx context.Context, waiter *cancelWaiter, timeLimit time.Duration) pollenfront.CancelOutcome {
	start := bootclock.Now()
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
		if outcome, ok := j.cancelOutcome(waiter.job, bootclock.Now()-start, timeLimit); ok {
			return outcome
		}
	}
}

// beginCancel cancels a job. It returns a waiter if it is not known yet whether the job exists,
// and the outcome otherwise. It also returns the channel that is closed when the cancellation has been
// saved, or nil.
func (j *Jobs) beginCancel(job pollenfront.JobRef, timeLimit time.Duration) (*cancelWaiter, <-chan struct{}, pollenfront.CancelOutcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.beginEvent()
	saved := j.saved.add(now, job)
	j.applyEffects(now, j.scheduler.CancelJob(now, job))
	outcome, ok := j.scheduler.CancelOutcome(now, job, 0, timeLimit)
	if ok || len(j.cancelWaiters) >= maxCancelWaiters {
		return nil, saved, outcome
	}
	waiter := &cancelWaiter{found: make(chan struct{}), job: job}
	j.cancelWaiters = append(j.cancelWaiters, waiter)
	return waiter, saved, outcome
}

// cancelOutcome returns the outcome of a request that has waited for some time, and false if it
// is to wait on.
func (j *Jobs) cancelOutcome(job pollenfront.JobRef, waited, timeLimit time.Duration) (pollenfront.CancelOutcome, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.scheduler.CancelOutcome(j.beginEvent(), job, waited, timeLimit)
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
