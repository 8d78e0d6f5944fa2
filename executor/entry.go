package executor

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// An entry is one incarnation of an entry that has linked to the agent.
type entry struct {
	EntryRef

	// cancelCursor is the position up to which the entry was told of cancellations on its
	// current link.
	cancelCursor uint64
	// cancellationSeqNum is the newest CancellationSeqNum of its commands on that link.
	cancellationSeqNum uint64
	// crashCursor is the position up to which the entry was told of crashes on its
	// current link.
	crashCursor uint64
	// invalidDemand is whether this incarnation has stated an invalid demand.
	invalidDemand bool
	// lastEcho is the newest reading of the agent's clock that the entry has
	// echoed, or the time at which it linked first if that is later.
	lastEcho time.Duration
	// lastSeqNum is the highest sequence number of the tasks that the entry has
	// sent on its current link.
	lastSeqNum uint64
	// linked is whether the entry has a link to the agent.
	linked bool
	// pendingEnds lists the ends of runs for the next update.
	pendingEnds []tasklink.RunEnd
	// pendingWithheld lists the runs whose ends are withheld, for the next update.
	pendingWithheld []pollenfront.RunID
	// released is when the agent began to release the entry, which then is to send
	// no more tasks, and zero otherwise.
	released time.Duration
	// recentEnds lists the ends of runs to report when the entry links again, the
	// oldest first.
	recentEnds []recentEnd
	// toldToken is the highest fencing token of which the entry was told on its current link.
	toldToken uint64
	// stoppedForSilence is whether Tick has stopped the runs of the entry since it
	// became silent.
	stoppedForSilence bool
}

// entrySilent is the reason given for the end of a run whose entry is silent.
const entrySilent = "its entry is silent"

// silent reports whether the newest echo of an entry is so old that its runs must
// end.
func (e *entry) silent(now time.Duration) bool {
	return now > e.silentAt()
}

// silentAt returns the time from which on the entry is silent if it sends no newer echo.
func (e *entry) silentAt() time.Duration {
	return e.lastEcho + EntrySilenceTimeout
}

// A recentEnd is the end of a run, kept for runEndRetention.
type recentEnd struct {
	at  time.Duration
	end tasklink.RunEnd
}

// runState returns the state of the run for a hello that is sent now.
func (r *recentEnd) runState(now time.Duration) tasklink.RunState {
	state := tasklink.RunState{Run: r.end.Run, Ending: r.end.Ending, Reason: r.end.Reason, Evidence: r.end.Evidence}
	if state.Evidence != "" {
		state.EvidenceAge = r.end.EvidenceAge + now - r.at
	}
	return state
}

// LinkEntry records that an entry has linked. That does not show that the entry has heard from
// the agent, so it counts as silent until it has echoed an update. It returns the runs of the entry that
// the agent knows, including those that ended within runEndRetention. It stops the
// runs of an earlier incarnation, and those of an entry that has been silent.
func (x *Executor) LinkEntry(now time.Duration, ref EntryRef) ([]tasklink.RunState, Effects) {
	var effects Effects
	e, ok := x.entries[ref.Name]
	if ok {
		x.checkSilence(now, e, &effects)
	}
	if ok && e.Incarnation != ref.Incarnation {
		x.revokeAllRuns(now, now, e, "its entry was restarted", &effects)
		ok = false
	}
	if !ok {
		e = &entry{EntryRef: ref, lastEcho: now}
		x.entries[ref.Name] = e
	}
	e.lastSeqNum, e.linked, e.released, e.stoppedForSilence, e.pendingEnds = 0, true, 0, false, nil
	e.cancelCursor, e.cancellationSeqNum, e.crashCursor = 0, 0, 0
	e.pendingWithheld, e.toldToken = x.withheldRuns(e), x.tokens.Reserved()
	x.removeFromShares(e) // A new link starts without a statement.
	x.addToShares(e)
	x.interference.forget(ref.Name)
	return x.runStates(now, e), effects
}

// UnlinkEntry records that the link to an entry is closed. Its runs go on until
// its newest echo is older than EntrySilenceTimeout.
func (x *Executor) UnlinkEntry(ref EntryRef) {
	if e, ok := x.entries[ref.Name]; ok && e.EntryRef == ref {
		e.linked = false
		x.removeFromShares(e)
	}
}

// runStates returns the active and the recently ended runs of an entry. Runs whose ends are
// withheld count as active.
func (x *Executor) runStates(now time.Duration, e *entry) []tasklink.RunState {
	var states []tasklink.RunState
	for _, r := range x.acceptedRuns {
		if r.entry == e {
			states = append(states, tasklink.RunState{Run: r.id})
		}
	}
	for _, run := range x.withheldRuns(e) {
		states = append(states, tasklink.RunState{Run: run})
	}
	for _, ended := range e.recentEnds {
		states = append(states, ended.runState(now))
	}
	return states
}

