package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Parameters of refusals.
const (
	// minRetryAfter is the shortest Retry-After time of a refused caller.
	minRetryAfter = 500 * time.Millisecond
	// refusedRetryAfter is the Retry-After time if no better one can be computed.
	refusedRetryAfter = time.Second
)

// infeasibleReason returns why a job is infeasible, or "" if some known server
// could run its tasks.
func (s *Scheduler) infeasibleReason(j *job) pollenfront.Reason {
	if j.TaskCount == 0 {
		return ""
	}
	found := false
	for _, a := range s.sortedAgents {
		if a.service != j.Route.Service || a.report.State == tasklink.StateUnavailable {
			continue
		}
		found = true
		if a.report.Capacity.Covers(j.Need) {
			return ""
		}
	}
	if found {
		return pollenfront.ReasonTooLarge
	}
	return pollenfront.ReasonNoServer
}

// admit refuses a job that was not placed on arrival if the jobs ahead of it in the
// queue are expected to delay it beyond its latest start.
func (s *Scheduler) admit(now time.Duration, j *job, effects *Effects) {
	if s.fair != nil || j.toPlace == 0 || j.sentAny || j.canceled || s.warmingUp(now) {
		return
	}
	if delay := s.queueDelay(now, s.pool(j), j); now+delay > j.latestStart {
		s.refuseForDelay(now, j, delay, effects)
	}
}

// describeLoad returns the figures that explain a refusal for overload.
func (s *Scheduler) describeLoad(now time.Duration) string {
	free, oldest, usable := 0, time.Duration(0), 0
	for _, a := range s.sortedAgents {
		if !s.usable(now, a) {
			continue
		}
		usable++
		free += max(0, a.report.Free.CPU)
		oldest = max(oldest, now-a.lastUpdate)
	}
	return fmt.Sprintf("%d of %d servers usable, %d thousandths of a core free on them, %d jobs waiting, reports up to %v old",
		usable, len(s.sortedAgents), free, len(s.queue), oldest.Round(time.Millisecond))
}

// queueDelay returns the time in which this entry's share of the servers of a pool would
// complete the queued jobs ahead of the given job, or all queued jobs if it is nil. If no
// server of the pool is usable, queueDelay returns refusedRetryAfter.
func (s *Scheduler) queueDelay(now time.Duration, p pool, before *job) time.Duration {
	capacity := s.poolCapacity(now, p)
	if capacity == 0 {
		return refusedRetryAfter
	}
	work := 0.0
	for _, queued := range s.queue {
		if queued == before {
			break
		}
		if s.pool(queued) != p {
			continue
		}
		work += queued.work()
	}
	return time.Duration(work / capacity)
}

// effectiveCapacity returns this entry's share of the CPU of an agent's server, in
// thousandths of a core of a server of slowness 1. A server that is twice as slow counts
// half. The share is the one that the agent has stated. Without one, the entries that share
// the server have equal shares.
func (a *agent) effectiveCapacity() float64 {
	if a.share > 0 {
		return float64(a.share) / a.boundedSlowness()
	}
	return float64(a.providedCPU()) / a.boundedSlowness() / float64(max(1, a.report.EntryCount))
}

// minSlowness limits the reported slowness when capacity is weighted by it, as a report may
// state zero.
const minSlowness = 0.1

// boundedSlowness returns the reported slowness, or minSlowness if that is larger.
func (a *agent) boundedSlowness() float64 {
	return max(a.report.Slowness, minSlowness)
}

// poolCapacity returns this entry's share of the effective capacity of the usable servers
// of a pool.
func (s *Scheduler) poolCapacity(now time.Duration, p pool) float64 {
	capacity := 0.0
	for _, a := range s.sortedAgents {
		if p.contains(a) && s.usable(now, a) {
			capacity += a.effectiveCapacity()
		}
	}
	return capacity
}

// shedOverdue refuses the overdue jobs: those whose latest start has passed and of
// which no task was sent. During the warm-up, it keeps them as long as a late answer may
// still be of use, since servers may link meanwhile.
func (s *Scheduler) shedOverdue(now time.Duration, effects *Effects) {
	for i := 0; i < len(s.queue); {
		j := s.queue[i]
		if j.latestStart >= now {
			return
		}
		if j.sentAny || s.warmingUp(now) && now+j.expectedRunTime < min(j.expiry, j.deadline) {
			i++
			continue
		}
		s.refuse(now, j, pollenfront.ReasonOverloaded, "the job has waited until it would be late; "+s.describeLoad(now), effects)
	}
}

// shedHopeless refuses the queued jobs that would start too late even if this entry's
// share of the servers did nothing but the jobs ahead of them. More urgent jobs may have
// arrived, or servers been lost, since such a job was admitted.
func (s *Scheduler) shedHopeless(now time.Duration, effects *Effects) {
	if s.warmingUp(now) {
		return
	}
	work, capacities := make(map[pool]float64), make(map[pool]float64)
	for _, j := range slices.Clone(s.queue) {
		p := s.pool(j)
		if _, ok := capacities[p]; !ok {
			capacities[p] = s.poolCapacity(now, p)
		}
		if capacities[p] == 0 {
			continue
		}
		if delay := time.Duration(work[p] / capacities[p]); !j.sentAny && now+delay > j.latestStart {
			s.refuseForDelay(now, j, delay, effects)
			continue
		}
		work[p] += j.work()
	}
}

// refuseForDelay refuses a job that would start too late, after delay.
func (s *Scheduler) refuseForDelay(now time.Duration, j *job, delay time.Duration, effects *Effects) {
	detail := fmt.Sprintf("the job would start in %v; %s", delay.Round(time.Millisecond), s.describeLoad(now))
	s.refuse(now, j, pollenfront.ReasonOverloaded, detail, effects)
}

// work returns the CPU time of the tasks of a job that wait to be placed, in thousandths
// of a core times nanoseconds.
func (j *job) work() float64 {
	return float64(j.Need.CPU) * float64(j.toPlace) * float64(j.expectedRunTime)
}
