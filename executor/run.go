package executor

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// A runState is the state of a run.
type runState int

// States of a run.
const (
	queued   runState = iota
	starting          // The start is ordered and not answered.
	running
	stopping // A stop is ordered; the run may not have started.
)

// A run is a run of a task that has not ended.
type run struct {
	accepted time.Duration
	attempts int  // Start orders that the server has not refused.
	began    bool // Whether the server has said that it runs, or ran.
	entry    *entry
	expected time.Duration
	fenced   time.Duration // When a stop was answered: from then on the run can't begin.
	id       pollenfront.RunID
	need     pollenfront.Room
	noRoom   int
	once     bool // It is not stopped for being slow.
	payload  string
	percent  int
	priority int
	progress time.Duration // When its percent was last seen to change.
	reason   string        // Why the run is stopped.
	ordered  time.Duration // When the first of the start orders was sent.
	sent     time.Duration // When the newest start order was sent.
	state    runState
	unheard  bool // Whether the newest start order was not answered, and is to be repeated.
	stopSent time.Duration
	urgent   time.Duration
}

// enqueue queues a run by its urgency.
func (x *Executor) enqueue(r *run) {
	i, _ := slices.BinarySearchFunc(x.queue, r, func(a, b *run) int {
		if a.urgent <= b.urgent {
			return -1
		}
		return 1
	})
	x.queue = slices.Insert(x.queue, i, r)
}

// startQueued starts the queued runs for which there is room.
func (x *Executor) startQueued(now time.Duration, fx *Effects) {
	if x.state() != tasklink.StateReady {
		x.returnQueued(now, "the server takes no new tasks", fx)
		return
	}
	if now < x.resume || !x.server.clockKnown {
		return
	}
	free := x.free()
	for len(x.queue) > 0 && free.Holds(x.queue[0].need) {
		r := x.queue[0]
		x.queue = x.queue[1:]
		if r.entry.lost(now) {
			x.end(now, r, pollenfront.EndingNotStarted, entrySilent, fx)
			continue
		}
		free = free.Sub(r.need)
		r.ordered = now
		x.orderStart(now, r, fx)
	}
}

// orderStart orders the server to start a run. The server takes a repeated
// order for the same one.
func (x *Executor) orderStart(now time.Duration, r *run, fx *Effects) {
	r.attempts++
	r.sent, r.state, r.unheard = now, starting, false
	fx.Starts = append(fx.Starts, pollenfront.StartOrder{
		Lease: x.lease(now), Payload: r.payload, Run: r.id, Timeout: x.startTimeout(now), Token: x.token,
	})
}

// startTimeout returns how long the answer to a start is waited for.
func (x *Executor) startTimeout(now time.Duration) time.Duration {
	if x.inDoubt(now) {
		return doubtStartTimeout
	}
	return startTimeout
}

// returnWaiting returns the tasks that have waited for longer than was expected
// when they were accepted: by now another server may have room.
func (x *Executor) returnWaiting(now time.Duration, fx *Effects) {
	for _, r := range slices.Clone(x.queue) {
		if now-r.accepted > maxWait {
			x.stop(now, r, "it has waited too long", fx)
		}
	}
}

// returnQueued tells the entries that what is queued will not start.
func (x *Executor) returnQueued(now time.Duration, reason string, fx *Effects) {
	returned := x.queue
	x.queue = nil
	for _, r := range returned {
		x.end(now, r, pollenfront.EndingNotStarted, reason, fx)
	}
}

// free returns the room that no started run needs.
func (x *Executor) free() pollenfront.Room {
	free := x.server.capacity
	for _, r := range x.order {
		if r.state != queued {
			free = free.Sub(r.need)
		}
	}
	return free
}

// unclaimed returns the room that neither a started nor a queued run needs. It
// may be negative.
func (x *Executor) unclaimed() pollenfront.Room {
	free := x.free()
	for _, r := range x.queue {
		free = free.Sub(r.need)
	}
	return free
}

