package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// jobCanceled is the reason given for the end of a run whose job was canceled.
const jobCanceled = "its job was canceled"

// recordCancellations records the cancellations in the commands of an entry, and stops the runs
// of the canceled jobs, whichever entries have sent them.
func (x *Executor) recordCancellations(now time.Duration, e *entry, commands *tasklink.Commands, effects *Effects) {
	e.cancellationSeqNum = commands.CancellationSeqNum
	for _, c := range commands.Cancellations {
		if x.cancellations.Add(now, c, e.Name) {
			x.revokeJob(now, c.JobRef, effects)
		}
	}
}

// revokeJob stops all runs of a job, which lose the right to run.
func (x *Executor) revokeJob(now time.Duration, job pollenfront.JobRef, effects *Effects) {
	for _, r := range slices.Clone(x.acceptedRuns) {
		if r.id.Job == job.ID && r.routeAddress == job.Route {
			r.revoke(now)
			x.stopRun(now, r, jobCanceled, effects)
		}
	}
}

// notifyOfCancellations adds the entries that don't know of all cancellations to those that need
// an update.
func (x *Executor) notifyOfCancellations(effects *Effects) {
	for _, name := range slices.Sorted(maps.Keys(x.entries)) {
		if e := x.entries[name]; e.linked && x.cancellations.HasNews(e.cancelCursor, name) {
			effects.notify(name)
		}
	}
}

// NextCancellations returns the cancellations that an entry does not know of, for its next update
// or for the hello on a new link to it. Each is returned only once on a link.
func (x *Executor) NextCancellations(now time.Duration, name string) []pollenfront.Cancellation {
	e, ok := x.entries[name]
	if !ok {
		return nil
	}
	var news []pollenfront.Cancellation
	news, e.cancelCursor = x.cancellations.Since(now, e.cancelCursor, name)
	return news
}
