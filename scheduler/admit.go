package scheduler

import (
	"fmt"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Parameters of refusals.
const (
	// minRetryAfter is the least time after which a refused caller may come back.
	minRetryAfter = 500 * time.Millisecond
	// refusedRetryAfter is stated where nothing tells a better time.
	refusedRetryAfter = time.Second
)

// infeasibleReason returns why no server could ever run a job, or "".
func (s *Scheduler) infeasibleReason(j *job) pollenfront.Reason {
	if j.Count == 0 {
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

// admit refuses a job that was not placed and whose turn will come too late.
func (s *Scheduler) admit(now time.Duration, j *job, fx *Effects) {
	if j.toPlace == 0 || j.sentAny || j.canceled || s.warmingUp(now) {
		return
	}
	if drain := s.queueDelay(now, j.Route.Service, j); now+drain > j.latestStart {
		detail := fmt.Sprintf("the job would start in %v; %s", drain.Round(time.Millisecond), s.describeLoad(now))
		s.refuse(now, j, pollenfront.ReasonOverloaded, detail, fx)
	}
}

// describeLoad tells in what describeLoad a job was refused.
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

// queueDelay returns the time until this entry's share of a service's servers has
// worked off the jobs that are served before one, or all if it is nil.
func (s *Scheduler) queueDelay(now time.Duration, service string, before *job) time.Duration {
	capacity := s.serviceCapacity(now, service)
	if capacity == 0 {
		return refusedRetryAfter
	}
	work := 0.0
	for _, w := range s.queue {
		if w == before {
			break
		}
		work += float64(w.Need.CPU) * float64(w.toPlace) * float64(w.expectedRun)
	}
	return time.Duration(work * float64(max(1, len(s.entries))) / capacity)
}

// effectiveCapacity returns the work that an agent's server does at once, in thousandths
// of a core of a server of slowness 1.
func (a *agent) effectiveCapacity() float64 {
	return float64(a.report.Capacity.CPU) / max(a.report.Slowness, 0.1)
}

// serviceCapacity returns the work that a service's servers do at once.
func (s *Scheduler) serviceCapacity(now time.Duration, service string) float64 {
	capacity := 0.0
	for _, a := range s.sortedAgents {
		if a.service == service && s.usable(now, a) {
			capacity += a.effectiveCapacity()
		}
	}
	return capacity
}

// shedOverdue refuses the jobs that have waited until they can't be in time.
func (s *Scheduler) shedOverdue(now time.Duration, fx *Effects) {
	for i := 0; i < len(s.queue); {
		j := s.queue[i]
		if j.latestStart >= now {
			return
		}
		if j.sentAny {
			i++
			continue
		}
		s.refuse(now, j, pollenfront.ReasonOverloaded, "the job has waited until it would be late; "+s.describeLoad(now), fx)
	}
}
