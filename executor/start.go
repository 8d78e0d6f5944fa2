package executor

import (
	"errors"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// startQueued starts the queued runs for which there is room.
func (x *Executor) startQueued(now time.Duration, fx *Effects) {
	if x.State() != tasklink.StateReady {
		x.returnQueued(now, "the server takes no new tasks", fx)
		return
	}
	if now < x.resume || !x.server.clockKnown {
		return
	}
	free := x.free()
	for len(x.queue) > 0 && free.Covers(x.queue[0].need) {
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
	fx.Starts = append(fx.Starts, pollenfront.StartRequest{
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

// HandleStartResponse takes the server's answer to a start. err is nil if the server
// has begun the run, one of the errors of pollenfront.BackendServer if it
// certainly has not, and another error if it may still do so.
func (x *Executor) HandleStartResponse(now time.Duration, order pollenfront.StartRequest, clock time.Duration, err error) Effects {
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
	if errors.Is(err, pollenfront.ErrRunSuperseded) && r.state == starting {
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
		pollenfront.ErrFenced, pollenfront.ErrLate, pollenfront.ErrNoCapacity, pollenfront.ErrRejected, pollenfront.ErrReplaced,
		pollenfront.ErrRunSuperseded, pollenfront.ErrUnhealthy, pollenfront.ErrUnreachable,
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
	case errors.Is(err, pollenfront.ErrNoCapacity):
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
