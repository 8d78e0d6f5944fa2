package replay

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

// Limits on the starts of a task that crashes the servers that start it.
const (
	// crashLimit is the number of crashed servers after which the starts of a task are
	// counted.
	crashLimit = 3
	// maxStartsAfterCrashes is the number of further starts that is not a violation.
	maxStartsAfterCrashes = 2
)

// defaultCrashDuration is how long a server is down after a task has crashed it.
const defaultCrashDuration = 3 * time.Second

// A crashCount counts the servers that have crashed under a task.
type crashCount struct {
	crashes     int
	startsAfter int // startsAfter is the number of starts since crashLimit was reached.
}

// recordStart records a violation if a task is started again and again although servers
// have crashed under it.
func (s *serverNode) recordStart(id pollenfront.TaskID) {
	count := s.fleet.crashCounts[id]
	if count == nil || count.crashes < crashLimit {
		return
	}
	count.startsAfter++
	if count.startsAfter > maxStartsAfterCrashes {
		s.fleet.recordViolation("task %v was started %d times more after %d servers had crashed under it", id, count.startsAfter, crashLimit)
	}
}

// crashUnder ends the server's process because of a run, unless the run has ended.
func (s *serverNode) crashUnder(r *serverRun) {
	if r.ended {
		return
	}
	f := s.fleet
	count := f.crashCounts[r.id.TaskID]
	if count == nil {
		count = &crashCount{}
		f.crashCounts[r.id.TaskID] = count
	}
	count.crashes++
	f.result.Crashes++
	f.result.MaxCrashes = max(f.result.MaxCrashes, count.crashes)
	s.endProcess(defaultCrashDuration)
}

// endProcess ends the server's process, so that open connections break and new ones are
// refused, and starts it again after a time.
func (s *serverNode) endProcess(down time.Duration) {
	s.endProcessUntil(down, s.announce)
}

// endProcessUntil is endProcess, and calls restarted when the next incarnation is up.
func (s *serverNode) endProcessUntil(down time.Duration, restarted func()) {
	abortRenewal := s.abortRenewal
	s.crash()
	s.refusing = true
	lifetime := s.lifetime
	if abortRenewal != nil {
		abortRenewal()
	}
	s.fleet.schedule(down, func() {
		if s.restart(lifetime) {
			restarted()
		}
	})
}

// CrashServerProcess ends the process of a server, but not its machine, so that
// connections to it are refused. It is started again after a time.
func (f *Fleet) CrashServerProcess(at time.Duration, agent int, down time.Duration) {
	f.scheduleAt(at, func() { f.agents[agent].server.endProcess(down) })
}

// CrashServerProcessUnannounced is CrashServerProcess, but the next incarnation announces itself
// at the next regular time only.
func (f *Fleet) CrashServerProcessUnannounced(at time.Duration, agent int, down time.Duration) {
	f.scheduleAt(at, func() { f.agents[agent].server.endProcessUntil(down, func() {}) })
}
