package executor

import (
	"errors"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// A runState is the state of a run that has not ended.
type runState int

// States of a run.
const (
	// queued means that the run waits for free resources, and that the server has
	// no start request for it.
	queued runState = iota
	// starting means that the server has not yet reported whether it started the run.
	starting
	// running means that the server has started the run.
	running
	// stopping means that the server was asked to stop the run, which may or may
	// not have started.
	stopping
)

// A run is a run of a task that has not ended.
type run struct {
	// acceptedAt is when the start command of the run was accepted.
	acceptedAt time.Duration
	// atMostOnce is whether the task must not run twice, so that a slow or stuck run
	// of it is not stopped.
	atMostOnce bool
	// crashed is whether the run was or may have been on the server when it crashed.
	crashed bool
	entry   *entry
	// expectedRunTime is the run time on a server with a slowness of 1.
	expectedRunTime time.Duration
	// firstStartSent is when the first start request since the run left the queue
	// was sent.
	firstStartSent time.Duration
	id             pollenfront.RunID
	// lastProgress is when percent was last seen to change.
	lastProgress time.Duration
	// lastStartSent is when the newest start request was sent.
	lastStartSent time.Duration
	// lastStopSent is when the newest stop request was sent.
	lastStopSent time.Duration
	// latestStart is the latest time at which the run can start and be on time.
	latestStart time.Duration
	need        pollenfront.Resources
	// openStarts is the number of start requests that were neither answered nor
	// refused, and so may still be carried out.
	openStarts int
	payload    string
	// percent is the progress that the server last reported.
	percent  int
	priority int
	// probe is whether the start in progress exceeds the learned capacity.
	probe bool
	// rejectedForCapacity is whether the server has refused the run with ErrNoCapacity.
	rejectedForCapacity bool
	// reportedAt is when the server last listed the run, with percent.
	reportedAt time.Duration
	route      string
	// routeAddress is the address of the job's route, as in pollenfront.JobRef.
	routeAddress string
	// revokedAt is when the run lost its right to run, since its job was canceled, or its entry
	// was silent or restarted or has stopped it, and zero before.
	revokedAt time.Duration
	// rerun is whether an earlier run of the task may have started.
	rerun bool
	// startAttempts is the number of start requests since the run left the queue.
	startAttempts int
	// startAccepted is whether the server has accepted a start request in an answer.
	startAccepted bool
	// startAnswered is when the server last answered a start request.
	startAnswered time.Duration
	// started is whether the server reported that the run has started, or the run
	// may have started in an earlier incarnation of the server.
	started bool
	// startIncarnation is the incarnation of the server that the newest start request is meant
	// for.
	startIncarnation uint64
	// startRetryPending is whether the connection broke during the newest start
	// request, and retryStarts is to repeat it.
	startRetryPending bool
	state             runState
	// stopConfirmed is when the server confirmed a stop, and zero before. From
	// then on the run can't start.
	stopConfirmed time.Duration
	// stopReason is why the run is stopped, and empty if it is not.
	stopReason string
}

// mayRepeat reports whether the task may have been sent to an agent before. An entry that sends
// a task of which the agent knows an ended run must use a higher number.
func (r *run) mayRepeat() bool {
	return r.rerun || r.id.Number > 1
}

// enqueue puts a run into the queue by its latest start. Runs with the same latest
// start stay in the order in which they were queued.
func (x *Executor) enqueue(r *run) {
	i, _ := slices.BinarySearchFunc(x.queue, r, func(a, b *run) int {
		if a.latestStart <= b.latestStart {
			return -1
		}
		return 1
	})
	x.queue = slices.Insert(x.queue, i, r)
}

// returnTimedOut returns queued tasks that have waited for longer than maxQueueWait,
// since another server may have the resources for them by now.
func (x *Executor) returnTimedOut(now time.Duration, effects *Effects) {
	for _, r := range slices.Clone(x.queue) {
		if now-r.acceptedAt > maxQueueWait {
			x.stopRun(now, r, "it has waited too long", effects)
		}
	}
}

// returnQueued empties the queue and reports its runs to their entries as not
// started.
func (x *Executor) returnQueued(now time.Duration, reason string, effects *Effects) {
	returned := x.queue
	x.queue = nil
	for _, r := range returned {
		x.endRun(now, r, pollenfront.EndingNotStarted, proof{asOf: now, kind: NoStartSent}, reason, effects)
	}
}

// freeResources returns the resources that the server offers less the needs of the runs
// for which a start request was sent.
func (x *Executor) freeResources(now time.Duration) pollenfront.Resources {
	return x.server.capacity.offered(now).Sub(x.inUse())
}

// unreservedResources returns the free resources less the needs of the queued runs.
// It may be negative.
func (x *Executor) unreservedResources(now time.Duration) pollenfront.Resources {
	free := x.freeResources(now)
	for _, r := range x.queue {
		free = free.Sub(r.need)
	}
	return free
}

// stopRun ends a queued run at once, and asks the server to stop any other one.
func (x *Executor) stopRun(now time.Duration, r *run, reason string, effects *Effects) {
	switch r.state {
	case queued:
		x.queue = slices.DeleteFunc(x.queue, func(other *run) bool { return other == r })
		x.endRun(now, r, pollenfront.EndingNotStarted, proof{asOf: now, kind: NoStartSent}, reason, effects)
	case starting, running:
		r.state, r.stopReason = stopping, reason
		x.sendStop(now, r, effects)
	case stopping:
	}
}

// sendStop sends a request to stop a run.
func (x *Executor) sendStop(now time.Duration, r *run, effects *Effects) {
	r.lastStopSent = now
	effects.Stops = append(effects.Stops, x.stopRequest(r.id))
}

// stopRequest returns a request to stop a run on the current incarnation of the server.
func (x *Executor) stopRequest(id pollenfront.RunID) StopRequest {
	return StopRequest{Incarnation: x.server.incarnation, Run: id, Token: x.tokens.Current()}
}

// stopSlowRuns stops runs that make no progress, and first runs of tasks that are
// far too slow, as these may be on time on another server. A later run that is as
// slow goes on, since the task itself is then longer than estimated.
func (x *Executor) stopSlowRuns(now time.Duration, effects *Effects) {
	for _, r := range x.acceptedRuns {
		switch {
		case r.state != running || r.atMostOnce:
		case x.server.lastRenewal-r.lastProgress > progressTimeout:
			x.stats.record(now, pollenfront.EndingFailed, 0, r.expectedRunTime)
			x.stopRun(now, r, "it made no progress", effects)
		case !r.rerun && x.tooSlow(r):
			x.stats.recordTooSlow(now)
			x.stopRun(now, r, "it was far too slow", effects)
		}
	}
}

// tooSlow reports whether a run will take more than slowRunFactor times as long as
// expected on this server, and is not past maxSlowCheckPercent, by its newest report.
func (x *Executor) tooSlow(r *run) bool {
	elapsed := r.reportedAt - r.lastStartSent
	if elapsed < slowCheckDelay || r.percent <= 0 || r.percent > maxSlowCheckPercent {
		return false
	}
	projected := elapsed * 100 / time.Duration(r.percent)
	return projected > slowRunFactor*time.Duration(float64(r.expectedRunTime)*max(1, x.stats.slowness()))
}

// retryStops repeats stop requests that the server has not confirmed, unless its process
// has ended. Its next incarnation gets all of them again. A run that has lost its right to run
// holds up the lease of all others, so its stop is repeated at each tick.
func (x *Executor) retryStops(now time.Duration, effects *Effects) {
	for _, r := range x.acceptedRuns {
		if r.state != stopping || r.stopConfirmed != 0 || x.server.crashed {
			continue
		}
		if now-r.lastStopSent > stopRetryInterval || r.revokedAt > 0 && now > r.lastStopSent {
			x.sendStop(now, r, effects)
		}
	}
}

// endRun removes a run and reports its end to its entry. The reason for which it was
// stopped, if any, takes precedence over the given one. shownBy is what shows that the run
// is over. A later incarnation of the entry gets no report. An end that may be followed by a
// delayed start is reported later.
func (x *Executor) endRun(now time.Duration, r *run, ending pollenfront.Ending, shownBy proof, reason string, effects *Effects) {
	delete(x.runsByTask, r.id.TaskID)
	x.acceptedRuns = slices.DeleteFunc(x.acceptedRuns, func(other *run) bool { return other == r })
	if r.stopReason != "" {
		reason = r.stopReason
	}
	end := tasklink.RunEnd{
		Run: r.id, Ending: ending, Superseded: isSuperseded(reason), Reason: reason, Evidence: shownBy.kind, EvidenceAge: now - shownBy.asOf,
	}
	x.interference.recordEnd(now, r, ending, x.stats.slowness())
	if r.state != queued {
		runTime := now - r.lastStartSent
		end.Seconds = runTime.Seconds()
		x.stats.record(now, ending, runTime, r.expectedRunTime)
		x.endProbe(r)
	}
	if ending != pollenfront.EndingNotStarted {
		x.recordRelease(now, r)
	}
	ended := EndedRun{RunEnd: end, Entry: r.entry.Name}
	x.endings.record(now, r, ended)
	if x.entries[r.entry.Name] != r.entry {
		effects.Ended = append(effects.Ended, ended)
		return
	}
	if x.withholdsEnd(now, r, ending, shownBy.kind) {
		x.withholdEnd(r, end, effects)
		effects.Ended = append(effects.Ended, ended)
		return
	}
	x.reportEnd(now, r.entry, ended, effects)
}

// HandleStopResponse handles the response to a stop request. clock is the server's
// clock, or zero if it is not known. err is nil if the server confirmed the stop; on
// any error, a later Tick repeats the stop.
func (x *Executor) HandleStopResponse(now time.Duration, request StopRequest, clock time.Duration, err error) Effects {
	var effects Effects
	if request.Incarnation != x.server.incarnation {
		return effects // A stop is confirmed by the incarnation that may carry out the start.
	}
	x.recordClock(now, clock)
	x.recordResponse(now, err)
	if errors.Is(err, pollenfront.ErrFenced) {
		x.handleFenced(StopRequestKind, request.Token, &effects)
	}
	if err != nil {
		return effects
	}
	id := request.Run
	if r, ok := x.runsByTask[id.TaskID]; ok && r.id == id && r.state == stopping {
		r.stopConfirmed = now
	}
	return effects
}
