package executor

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// releaseRetention is how long the ends of started runs are kept for the accounting of
// rejected starts. It is longer than all attempts at a start take.
const releaseRetention = maxStartAttempts * startTimeout

// A release is the end of a run that may have been on the server.
type release struct {
	at   time.Duration
	need pollenfront.Resources
}

// recordRelease records that a run has ended that may have been on the server.
func (x *Executor) recordRelease(now time.Duration, r *run) {
	x.releases = slices.DeleteFunc(x.releases, func(old release) bool { return now-old.at > releaseRetention })
	x.releases = append(x.releases, release{at: now, need: r.need})
}

// inUse returns the needs of all runs for which a start request was sent.
func (x *Executor) inUse() pollenfront.Resources {
	var sum pollenfront.Resources
	for _, r := range x.acceptedRuns {
		if r.state != queued {
			sum = sum.Add(r.need)
		}
	}
	return sum
}

// recordAcceptedStart learns from the answer that a run has started. What the server ran
// then is at least the runs that it is known to have started and is not asked to stop. The
// answer to a repeated request does not tell when the run started.
func (x *Executor) recordAcceptedStart(now time.Duration, r *run) {
	if r.startAttempts > 1 {
		return
	}
	inUse := r.need
	for _, other := range x.acceptedRuns {
		if other != r && other.started && other.state == running {
			inUse = inUse.Add(other.need)
		}
	}
	x.server.capacity.accepted(now, inUse, r.probe)
}

// recordRejectedStart learns from a start that the server rejected for lack of capacity.
// What the server ran then is at most all runs for which a start request was sent, and
// those that have ended since the request was sent. Nothing is learned while the server
// runs tasks that the executor does not know.
func (x *Executor) recordRejectedStart(now time.Duration, r *run, effects *Effects) {
	if !r.probe {
		x.noStartBefore = now + noCapacityPause
	}
	if !x.noUnknownRuns {
		return
	}
	inUse := x.inUse().Sub(r.need)
	for _, ended := range x.releases {
		if ended.at >= r.firstStartSent {
			inUse = inUse.Add(ended.need)
		}
	}
	if x.server.capacity.rejected(now, inUse, r.need) {
		x.notifyAll(effects)
	}
}

// endProbe records that the start of a run, if it was a probe, has been answered or will
// not be.
func (x *Executor) endProbe(r *run) {
	if r.probe {
		r.probe = false
		x.server.capacity.endProbe()
	}
}

// returnUnfit returns the queued runs that would wait for longer than maxQueueWait, the
// last ones first, after the learned capacity has been lowered.
func (x *Executor) returnUnfit(now time.Duration, effects *Effects) {
	for len(x.queue) > 0 {
		last := x.queue[len(x.queue)-1]
		x.queue = x.queue[:len(x.queue)-1]
		if x.queueWaits(now)[last.priority] <= int(maxQueueWait/time.Millisecond) {
			x.queue = append(x.queue, last)
			return
		}
		x.endRun(now, last, pollenfront.EndingNotStarted, proof{asOf: now, kind: NoStartSent}, "the server is full", effects)
	}
}

// A Capacity is what the server announces and what it provides.
type Capacity struct {
	Announced pollenfront.Resources
	Effective pollenfront.Resources
	// Reduced is whether the effective capacity is, or was shortly before, below the
	// announced one.
	Reduced bool
}

// Capacity returns what the server announces and what it provides, as the agent has
// learned from accepted and rejected starts.
func (x *Executor) Capacity(now time.Duration) Capacity {
	c := &x.server.capacity
	recent := c.lastRejection > 0 && now-c.lastRejection < probePauseReset
	return Capacity{Announced: c.announced, Effective: c.learned, Reduced: c.reduced() || recent}
}
