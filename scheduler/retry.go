package scheduler

import "time"

// Parameters of returns.
const (
	// maxRetryAfter bounds the time that a refused caller is told to stay away.
	maxRetryAfter = 20 * time.Second
	// retryShare is the share of the servers that callers who come back may
	// take, beside those that come for the first time.
	retryShare = 0.25
	// defaultRetryPause is the pause between two that come back while no server
	// has been seen.
	defaultRetryPause = 20 * time.Millisecond
)

// retrySpreader spreads the refused callers of a service over time. All that were
// refused in an outage would otherwise come back at once when it is over, and
// be refused once more.
type retrySpreader struct {
	capacity float64       // Of the servers when any was last usable.
	next     time.Duration // Instant from which the next one may come back.
}

// retryAfter returns when the caller of a job of some work may come back, not
// before some time has passed.
func (r *retrySpreader) retryAfter(now, earliest time.Duration, work float64) time.Duration {
	at := max(now+earliest, r.next)
	if at > now+maxRetryAfter {
		at = now + earliest // The wave begins anew.
	}
	pause := defaultRetryPause
	if r.capacity > 0 {
		pause = time.Duration(work / (r.capacity * retryShare))
	}
	r.next = at + pause
	return at - now
}

// retryAfter returns when the caller of a refused job may come back.
func (s *Scheduler) retryAfter(now time.Duration, j *job) time.Duration {
	earliest := max(minRetryAfter, s.queueDelay(now, j.Route.Service, nil))
	return s.retrySpreader(j.Route.Service).retryAfter(now, earliest, float64(j.Need.CPU)*float64(j.Count)*float64(j.expectedRun))
}

// retrySpreader returns the returns of a service.
func (s *Scheduler) retrySpreader(service string) *retrySpreader {
	r, ok := s.retrySpreaders[service]
	if !ok {
		r = &retrySpreader{}
		s.retrySpreaders[service] = r
	}
	return r
}

// recordCapacity notes how much this entry's share of the servers can do, for
// the time in which none of them can be used.
func (s *Scheduler) recordCapacity(now time.Duration) {
	capacities := make(map[string]float64)
	for _, a := range s.sortedAgents {
		if s.usable(now, a) {
			capacities[a.service] += a.effectiveCapacity()
		}
	}
	for service, capacity := range capacities {
		if capacity > 0 {
			s.retrySpreader(service).capacity = capacity / float64(max(1, len(s.entries)))
		}
	}
}
