package executor

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// A withheldEnd is the end of a run that its entry is told later. The entry would start the task
// elsewhere, while the next incarnation of the server may carry out a delayed start of this run.
type withheldEnd struct {
	end   tasklink.RunEnd
	entry *entry
	// until is when the delayed start can't be carried out any more.
	until time.Duration
}

// withholdsEnd reports whether the entry of a run that has ended must be told later. An incarnation
// of the server that started after the last start request rejects the request, as it has seen a
// higher token. An entry that stops a slow run starts the task again, and one that cancels a job
// answers that it did not run if this is what the agents report.
func (x *Executor) withholdsEnd(now time.Duration, r *run, ending pollenfront.Ending, shownBy Evidence) bool {
	return ending != pollenfront.EndingDone && r.delayedStarts(shownBy) > 0 && r.startIncarnation == x.server.incarnation &&
		now < r.lastStartSent+maxRequestDelay
}

// delayedStarts returns how many start requests for the run may still be carried out. If the server
// knows the run and has accepted none in an answer, one of the open ones was carried out.
func (r *run) delayedStarts(shownBy Evidence) int {
	if !r.startAccepted && (r.reportedAt > 0 || shownBy == EndListed) {
		return r.openStarts - 1
	}
	return r.openStarts
}

// withholdEnd keeps the end of a run until its delayed starts can't be carried out any more. The
// entry is told that it is withheld, since it need not wait for a job that can't go on in time.
func (x *Executor) withholdEnd(r *run, end tasklink.RunEnd, effects *Effects) {
	x.withheldEnds = append(x.withheldEnds, withheldEnd{end: end, entry: r.entry, until: r.lastStartSent + maxRequestDelay})
	if r.entry.linked {
		r.entry.pendingWithheld = append(r.entry.pendingWithheld, end.Run)
		effects.notify(r.entry.Name)
	}
}

// withheldRuns returns the runs of an entry whose ends are withheld.
func (x *Executor) withheldRuns(e *entry) []pollenfront.RunID {
	var runs []pollenfront.RunID
	for i := range x.withheldEnds {
		if w := &x.withheldEnds[i]; w.entry == e {
			runs = append(runs, w.end.Run)
		}
	}
	return runs
}

// releaseEnds reports the withheld ends whose delayed starts can't be carried out any more.
func (x *Executor) releaseEnds(now time.Duration, effects *Effects) {
	x.withheldEnds = slices.DeleteFunc(x.withheldEnds, func(w withheldEnd) bool {
		if x.entries[w.entry.Name] != w.entry {
			return true // The entry was restarted.
		}
		if now < w.until {
			return false
		}
		x.queueEnd(now, w.entry, w.end, effects)
		return true
	})
}
