package scheduler

import "time"

// Parameters of returns.
const (
	// maxRetryAfter bounds the time that a refused caller is told to stay away.
	maxRetryAfter = 20 * time.Second
	// returnShare is the share of the servers that callers who come back may
	// take, beside those that come for the first time.
	returnShare = 0.25
	// unknownReturn is the pause between two that come back while no server
	// has been seen.
	unknownReturn = 20 * time.Millisecond
)

// returns spreads the refused callers of a service over time. All that were
// refused in an outage would otherwise come back at once when it is over, and
// be refused once more.
type returns struct {
	capacity float64       // Of the servers when any was last usable.
	next     time.Duration // Instant from which the next one may come back.
}

// retryAfter returns when the caller of a job of some work may come back, not
// before some time has passed.
func (r *returns) retryAfter(now, earliest time.Duration, work float64) time.Duration {
	at := max(now+earliest, r.next)
	if at > now+maxRetryAfter {
		at = now + earliest // The wave begins anew.
	}
	pause := unknownReturn
	if r.capacity > 0 {
		pause = time.Duration(work / (r.capacity * returnShare))
	}
	r.next = at + pause
	return at - now
}

// retryAfter returns when the caller of a refused job may come back.
func (s *Scheduler) retryAfter(now time.Duration, j *job) time.Duration {
	earliest := max(minRetryAfter, s.drain(now, j.Route.Service, nil))
	return s.returnsTo(j.Route.Service).retryAfter(now, earliest, float64(j.Need.CPU)*float64(j.Count)*float64(j.expected))
}

// returnsTo returns the returns of a service.
func (s *Scheduler) returnsTo(service string) *returns {
	r, ok := s.returns[service]
	if !ok {
		r = &returns{}
		s.returns[service] = r
	}
	return r
}

// learnCapacity notes how much this entry's share of the servers can do, for
// the time in which none of them can be used.
func (s *Scheduler) learnCapacity(now time.Duration) {
	capacities := make(map[string]float64)
	for _, a := range s.order {
		if s.usable(now, a) {
			capacities[a.service] += a.capacity()
		}
	}
	for service, capacity := range capacities {
		if capacity > 0 {
			s.returnsTo(service).capacity = capacity / float64(max(1, len(s.entries)))
		}
	}
}
