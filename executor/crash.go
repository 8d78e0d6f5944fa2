package executor

import (
	"errors"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// A ServerCrash is the end of an incarnation of the server that the server did not
// give notice of.
type ServerCrash struct {
	// Incarnation is the incarnation that has ended.
	Incarnation uint64
	// Runs lists the runs that it may have taken along, in the order of acceptance.
	Runs []CrashedRun
}

// A CrashedRun is a run that may have been on the server when it crashed.
type CrashedRun struct {
	// Age is the time from the newest start request for the run to the first sign of
	// the crash.
	Age   time.Duration
	Entry string
	Run   pollenfront.RunID
	// Started is whether the server is known to have started the run.
	Started bool
}

// detectCrash records that the server's process has most likely ended if err, the error of a
// renewal that was sent at the given time, shows it. An earlier renewal may have been refused
// before this incarnation of the server was up. The process may also have closed its listener
// and its connections, or something between may reject them. So its runs end with the lease,
// which is no longer extended.
func (x *Executor) detectCrash(now, sent time.Duration, err error, effects *Effects) {
	s := &x.server
	if !errors.Is(err, pollenfront.ErrUnreachable) || s.incarnation == 0 || sent <= s.seenAt || s.crashed {
		return
	}
	x.tokens.Advance() // The first request to the next incarnation must fence the delayed ones to this one.
	if s.announced {
		x.recordCrash(now, effects)
	}
	s.crashed, s.crashedAt = true, now // Without a crash if the server gave notice.
}

// endCrashedRuns ends the runs that were on the former incarnation of the server. These are
// the ones whose last start was answered before the time of the evidence, at which that process was
// still up, or has ended before. A run with a start request that may still be carried out
// is kept, since the next incarnation may get the request.
func (x *Executor) endCrashedRuns(now time.Duration, shownBy proof, effects *Effects) {
	for _, r := range slices.Clone(x.acceptedRuns) {
		if r.state != queued && r.openStarts == 0 && r.startAnswered < shownBy.asOf {
			x.endRun(now, r, pollenfront.EndingLost, shownBy, "the server crashed", effects)
		}
	}
}

// recordCrash adds the crash of the server's current incarnation to the effects, unless
// it was recorded before.
func (x *Executor) recordCrash(now time.Duration, effects *Effects) {
	s := &x.server
	if s.crashed {
		return
	}
	s.crashed, s.crashedAt = true, now
	crashedAt := now
	if s.failingSince > 0 {
		crashedAt = s.failingSince
	}
	crash := ServerCrash{Incarnation: s.incarnation}
	record := pollenfront.Crash{Process: pollenfront.Process{Incarnation: s.incarnation, Kind: pollenfront.ProcessServer, Name: x.name}, Reporter: x.name}
	for _, r := range x.acceptedRuns {
		age := crashedAt - r.lastStartSent
		if r.state == queued || r.crashed || age < 0 {
			continue
		}
		r.crashed = true
		crash.Runs = append(crash.Runs, CrashedRun{Age: age, Entry: r.entry.Name, Run: r.id, Started: r.started})
		record.Tasks = append(record.Tasks, pollenfront.CrashedTask{Age: age, Route: r.route, Started: r.started, Task: r.id.TaskID})
	}
	if x.crashes.Add(now, record, "") {
		x.notifyAll(effects)
	}
	effects.Crashes = append(effects.Crashes, crash)
}
