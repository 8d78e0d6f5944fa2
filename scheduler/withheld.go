package scheduler

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

// withheldTime is how long agents withhold the end of a run, less the time that it may have lasted.
const withheldTime = 8 * time.Second

// abandonWithheld answers the job of a run whose end is withheld, unless it can wait until the
// agent reports the end. The task must not be started again before, and the caller may do
// something better than wait.
func (s *Scheduler) abandonWithheld(now time.Duration, a *agent, run pollenfront.RunID, effects *Effects) {
	t, ok := a.tasks[run]
	if !ok || now+withheldTime < t.job.deadline {
		return
	}
	t.job.answer(pollenfront.VerdictUnknown, pollenfront.ReasonEarlierRunsEnding, "", 0, effects)
	s.cancelJob(now, t.job, pollenfront.ReasonEarlierRunsEnding, effects)
}
