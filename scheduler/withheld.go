package scheduler

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

// minWithheldWait is the time that the caller of a job must have left to wait for the end of a run
// that the agent withholds. Most ends are reported by then.
const minWithheldWait = 8 * time.Second

// handleWithheld handles the news that an agent withholds the end of a run. The task must not be
// started again before it is reported. A caller that does not wait for so long is answered at once.
func (s *Scheduler) handleWithheld(now time.Duration, a *agent, run pollenfront.RunID, effects *Effects) {
	t, ok := a.tasks[run]
	if !ok {
		return
	}
	t.endWithheld = true
	if now+minWithheldWait < t.job.deadline {
		return
	}
	t.job.answer(pollenfront.VerdictUnknown, pollenfront.ReasonEarlierRunsEnding, "", 0, effects)
	s.cancelJob(now, t.job, pollenfront.ReasonEarlierRunsEnding, effects)
}
