package executor

import (
	"errors"
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

// detectCrash records that the server's process has ended if err, the error of a
// request, shows it. Each incarnation has one crash at most.
func (x *Executor) detectCrash(now time.Duration, err error, effects *Effects) {
	if errors.Is(err, pollenfront.ErrUnreachable) && x.server.announced {
		x.recordCrash(now, effects)
	}
}

// recordCrash adds the crash of the server's current incarnation to the effects, unless
// it was recorded before.
func (x *Executor) recordCrash(now time.Duration, effects *Effects) {
	s := &x.server
	if s.crashed {
		return
	}
	s.crashed = true
	crashedAt := now
	if s.failingSince > 0 {
		crashedAt = s.failingSince
	}
	crash := ServerCrash{Incarnation: s.incarnation}
	for _, r := range x.acceptedRuns {
		if r.state != queued && !r.crashed {
			r.crashed = true
			crash.Runs = append(crash.Runs, CrashedRun{Age: crashedAt - r.lastStartSent, Entry: r.entry.Name, Run: r.id, Started: r.started})
		}
	}
	effects.Crashes = append(effects.Crashes, crash)
}
