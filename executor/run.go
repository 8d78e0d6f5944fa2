package executor

import (
	"errors"
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
	need     pollenfront.Resources
	noRoom   int
	once     bool          // It is not stopped for being slow.
	ordered  time.Duration // When the first of the start orders was sent.
	payload  string
	percent  int
	priority int
	progress time.Duration // When its percent was last seen to change.
	reason   string        // Why the run is stopped.
	sent     time.Duration // When the newest start order was sent.
	state    runState
	stopSent time.Duration
	unheard  bool // Whether the newest start order was not answered, and is to be repeated.
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
func (x *Executor) free() pollenfront.Resources {
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
func (x *Executor) unclaimed() pollenfront.Resources {
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
	fx.Stops = append(fx.Stops, StopRequest{Run: r.id, Token: x.token})
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
			x.measure.addRatio(slowFactor * x.measure.slowness())
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
	return projected > slowFactor*time.Duration(float64(r.expected)*max(1, x.measure.slowness()))
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
	end := tasklink.RunEnd{Run: r.id, Ending: ending, Superseded: reason == pollenfront.ErrRunSuperseded.Error(), Reason: reason}
	if r.state != queued {
		took := now - r.sent
		end.Seconds = took.Seconds()
		x.measure.add(now, ending, took, r.expected)
	}
	if x.entries[r.entry.Name] != r.entry {
		fx.Ended = append(fx.Ended, EndedRun{RunEnd: end, Entry: r.entry.Name})
		return
	}
	x.tell(now, r.entry, end, fx)
}

// HandleStopResponse takes the server's answer to a stop. A stop that was not carried
// out is repeated.
func (x *Executor) HandleStopResponse(now time.Duration, id pollenfront.RunID, clock time.Duration, err error) {
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
