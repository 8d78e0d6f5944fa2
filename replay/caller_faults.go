package replay

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront/callerconn"
	"github.com/pollenfront/pollenfront/scheduler"
)

// BreakCallers breaks the connections of all callers that wait at an entry. They submit their
// jobs again after resubmitDelay, to another entry if there is one. The entry cancels the jobs
// when its kernel is told, after a delay, or when the callers' machines have not answered for
// callerconn.SilenceTimeout, whichever is first.
func (f *Fleet) BreakCallers(at time.Duration, entry int, notice time.Duration) {
	f.breakCallers(at, entry, func(e *entryNode, id string, attempt int) {
		f.schedule(min(notice, callerconn.SilenceTimeout+scheduler.TickInterval), func() { e.cancelAttempt(id, attempt) })
	})
}

// BreakCallersUnnoticed is like BreakCallers, but the entry's kernel is never told.
func (f *Fleet) BreakCallersUnnoticed(at time.Duration, entry int) {
	f.BreakCallers(at, entry, math.MaxInt64)
}

// breakCallers breaks the connections of all callers that wait at an entry, and calls notify
// for each.
func (f *Fleet) breakCallers(at time.Duration, entry int, notify func(e *entryNode, id string, attempt int)) {
	f.scheduleAt(at, func() {
		e := f.entries[entry]
		if !e.up {
			return
		}
		for _, id := range slices.Sorted(maps.Keys(e.attempts)) {
			attempt := e.attempts[id]
			if j := f.jobs[id]; j.attempt != attempt || j.done || j.brokenAttempt == attempt {
				continue // The caller no longer waits here.
			}
			f.jobs[id].brokenAttempt = attempt
			notify(e, id, attempt)
			f.resubmitTo(id, attempt, func() int { return (entry + 1 + f.random.IntN(max(1, len(f.entries)-1))) % len(f.entries) })
		}
	})
}

// cancelAttempt cancels an attempt of a job whose caller is gone, unless it has its answer.
func (e *entryNode) cancelAttempt(id string, attempt int) {
	e.handleEvent(e.generation, func() {
		if e.attempts[id] == attempt {
			delete(e.attempts, id)
			e.applyEffects(e.scheduler.Cancel(e.fleet.now, id))
		}
	})
}
