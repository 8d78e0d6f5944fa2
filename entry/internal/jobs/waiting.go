package jobs

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/callerconn"
	"github.com/pollenfront/pollenfront/scheduler"
)

// silenceCheckInterval is the shortest time between two looks at silent callers, each of which takes
// a system call. It is shorter than the time between two ticks, so that each of these looks.
const silenceCheckInterval = scheduler.TickInterval / 2

// A waitingCaller is a caller that waits for the result of a job.
type waitingCaller struct {
	conn callerconn.ID
	job  string
	// lastHeard is when the caller's machine last sent anything before the caller began to wait.
	// The request may have been read long after it arrived.
	lastHeard time.Duration
	// result has a buffer of one, so that sending the result never blocks.
	result chan pollenfront.Result
}

// A departure is what showed that a caller has left. Its value is part of logs and metrics.
type departure string

// Departures.
const (
	departureClosed  departure = "closed"  // The kernel has reported that the connection is closed.
	departureHandler departure = "handler" // The HTTP server has read the end of the connection, which the kernel had not reported.
	departureSilent  departure = "silent"  // The caller's machine has sent nothing for callerconn.SilenceTimeout.
)

// callerLeftResult returns the result of a job whose caller has left.
func callerLeftResult(id string) pollenfront.Result {
	return pollenfront.Result{ID: id, Reason: pollenfront.ReasonCallerLeft, Verdict: pollenfront.VerdictUnknown}
}

// beginEvent returns the time of an event for the scheduler. Before, it cancels the jobs of all
// callers whose connections are closed by now, and of those whose machines are silent if the last
// look was silenceCheckInterval ago. Commands that the event causes are sent only
// after that, so that no agent gets a start or an echo that is newer than a break and
// overtakes the stop. The caller must hold mu.
func (j *Jobs) beginEvent() time.Duration {
	now := bootclock.Now()
	j.conns.Observe(now)
	left := j.forgetCallers(now, j.conns.Closed(), departureClosed)
	if now-j.silenceChecked >= silenceCheckInterval {
		j.silenceChecked = now
		left = append(left, j.forgetCallers(now, j.silentConns(now), departureSilent)...)
	}
	if len(left) > 0 {
		j.applyEffects(now, j.scheduler.Cancel(now, left...))
	}
	return now
}

// forgetCallers removes the callers on the given connections, which have left. It returns the jobs
// that have no caller any more, and so are to be canceled. The caller must hold mu.
func (j *Jobs) forgetCallers(now time.Duration, conns []callerconn.ID, why departure) []string {
	var left []string
	for _, conn := range conns {
		if caller, ok := j.watched[conn]; ok && j.forgetCaller(now, caller, why) {
			left = append(left, caller.job)
		}
	}
	return left
}

// silentConns returns the connections of the waiting callers whose machines have sent nothing, not
// even answers to probes, for callerconn.SilenceTimeout. The caller must hold mu.
func (j *Jobs) silentConns(now time.Duration) []callerconn.ID {
	var silent []callerconn.ID
	for conn, caller := range j.watched {
		if now-caller.lastHeard > callerconn.SilenceTimeout && j.conns.LastHeard(conn) > callerconn.SilenceTimeout {
			silent = append(silent, conn)
		}
	}
	return silent
}

// hasLeft reports whether a caller whose request was read is known to have left: its connection
// is closed, or its machine has been silent for callerconn.SilenceTimeout. It records when the
// machine was heard of.
func (j *Jobs) hasLeft(now time.Duration, caller *waitingCaller) (departure, bool) {
	silence := j.conns.LastHeard(caller.conn)
	caller.lastHeard = now - silence
	switch {
	case j.conns.IsClosed(caller.conn):
		return departureClosed, true
	case silence > callerconn.SilenceTimeout:
		return departureSilent, true
	}
	return "", false
}

// isStale reports whether a request may have been under way for so long that its caller may have
// submitted the job again, whatever the kernel knows of the connection: the process stood still.
func (j *Jobs) isStale(now time.Duration, caller *waitingCaller) bool {
	return j.conns.MaxRequestAge(now, caller.conn) > callerconn.SilenceTimeout
}

// refuseStale returns the answer to a request that isStale reports. mayHaveStarted is whether the
// answer must not say that the job did not run, or that it may be submitted again.
func (j *Jobs) refuseStale(now time.Duration, sub *pollenfront.Submission, caller *waitingCaller, mayHaveStarted bool) pollenfront.Result {
	result := pollenfront.Result{ID: sub.ID, Reason: pollenfront.ReasonSuspended, Verdict: pollenfront.VerdictRefused}
	if mayHaveStarted {
		result.Verdict = pollenfront.VerdictUnknown
	}
	j.metrics.answered.WithLabelValues(sub.Route.Name, result.Verdict.String(), string(result.Reason)).Inc()
	j.logger.Info("stale request", zap.String("request", sub.ID), zap.Stringer("verdict", result.Verdict), zap.Duration("max-age", j.conns.MaxRequestAge(now, caller.conn)))
	return result
}

// watch makes beginEvent cancel the job of a caller. The caller must hold mu.
func (j *Jobs) watch(caller *waitingCaller) {
	if caller.conn != 0 {
		j.watched[caller.conn] = caller
	}
}

// removeCaller updates a job after one of its callers has left. If no caller remains,
// it cancels the job.
func (j *Jobs) removeCaller(caller *waitingCaller) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.beginEvent()
	if j.forgetCaller(now, caller, departureHandler) {
		j.applyEffects(now, j.scheduler.Cancel(now, caller.job))
	}
}

// forgetCaller removes a caller that has left. It reports whether its job, which had no result
// yet, has no caller any more, and so is to be canceled. The caller must hold mu.
func (j *Jobs) forgetCaller(now time.Duration, caller *waitingCaller, why departure) bool {
	delete(j.watched, caller.conn)
	job, ok := j.submissions[caller.job]
	if !ok || !slices.Contains(job.callers, caller) {
		return false
	}
	caller.result <- callerLeftResult(caller.job)
	job.callers = slices.DeleteFunc(job.callers, func(other *waitingCaller) bool { return other == caller })
	if len(job.callers) > 0 {
		return false
	}
	delete(j.submissions, caller.job)
	j.recent.add(recentJob{endedAt: now, id: caller.job, outcome: callerLeft, reason: pollenfront.ReasonCallerLeft})
	j.metrics.callersLeft.WithLabelValues(string(why)).Inc()
	j.logger.Info("caller left", zap.String("request", caller.job), zap.Duration("after", now-job.arrivedAt), zap.String("evidence", string(why)))
	return true
}
