// Package placement chooses the servers of tasks.
//
// It answers these load patterns: several servers of different speeds, a burst
// that finds only slow servers free, and sick servers that must get nothing
// while others will do.
//
// # Usage
//
//	i := placement.EarliestFinish{}.Choose(task, servers)
package placement

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

// lateCost is added to the time on a server that would make the job late.
const lateCost = time.Second

// EarliestFinish chooses the server that is expected to finish a task first, less
// penalties. The task waits if no server has room, or if those that have would
// finish it late and another one, which is busy now, would not. Once the job
// can't be in time any more, a server that finishes it while that is still of
// use will do.
type EarliestFinish struct{}

var _ pollenfront.Chooser = EarliestFinish{}

// Choose implements pollenfront.Chooser.
func (EarliestFinish) Choose(task pollenfront.TaskTiming, servers []pollenfront.ServerCandidate) int {
	best, bestScore, soonest := -1, time.Duration(0), time.Duration(0)
	for i := range servers {
		s := &servers[i]
		if soonest == 0 || s.Cost < soonest {
			soonest = s.Cost
		}
		if !s.Available {
			continue
		}
		score := s.Cost + s.Penalty
		if s.Cost > task.UntilDue {
			score += lateCost
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return -1
	}
	cost := servers[best].Cost
	waits := cost > task.UntilDue && soonest <= task.UntilDue && !task.PastLatestStart
	useless := cost > task.UntilExpiry && !task.JobStarted
	if waits || useless {
		return -1
	}
	return best
}
