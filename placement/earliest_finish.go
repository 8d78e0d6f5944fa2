// Package placement chooses the backend servers for tasks.
//
// The choice takes into account that servers differ in speed, that a burst of
// tasks may find only slow servers free, and that servers which fail or hang must
// not get tasks while another server can run them.
//
// # Usage
//
//	i := placement.EarliestFinish{}.Choose(task, servers)
package placement

import (
	"math"
	"time"

	"github.com/pollenfront/pollenfront"
)

// latePenalty is added to the score of a server on which the job would be late.
const latePenalty = time.Second

// EarliestFinish is a Chooser that prefers the server with the earliest expected
// finish of the task, after penalties. The task waits in these cases:
//
//   - No server has free resources for it.
//   - The chosen server would finish it late, while another one, which is busy
//     now, could still finish it on time. This case no longer applies once the
//     job's latest start has passed.
//   - The chosen server would finish it so late that the answer is of no use,
//     and no task of the job was sent yet.
type EarliestFinish struct{}

var _ pollenfront.Chooser = EarliestFinish{}

// Choose implements pollenfront.Chooser.
func (EarliestFinish) Choose(task pollenfront.TaskTiming, servers []pollenfront.ServerCandidate) int {
	best, bestScore, minTimeToFinish := -1, time.Duration(0), time.Duration(math.MaxInt64)
	for i := range servers {
		s := &servers[i]
		minTimeToFinish = min(minTimeToFinish, s.TimeToFinish)
		if !s.CanStart {
			continue
		}
		score := s.TimeToFinish + s.Penalty
		if s.TimeToFinish > task.UntilDue {
			score += latePenalty
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return -1
	}
	timeToFinish := servers[best].TimeToFinish
	otherOnTime := timeToFinish > task.UntilDue && minTimeToFinish <= task.UntilDue && !task.PastLatestStart
	useless := timeToFinish > task.UntilExpiry && !task.JobStarted
	if otherOnTime || useless {
		return -1
	}
	return best
}
