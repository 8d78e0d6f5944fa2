package jobs

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/program"
)

// drainCheckInterval is the time between two checks whether a job is left.
const drainCheckInterval = 20 * time.Millisecond

// Drain refuses new jobs and waits until all others are answered, whichever interface they came by,
// or until ctx is done. It reports whether all are answered.
func (j *Jobs) Drain(ctx context.Context) bool {
	j.mu.Lock()
	j.draining = true
	j.mu.Unlock()
	for j.SubmissionCount() > 0 && ctx.Err() == nil {
		program.Sleep(ctx, drainCheckInterval)
	}
	return j.SubmissionCount() == 0
}

// AbortAll aborts all jobs with pollenfront.ReasonStopping.
func (j *Jobs) AbortAll() {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.beginEvent()
	j.applyEffects(now, j.scheduler.AbortAll(now, pollenfront.ReasonStopping))
}

// refuseDraining returns the answer to a job that arrives after Drain was called. If its ID was claimed
// before, no other entry can run it.
func (j *Jobs) refuseDraining(sub *pollenfront.Submission) pollenfront.Result {
	result := pollenfront.Result{ID: sub.ID, Reason: pollenfront.ReasonStopping, Verdict: pollenfront.VerdictRefused}
	if sub.AtMostOnce {
		result.Verdict = pollenfront.VerdictUnknown
	}
	j.metrics.answered.WithLabelValues(sub.Route.Name, result.Verdict.String(), string(result.Reason)).Inc()
	j.logger.Info("job refused as the entry is stopping", zap.String("request", sub.ID), zap.Stringer("verdict", result.Verdict))
	return result
}
