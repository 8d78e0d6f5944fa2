package executor

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront/tasklink"
)

// An entry is an entry that has linked to the agent.
type entry struct {
	EntryRef

	ends       []tasklink.RunEnd // Not sent yet.
	echo       time.Duration     // The newest instant at which the entry is known to have heard the agent.
	lastNumber uint64
	linked     bool
	past       []pastEnd
	silent     bool
}

// entrySilent is why the runs of a silent entry end.
const entrySilent = "its entry is silent"

// lost reports whether an entry has been silent for so long that its runs end.
func (e *entry) lost(now time.Duration) bool {
	return now-e.echo > EntrySilenceTimeout
}

// A pastEnd is an ending that is kept for a while.
type pastEnd struct {
	at  time.Duration
	end tasklink.RunEnd
}

// LinkEntry notes that an entry has linked, and returns the runs of it that
// the agent knows.
func (x *Executor) LinkEntry(now time.Duration, ref EntryRef) ([]tasklink.RunState, Effects) {
	var fx Effects
	e, ok := x.entries[ref.Name]
	switch {
	case ok && e.Incarnation != ref.Incarnation:
		x.endAll(now, e, "its entry was restarted", &fx)
		ok = false
	case ok && e.lost(now):
		x.endAll(now, e, entrySilent, &fx)
	}
	if !ok {
		e = &entry{EntryRef: ref}
		x.entries[ref.Name] = e
	}
	e.echo, e.lastNumber, e.linked, e.silent, e.ends = now, 0, true, false, nil
	return x.states(e), fx
}

// UnlinkEntry notes that the link to an entry is lost. Its runs go on until
// the entry has been silent for EntrySilenceTimeout.
func (x *Executor) UnlinkEntry(ref EntryRef) {
	if e, ok := x.entries[ref.Name]; ok && e.EntryRef == ref {
		e.linked = false
	}
}

// states returns the runs of an entry that the agent knows.
func (x *Executor) states(e *entry) []tasklink.RunState {
	var states []tasklink.RunState
	for _, r := range x.order {
		if r.entry == e {
			states = append(states, tasklink.RunState{Run: r.id})
		}
	}
	for _, p := range e.past {
		states = append(states, tasklink.RunState{Run: p.end.Run, Ending: p.end.Ending, Reason: p.end.Reason})
	}
	return states
}

// tell reports an ending to an entry.
func (x *Executor) tell(now time.Duration, e *entry, end tasklink.RunEnd, fx *Effects) {
	e.past = append(e.past, pastEnd{at: now, end: end})
	fx.Ended = append(fx.Ended, EndedRun{RunEnd: end, Entry: e.Name, Reported: e.linked})
	if e.linked {
		e.ends = append(e.ends, end)
		fx.notify(e.Name)
	}
}

// owns reports whether an entry has a run here.
func (x *Executor) owns(e *entry) bool {
	for _, r := range x.order {
		if r.entry == e {
			return true
		}
	}
	return false
}

// endAll ends all runs of an entry.
func (x *Executor) endAll(now time.Duration, e *entry, reason string, fx *Effects) {
	for _, r := range slices.Clone(x.order) {
		if r.entry == e {
			x.stop(now, r, reason, fx)
		}
	}
}

// Update returns what an entry must be told.
func (x *Executor) Update(now time.Duration, name string) (tasklink.Update, bool) {
	e, ok := x.entries[name]
	if !ok || !e.linked {
		return tasklink.Update{}, false
	}
	u := tasklink.Update{Clock: int64(now), LastSeqNum: e.lastNumber, Report: x.Report(now), RunEnds: e.ends}
	e.ends = nil
	return u, true
}
