package executor

import (
	"errors"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// startQueued starts queued runs in order while the free resources cover the need of
// the first. It returns all queued runs if the server takes no new tasks. It starts
// nothing before noStartBefore, nor while the server's clock is unknown, since a start
// request states the lease as a time on that clock.
func (x *Executor) startQueued(now time.Duration, effects *Effects) {
	if x.State() != tasklink.StateReady {
		x.returnQueued(now, "the server takes no new tasks", effects)
		return
	}
	if now < x.noStartBefore || !x.server.clockOffsetKnown || x.leaseLimit() <= now {
		return
	}
	inUse := x.inUse()
	for len(x.queue) > 0 {
		r := x.queue[0]
		ok, probe := x.server.capacity.admits(now, inUse, r.need)
		if !ok {
			return
		}
		r.probe = probe
		x.queue = x.queue[1:]
		if r.entry.silent(now) {
			x.endProbe(r)
			x.endRun(now, r, pollenfront.EndingNotStarted, proof{asOf: now, kind: NoStartSent}, entrySilent, effects)
			continue
		}
		inUse = inUse.Add(r.need)
		r.firstStartSent = now
		x.sendStart(now, r, effects)
	}
}

// sendStart sends a request to start a run. It can be repeated, as the server starts
// each run at most once.
func (x *Executor) sendStart(now time.Duration, r *run, effects *Effects) {
	x.interference.recordStart(now, r, x.server.capacity.learned)
	r.openStarts++
	r.startAttempts++
	r.startIncarnation = x.server.incarnation
	r.lastStartSent, r.state, r.startRetryPending = now, starting, false
	leaseExpiry := x.extendLease(now)
	if r.mayRepeat() {
		effects.Reruns = append(effects.Reruns, Rerun{
			Attempt: r.startAttempts, EchoAge: now - r.entry.lastEcho, Entry: r.entry.Name, Lease: leaseExpiry - x.slowestClock(now), Run: r.id,
		})
	}
	effects.Starts = append(effects.Starts, pollenfront.StartRequest{
		Incarnation: x.server.incarnation, LeaseExpiry: leaseExpiry, Payload: r.payload, Run: r.id, Timeout: x.startTimeout(now), Token: x.tokens.Current(),
	})
}

// startTimeout returns how long the driver waits for the response to a start sent now.
func (x *Executor) startTimeout(now time.Duration) time.Duration {
	if x.serverSuspect(now) {
		return suspectStartTimeout
	}
	return startTimeout
}

// HandleStartResponse handles the response to a start request. clock is the server's
// clock, or zero if it is not known. err is nil if the server has started the run,
// one of the errors of pollenfront.BackendServer if this request did not start it, and
// any other error if the request may still be carried out.
func (x *Executor) HandleStartResponse(now time.Duration, request pollenfront.StartRequest, clock time.Duration, err error) Effects {
	var effects Effects
	if request.Incarnation == x.server.incarnation {
		x.recordClock(now, clock)
		x.recordResponse(now, err)
	}
	if !isDefinite(err) {
		x.lastUnansweredStart = now
	}
	if errors.Is(err, pollenfront.ErrFenced) {
		x.handleFenced(StartRequestKind, request.Token, &effects)
	}
	r, ok := x.runsByTask[request.Run.TaskID]
	if !ok || r.id != request.Run || r.state == queued {
		return effects
	}
	if isDefinite(err) {
		r.openStarts--
		r.startAnswered = now
	}
	switch {
	case !isDefinite(err):
		x.handleUnansweredStart(now, r, &effects)
	case err == nil:
		r.started, r.startAccepted, r.lastProgress = true, true, now
		if r.state == starting {
			r.state = running
		}
		x.recordAcceptedStart(now, r)
		x.endProbe(r)
	case r.startAttempts > 1:
		x.handleRefusedRetry(now, r, err, &effects)
	case r.state == stopping:
		x.endRun(now, r, pollenfront.EndingNotStarted, proof{asOf: now, kind: StartRefused}, r.stopReason, &effects)
	default:
		x.handleRefusedStart(now, r, err, &effects)
	}
	x.startQueued(now, &effects)
	return effects
}

// handleUnansweredStart repeats a start that was not answered. It stops the run instead
// if its entry is silent, if the server has responded to no request for
// startUnavailableTimeout, or after maxStartAttempts, since a start without a
// response may still be carried out.
func (x *Executor) handleUnansweredStart(now time.Duration, r *run, effects *Effects) {
	unresponsive := x.server.lastResponse < r.firstStartSent && now-r.firstStartSent >= startUnavailableTimeout
	x.server.unresponsive = x.server.unresponsive || unresponsive
	switch {
	case r.state != starting:
	case r.entry.silent(now):
		x.stopRun(now, r, entrySilent, effects)
	case unresponsive || r.startAttempts == maxStartAttempts || x.leaseLimit() <= now:
		x.stopRun(now, r, "the server did not answer the start", effects)
	case now-r.lastStartSent < suspectStartTimeout: // The connection broke, so an immediate retry could loop.
		r.startRetryPending = true
	default:
		x.sendStart(now, r, effects)
	}
}

// retryStarts repeats starts whose connection broke, at most every suspectStartTimeout.
func (x *Executor) retryStarts(now time.Duration, effects *Effects) {
	for _, r := range x.acceptedRuns {
		if r.state == starting && r.startRetryPending && now-r.lastStartSent >= suspectStartTimeout && !r.entry.silent(now) && x.leaseLimit() > now {
			x.sendStart(now, r, effects)
		}
	}
}

// handleRefusedRetry handles the refusal of a repeated start. An earlier attempt may
// have been carried out or may still be, so the run is stopped. A superseded run
// was carried out, and counts as running until a renewal reports its end.
func (x *Executor) handleRefusedRetry(now time.Duration, r *run, err error, effects *Effects) {
	x.endProbe(r)
	if errors.Is(err, pollenfront.ErrRunSuperseded) && r.state == starting {
		r.started, r.lastProgress, r.state = true, now, running
		return
	}
	if errors.Is(err, pollenfront.ErrNoCapacity) {
		x.recordRejectedStart(now, r, effects)
	}
	x.stopRun(now, r, err.Error(), effects)
}

// recordResponse records whether the server responded to a request that returned err.
func (x *Executor) recordResponse(now time.Duration, err error) {
	switch {
	case errors.Is(err, pollenfront.ErrNotSent):
		return
	case errors.Is(err, pollenfront.ErrUnreachable):
		x.server.lastUnanswered, x.server.unresponsive, x.server.refusing = now, true, true
	case isDefinite(err):
		x.server.lastResponse, x.server.unresponsive, x.server.refusing, x.server.failingSince = now, false, false, 0
		return
	default:
		x.server.lastUnanswered = now
	}
	if x.server.failingSince == 0 {
		x.server.failingSince = now
	}
}

// isDefinite reports whether err determines if a request was carried out: nil means
// that it was, an error of pollenfront.BackendServer that it was not.
func isDefinite(err error) bool {
	if err == nil {
		return true
	}
	for _, definite := range []error{
		pollenfront.ErrFenced, pollenfront.ErrLate, pollenfront.ErrNoCapacity, pollenfront.ErrNotSent, pollenfront.ErrRejected, pollenfront.ErrReplaced,
		pollenfront.ErrRunSuperseded, pollenfront.ErrUnhealthy, pollenfront.ErrUnreachable,
	} {
		if errors.Is(err, definite) {
			return true
		}
	}
	return false
}

// handleRefusedStart handles the refusal of the only start request for a run. The run
// goes back into the queue if a later start on this server may succeed, and to its
// entry otherwise.
func (x *Executor) handleRefusedStart(now time.Duration, r *run, err error, effects *Effects) {
	switch {
	case errors.Is(err, pollenfront.ErrNoCapacity):
		x.recordRejectedStart(now, r, effects)
		if !r.rejectedForCapacity {
			r.rejectedForCapacity = true
			x.requeue(now, r)
			x.returnUnfit(now, effects)
			return
		}
	case errors.Is(err, pollenfront.ErrFenced):
		x.requeue(now, r)
		return
	case errors.Is(err, pollenfront.ErrUnhealthy):
		x.stats.record(now, pollenfront.EndingFailed, 0, r.expectedRunTime)
	}
	ending := pollenfront.EndingNotStarted
	if errors.Is(err, pollenfront.ErrRejected) {
		ending = pollenfront.EndingFailed
	}
	x.endRun(now, r, ending, proof{asOf: now, kind: StartRefused}, err.Error(), effects)
}

// requeue puts a run whose only start request was refused back into the queue.
func (x *Executor) requeue(now time.Duration, r *run) {
	x.interference.recordEnd(now, r, pollenfront.EndingNotStarted, 1)
	x.endProbe(r)
	r.startAttempts, r.state = 0, queued
	x.enqueue(r)
}