// reportEnd queues the end of a run for the next update to its entry, and keeps it
// for an entry that links again.
func (x *Executor) reportEnd(now time.Duration, e *entry, ended EndedRun, effects *Effects) {
	ended.Reported = e.linked
	effects.Ended = append(effects.Ended, ended)
	x.queueEnd(now, e, ended.RunEnd, effects)
}

// queueEnd queues the end of a run for the next update to its entry.
func (x *Executor) queueEnd(now time.Duration, e *entry, end tasklink.RunEnd, effects *Effects) {
	if end.Ending == pollenfront.EndingDone {
		end.Evidence, end.EvidenceAge = "", 0 // The task is not run again.
	}
	e.recentEnds = append(e.recentEnds, recentEnd{at: now, end: end})
	if e.linked {
		e.pendingEnds = append(e.pendingEnds, end)
		effects.notify(e.Name)
	}
}

// hasRuns reports whether a run of an entry has not ended, or its end is withheld.
func (x *Executor) hasRuns(e *entry) bool {
	return slices.ContainsFunc(x.acceptedRuns, func(r *run) bool { return r.entry == e }) ||
		slices.ContainsFunc(x.withheldEnds, func(w withheldEnd) bool { return w.entry == e })
}

// checkSilence stops all runs of an entry once it has become silent.
func (x *Executor) checkSilence(now time.Duration, e *entry, effects *Effects) {
	if e.silent(now) && !e.stoppedForSilence {
		e.stoppedForSilence = true
		x.revokeAllRuns(now, e.silentAt(), e, entrySilent, effects)
	}
}

// revokeAllRuns stops all runs of an entry, which lost the right to run at the given time.
func (x *Executor) revokeAllRuns(now, revokedAt time.Duration, e *entry, reason string, effects *Effects) {
	for _, r := range slices.Clone(x.acceptedRuns) {
		if r.entry == e {
			r.revoke(revokedAt)
			x.stopRun(now, r, reason, effects)
		}
	}
}

// NextUpdate returns the next update to an entry, and false if the entry is not
// linked. Each end of a run is in one update only.
func (x *Executor) NextUpdate(now time.Duration, name string) (tasklink.Update, bool) {
	e, ok := x.entries[name]
	if !ok || !e.linked {
		return tasklink.Update{}, false
	}
	update := tasklink.Update{Clock: int64(now), LastSeqNum: e.lastSeqNum, Report: x.Report(now), RunEnds: e.pendingEnds}
	if e.released > 0 && update.Report.State == tasklink.StateReady {
		update.Report.State = tasklink.StateDraining
	}
	update.Report.Share, update.Report.Overloaded = x.grantShare(now, e), x.overloadedEntry(now, name)
	e.pendingEnds = nil
	update.Withheld, e.pendingWithheld = e.pendingWithheld, nil
	if reserved := x.tokens.Reserved(); reserved != e.toldToken {
		update.Token, e.toldToken = reserved, reserved
	}
	update.Cancellations, update.CancellationSeqNum = x.NextCancellations(now, name), e.cancellationSeqNum
	update.Crashes, e.crashCursor = x.crashes.Since(now, e.crashCursor, name)
	x.interference.fill(now, name, &update)
	return update, true
}

// Release makes an entry send no more tasks, since the agent wants to close its link.
func (x *Executor) Release(now time.Duration, name string) Effects {
	var effects Effects
	if e, ok := x.entries[name]; ok && e.released == 0 {
		e.released = max(now, e.lastEcho+1) // An echo from before the release must not count.
		x.removeFromShares(e)
		effects.notify(name)
	}
	return effects
}

// Retain reverts Release.
func (x *Executor) Retain(name string) Effects {
	var effects Effects
	if e, ok := x.entries[name]; ok && e.released > 0 {
		e.released = 0
		x.addToShares(e)
		effects.notify(name)
	}
	return effects
}

// Released reports whether the link to an entry can be closed: the entry knows that it
// was released, and all of its runs have ended and were reported.
func (x *Executor) Released(name string) bool {
	e, ok := x.entries[name]
	return !ok || !e.linked || e.released > 0 && e.lastEcho >= e.released && len(e.pendingEnds) == 0 && !x.hasRuns(e)
}

// linkedEntries returns the number of linked entries that may send tasks.
func (x *Executor) linkedEntries() int {
	n := 0
	for _, e := range x.entries {
		if e.linked && e.released == 0 {
			n++
		}
	}
	return n
}
