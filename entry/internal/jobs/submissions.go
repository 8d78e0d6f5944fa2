package jobs

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/callerconn"
	"github.com/pollenfront/pollenfront/observe"
)

// claimTimeout is the timeout of the store call that claims the ID of an at-most-once
// job.
const claimTimeout = time.Second

// An activeSubmission is a job that has no result yet, with the callers that wait
// for it.
type activeSubmission struct {
	arrivedAt  time.Duration
	callers    []*waitingCaller
	submission pollenfront.Submission
}

// Pending implements pollenfront.Jobs.
func (j *Jobs) Pending(route pollenfront.Route) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.scheduler.PendingJobs(route.Name)
}

// RecordRefusal implements pollenfront.Jobs.
func (j *Jobs) RecordRefusal(id string, reason pollenfront.Reason, detail string) {
	j.metrics.refusedRequests.WithLabelValues(string(reason)).Inc()
	j.logger.Info("request refused", zap.String("request", id), zap.String("reason", string(reason)), zap.String("detail", detail))
}

// Submit implements pollenfront.Jobs.
func (j *Jobs) Submit(ctx context.Context, sub pollenfront.Submission) pollenfront.Result {
	caller := &waitingCaller{conn: callerconn.FromContext(ctx), job: sub.ID, result: make(chan pollenfront.Result, 1)}
	if sub.AtMostOnce {
		if result, ok := j.refuseUnclaimed(&sub, caller); ok {
			return result
		}
		if reason := j.claim(ctx, sub.ID); reason != "" {
			return pollenfront.Result{ID: sub.ID, Reason: reason, Verdict: pollenfront.VerdictUnknown}
		}
	}
	if !j.submitOrJoin(sub, caller) {
		return pollenfront.Result{ID: sub.ID, Reason: pollenfront.ReasonConflict, Verdict: pollenfront.VerdictConflict}
	}
	select {
	case result := <-caller.result:
		return result
	case <-ctx.Done():
		j.removeCaller(caller)
		return callerLeftResult(sub.ID)
	}
}

// submitOrJoin submits a job. If the same job was submitted before and has no result
// yet, it adds the caller to that submission instead. It returns false if another job
// with the same ID has no result yet. A caller that has left meanwhile, or may have, gets its
// result at once: the request may have waited in a buffer while the process was suspended.
func (j *Jobs) submitOrJoin(sub pollenfront.Submission, caller *waitingCaller) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.beginEvent()
	job, active := j.submissions[sub.ID]
	if why, left := j.hasLeft(now, caller); left {
		j.metrics.callersLeft.WithLabelValues(string(why)).Inc()
		j.logger.Info("caller left before its job was taken", zap.String("request", sub.ID), zap.String("evidence", string(why)))
		caller.result <- callerLeftResult(sub.ID)
		return true
	}
	if j.isStale(now, caller) {
		caller.result <- j.refuseStale(now, &sub, caller, active || sub.AtMostOnce) // Nobody else can claim the ID.
		return true
	}
	if j.draining && !active {
		caller.result <- j.refuseDraining(&sub)
		return true
	}
	j.recordResubmission(now, sub.ID)
	if active {
		if job.submission.Payload != sub.Payload || job.submission.TaskCount != sub.TaskCount || job.submission.Route.Address() != sub.Route.Address() {
			return false
		}
		job.callers = append(job.callers, caller)
		j.watch(caller)
		return true
	}
	j.submissions[sub.ID] = &activeSubmission{arrivedAt: now, callers: []*waitingCaller{caller}, submission: sub}
	j.watch(caller)
	if observe.Sampled(sub.ID) {
		j.logger.Info("job taken", zap.String("request", sub.ID), zap.String("route", sub.Route.Name), zap.Uint64("config-version", j.configVersion()),
			zap.Int("tasks", sub.TaskCount), zap.Duration("estimate", sub.Estimate), zap.Duration("time-limit", sub.TimeLimit), zap.Int("cpu", sub.Need.CPU))
	}
	j.handling = &sub
	j.applyEffects(now, j.scheduler.Submit(now, sub))
	j.handling = nil
	return true
}

// refuseUnclaimed refuses an at-most-once job whose request is stale, or that arrives while the entry is
// draining. It reports whether it did. The ID of the job is still free then, so that the caller can
// submit the job again.
func (j *Jobs) refuseUnclaimed(sub *pollenfront.Submission, caller *waitingCaller) (pollenfront.Result, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.beginEvent()
	switch {
	case j.isStale(now, caller):
		return j.refuseStale(now, sub, caller, false), true
	case j.draining:
		return pollenfront.Result{ID: sub.ID, Reason: pollenfront.ReasonStopping, Verdict: pollenfront.VerdictRefused}, true
	}
	return pollenfront.Result{}, false
}

// claim claims the ID of an at-most-once job. It returns the reason why the job must
// not run, or "" if it may.
func (j *Jobs) claim(ctx context.Context, id string) pollenfront.Reason {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := j.store.Claim(ctx, id)
	switch {
	case err == nil:
		return ""
	case errors.Is(err, pollenfront.ErrClaimed):
		j.mu.Lock()
		defer j.mu.Unlock()
		j.recordResubmission(bootclock.Now(), id)
		return pollenfront.ReasonAlreadyClaimed
	}
	j.logger.Warn("claim failed", zap.String("request", id), zap.Error(err))
	return pollenfront.ReasonStoreUnavailable
}

// SubmissionCount returns the number of jobs that callers wait for.
func (j *Jobs) SubmissionCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.submissions)
}

// deliverResult sends the result of a job to its callers. mu must be held.
func (j *Jobs) deliverResult(now time.Duration, result pollenfront.Result) {
	job, ok := j.submissions[result.ID]
	if !ok {
		return
	}
	delete(j.submissions, result.ID)
	for _, caller := range job.callers {
		delete(j.watched, caller.conn)
		caller.result <- result
	}
	j.recent.add(recentJob{endedAt: now, id: result.ID, outcome: result.Verdict.String(), reason: result.Reason})
	took := now - job.arrivedAt
	j.metrics.recordResult(job.submission.Route.Name, result, took)
	if result.Verdict != pollenfront.VerdictCompleted || took > result.Trace.Due || observe.Sampled(result.ID) {
		j.logResult(job, result, took)
	}
}

// logResult logs the result of a job and where its time was spent.
func (j *Jobs) logResult(job *activeSubmission, result pollenfront.Result, took time.Duration) {
	trace := result.Trace
	j.logger.Info("job answered", zap.String("request", result.ID), zap.Stringer("verdict", result.Verdict),
		zap.String("reason", string(result.Reason)), zap.String("detail", result.Detail), zap.Duration("after", took), zap.Duration("due", trace.Due),
		zap.Duration("expected", trace.ExpectedRunTime), zap.Int("tasks", job.submission.TaskCount), zap.Int("runs", trace.Runs),
		zap.String("last-server", trace.LastServer), zap.Duration("last-sent", trace.LastSent), zap.Duration("last-run", trace.LastRunTime))
}
