package scheduler

import "time"

// Parameters of retry spreading.
const (
	// defaultRetryPause is the pause between the retries of two refused callers
	// as long as no server of the service has been usable.
	defaultRetryPause = 20 * time.Millisecond
	// maxRetryAfter limits how far ahead retries are spread.
	maxRetryAfter = 20 * time.Second
	// retryShare is the share of the servers' capacity that retries may use. The
	// rest is for new jobs.
	retryShare = 0.25
)

// A retrySpreader spaces the Retry-After times of a service's refused callers.
// Otherwise all callers refused during an outage would retry at the same time
// when it ends, and be refused again.
type retrySpreader struct {
	// capacity is this entry's share of the servers' effective capacity when any
	// of them was last usable.
	capacity float64
	// next is the earliest time for the retry of the next refused caller.
	next time.Duration
}

// retryAfter returns the time after which the caller of a refused job may retry,
// at least earliest. work is the job's CPU time, in thousandths of a core times
// nanoseconds.
func (r *retrySpreader) retryAfter(now, earliest time.Duration, work float64) time.Duration {
	at := max(now+earliest, r.next)
	if at > now+maxRetryAfter {
		at = now + earliest // Start over at the limit.
	}
	pause := defaultRetryPause
	if r.capacity > 0 {
		pause = time.Duration(work / (r.capacity * retryShare))
	}
	r.next = at + pause
	return at - now
}

// retryAfter returns the time after which the caller of a refused job may retry. It
// is no shorter than the time in which the queue is expected to empty.
func (s *Scheduler) retryAfter(now time.Duration, j *job) time.Duration {
	delay := max(1, s.strictness(now, j)) * float64(s.queueDelay(now, s.pool(j), nil))
	earliest := max(minRetryAfter, time.Duration(delay))
	return s.retrySpreader(j.Route.Service).retryAfter(now, earliest, float64(j.Need.CPU)*float64(j.TaskCount)*float64(j.expectedRunTime))
}

// retrySpreader returns the retrySpreader of a service, and creates it if there is
// none yet.
func (s *Scheduler) retrySpreader(service string) *retrySpreader {
	r, ok := s.retrySpreaders[service]
	if !ok {
		r = &retrySpreader{}
		s.retrySpreaders[service] = r
	}
	return r
}

// recordCapacity records this entry's share of each service's effective capacity.
// A service without usable servers keeps its last record, so that retries can be
// spread during an outage.
func (s *Scheduler) recordCapacity(now time.Duration) {
	capacities := make(map[string]float64)
	for _, a := range s.sortedAgents {
		if s.usable(now, a) {
			capacities[a.service] += a.effectiveCapacity()
		}
	}
	for service, capacity := range capacities {
		if capacity > 0 {
			s.retrySpreader(service).capacity = capacity
		}
	}
}