// stop ends a run as soon as possible.
func (x *Executor) stop(now time.Duration, r *run, reason string, fx *Effects) {
	switch r.state {
	case queued:
		x.queue = slices.DeleteFunc(x.queue, func(q *run) bool { return q == r })
		x.end(now, r, pollenfront.EndingNotStarted, reason, fx)
	case starting, running:
		r.state, r.reason = stopping, reason
		x.sendStop(now, r, fx)
	case stopping:
	}
}

// sendStop orders the server to stop a run.
func (x *Executor) sendStop(now time.Duration, r *run, fx *Effects) {
	r.stopSent = now
	fx.Stops = append(fx.Stops, StopOrder{Run: r.id, Token: x.token})
}

// stopStuck stops the runs that make no progress, and first runs that are far
// too slow: elsewhere they may be in time. If a run after the first is as slow,
// then the task is long, and it goes on.
func (x *Executor) stopStuck(now time.Duration, fx *Effects) {
	for _, r := range x.order {
		switch {
		case r.state != running || r.once:
		case x.server.renewed-r.progress > stuckLimit:
			x.measure.add(now, pollenfront.EndingFailed, 0, r.expected)
			x.stop(now, r, "it made no progress", fx)
		case r.id.Number == 1 && x.tooSlow(now, r):
			x.measure.addRatio(slowFactor * math.Exp(x.measure.logSlowness))
			x.stop(now, r, "it was far too slow", fx)
		}
	}
}

// tooSlow reports whether a run will take far longer than its task should, and
// most of that time lies ahead.
func (x *Executor) tooSlow(now time.Duration, r *run) bool {
	elapsed := now - r.sent
	if elapsed < slowAfter || r.percent <= 0 || r.percent > slowPercent {
		return false
	}
	projected := elapsed * 100 / time.Duration(r.percent)
	return projected > slowFactor*time.Duration(float64(r.expected)*max(1, math.Exp(x.measure.logSlowness)))
}

// repeatStops repeats the stops that were not answered.
func (x *Executor) repeatStops(now time.Duration, fx *Effects) {
	for _, r := range x.order {
		if r.state == stopping && r.fenced == 0 && now-r.stopSent > stopRetry {
			x.sendStop(now, r, fx)
		}
	}
}

// end forgets a run and tells its entry.
func (x *Executor) end(now time.Duration, r *run, ending pollenfront.Ending, reason string, fx *Effects) {
	delete(x.runs, r.id.TaskID)
	x.order = slices.DeleteFunc(x.order, func(o *run) bool { return o == r })
	if r.reason != "" {
		reason = r.reason
	}
	end := tasklink.End{Run: r.id, Ending: ending, Passed: reason == pollenfront.ErrRunPassed.Error(), Reason: reason}
	if r.state != queued {
		took := now - r.sent
		end.Seconds = took.Seconds()
		x.measure.add(now, ending, took, r.expected)
	}
	if x.entries[r.entry.Name] != r.entry {
		fx.Ended = append(fx.Ended, EndedRun{End: end, Entry: r.entry.Name})
		return
	}
	x.tell(now, r.entry, end, fx)
}

// StartAnswered takes the server's answer to a start. err is nil if the server
// has begun the run, one of the errors of pollenfront.BackendServer if it
// certainly has not, and another error if it may still do so.
func (x *Executor) StartAnswered(now time.Duration, order pollenfront.StartOrder, clock time.Duration, err error) Effects {
	var fx Effects
	x.learnClock(now, clock)
	x.orderAnswered(now, err)
	r, ok := x.runs[order.Run.TaskID]
	if !ok || r.id != order.Run || r.state == queued {
		return fx
	}
	switch {
	case !certain(err):
		x.startUnanswered(now, r, &fx)
	case err == nil:
		r.began, r.progress = true, now
		if r.state == starting {
			r.state = running
		}
	case r.attempts > 1:
		x.repeatRefused(now, r, err, &fx)
	case r.state == stopping:
		x.end(now, r, pollenfront.EndingNotStarted, r.reason, &fx)
	default:
		x.startRefused(now, r, err, &fx)
	}
	x.startQueued(now, &fx)
	return fx
}

