package scheduler

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

// abandonWithheld answers the job of a run whose end the agent withholds. The task must not be
// started again for seconds, and the caller may do something better than wait.
func (s *Scheduler) abandonWithheld(now time.Duration, a *agent, run pollenfront.RunID, effects *Effects) {
	t, ok := a.tasks[run]
	if !ok {
		return
	}
	t.job.answer(pollenfront.VerdictUnknown, pollenfront.ReasonEarlierRunsEnding, "", 0, effects)
	s.cancelJob(now, t.job, pollenfront.ReasonEarlierRunsEnding, effects)
}
