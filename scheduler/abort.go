package scheduler

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

// detectSuspension records the time of an event. If the process was suspended
// before it, it aborts all jobs, whose callers have switched to other entries,
// and starts another warm-up. Submit, Cancel, Tick, LinkAgent and HandleUpdate call it
// before anything else, so that no task is placed for a caller that has left.
func (s *Scheduler) detectSuspension(now time.Duration, effects *Effects) {
	if s.lastEvent > 0 && now-s.lastEvent > suspensionLimit {
		s.abortJobs(now, pollenfront.ReasonSuspended, effects)
		s.warmUpStart = now // The known state of the servers is outdated.
	}
	s.lastEvent = now
}

// AbortAll aborts all jobs for the given reason. A job of which a task was sent
// gets VerdictUnknown at once, any other is refused.
func (s *Scheduler) AbortAll(now time.Duration, reason pollenfront.Reason) *Effects {
	effects := &Effects{}
	s.abortJobs(now, reason, effects)
	return effects
}

// abortJobs implements AbortAll.
func (s *Scheduler) abortJobs(now time.Duration, reason pollenfront.Reason, effects *Effects) {
	for _, j := range s.sortedJobs() {
		if j.sentAny {
			j.answer(pollenfront.VerdictUnknown, reason, "", 0, effects)
		}
		s.cancelJob(now, j, reason, effects)
	}
}