// startUnanswered repeats a start that was not answered and may yet be carried
// out. If the server answers nothing, or not this start, the run is stopped.
func (x *Executor) startUnanswered(now time.Duration, r *run, fx *Effects) {
	away := x.server.answered < r.ordered && now-r.ordered >= awayAfterStart
	x.server.silent = x.server.silent || away
	switch {
	case r.state != starting:
	case r.entry.lost(now):
		x.stop(now, r, entrySilent, fx)
	case away || r.attempts == startAttempts:
		x.stop(now, r, "the server did not answer the start", fx)
	case now-r.sent < doubtStartTimeout: // The connection broke.
		r.unheard = true
	default:
		x.orderStart(now, r, fx)
	}
}

// repeatStarts repeats the starts whose connection broke.
func (x *Executor) repeatStarts(now time.Duration, fx *Effects) {
	for _, r := range x.order {
		if r.state == starting && r.unheard && now-r.sent >= doubtStartTimeout && !r.entry.lost(now) {
			x.orderStart(now, r, fx)
		}
	}
}

// repeatRefused decides what becomes of a run of which the server refused a
// repeated start. An earlier one may have been carried out, or may yet be.
func (x *Executor) repeatRefused(now time.Duration, r *run, err error, fx *Effects) {
	if errors.Is(err, pollenfront.ErrRunPassed) && r.state == starting {
		r.began, r.progress, r.state = true, now, running // The next renewal lists its ending.
		return
	}
	if errors.Is(err, pollenfront.ErrFenced) {
		x.token += fenceStep
	}
	x.stop(now, r, err.Error(), fx)
}

// orderAnswered notes whether the server has answered an order.
func (x *Executor) orderAnswered(now time.Duration, err error) {
	switch {
	case errors.Is(err, pollenfront.ErrUnreachable):
		x.server.doubted, x.server.silent = now, true
	case certain(err):
		x.server.answered, x.server.silent = now, false
	default:
		x.server.doubted = now
	}
}

// certain reports whether an answer says if an order was carried out.
func certain(err error) bool {
	if err == nil {
		return true
	}
	for _, known := range []error{
		pollenfront.ErrFenced, pollenfront.ErrLate, pollenfront.ErrNoRoom, pollenfront.ErrRejected, pollenfront.ErrReplaced,
		pollenfront.ErrRunPassed, pollenfront.ErrUnhealthy, pollenfront.ErrUnreachable,
	} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// startRefused decides what becomes of a run that the server did not begin.
func (x *Executor) startRefused(now time.Duration, r *run, err error, fx *Effects) {
	switch {
	case errors.Is(err, pollenfront.ErrNoRoom):
		r.noRoom++
		x.resume = now + noRoomPause
		if r.noRoom <= maxNoRoom {
			x.requeue(r)
			return
		}
	case errors.Is(err, pollenfront.ErrFenced):
		x.token += fenceStep
		x.requeue(r)
		return
	case errors.Is(err, pollenfront.ErrUnhealthy):
		x.measure.add(now, pollenfront.EndingFailed, 0, r.expected)
	}
	ending := pollenfront.EndingNotStarted
	if errors.Is(err, pollenfront.ErrRejected) {
		ending = pollenfront.EndingFailed
	}
	x.end(now, r, ending, err.Error(), fx)
}

// fenceStep is added to the token if the server knows a higher one, which an
// earlier incarnation of this agent used while the clock was ahead.
const fenceStep = 1 << 16

// requeue puts a run that the server did not begin back into the queue.
func (x *Executor) requeue(r *run) {
	r.attempts, r.state = 0, queued
	x.enqueue(r)
}

// StopAnswered takes the server's answer to a stop. A stop that was not carried
// out is repeated.
func (x *Executor) StopAnswered(now time.Duration, id pollenfront.RunID, clock time.Duration, err error) {
	x.learnClock(now, clock)
	x.orderAnswered(now, err)
	if errors.Is(err, pollenfront.ErrFenced) {
		x.token += fenceStep
	}
	if err != nil {
		return
	}
	if r, ok := x.runs[id.TaskID]; ok && r.id == id && r.state == stopping {
		r.fenced = now
	}
}
