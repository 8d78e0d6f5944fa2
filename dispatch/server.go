package dispatch

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// Parameters of how the dispatcher judges servers.
const (
	ejectShare        = 0.5 // Least share of failures that ejects a server.
	ejectSample       = 5   // Least number of failures that ejects a server.
	ejectTimesPeers   = 3.0 // Least ratio of the share to that of all servers.
	failureGain       = 0.1 // Weight of the newest outcome in the share of failures.
	fullPause         = 20 * time.Millisecond
	leastLeft         = 0.2  // Share of the expected run time that an overdue task is taken to need.
	maxEjected        = 0.34 // Greatest share of the servers that is ejected at once.
	maxPauseDoublings = 5
	maxUrgentRoom     = 4
	overdueRatio      = 3.0 // Of the time taken to the time expected, from which a server counts as slower.
	maxProbePause     = time.Minute
	minProbePause     = 5 * time.Second
	probesToReturn    = 3
	rampTime          = 2 * time.Second // From a return until all slots are used.
	probeDiscount     = 4               // Factor by which an untried server is taken for faster, so that it is tried.
	rampFirst         = 0.25            // Share of the slots used right after a return.
	silenceLimit      = 2500 * time.Millisecond
)

// A server is what the dispatcher knows of a backend server.
type server struct {
	pollenfront.Server

	ejectedUntil time.Time // Zero if not ejected.
	failures     int       // Since the last success.
	failureShare float64
	fullUntil    time.Time // No sends until then, after a refusal.
	gone         bool
	load         pollenfront.Load
	ownTasks     []*task // Sent and not ended.
	probePause   time.Duration
	probesPassed int
	rampFrom     time.Time // Instant of the first announcement or of the return of its zone.
	seen         time.Time // Instant of the last message.
	untried      bool      // Has not run enough tasks to be judged.
}

// newServer returns a server that has just announced itself.
func newServer(announced pollenfront.Server, now time.Time) *server {
	return &server{Server: announced, rampFrom: now, seen: now}
}

// report takes in a load report unless a newer one is known.
func (s *server) report(now time.Time, load pollenfront.Load) {
	s.seen = now
	if load.Serial >= s.load.Serial {
		s.load = load
	}
}

// usable reports whether the server can be reckoned with.
func (s *server) usable(now time.Time) bool {
	return !s.gone && now.Sub(s.seen) <= silenceLimit
}

// own returns the number of tasks that were sent and have not ended.
func (s *server) own() int {
	return len(s.ownTasks)
}

// sent records that a task was sent to the server.
func (s *server) sent(t *task) {
	s.ownTasks = append(s.ownTasks, t)
}

// ended records that an attempt ended.
func (s *server) ended(t *task) {
	s.ownTasks = slices.DeleteFunc(s.ownTasks, func(other *task) bool { return other == t })
}

// freeTimes returns the times from now on at which the slots are expected to
// be free, sorted: for a task that overtakes those in the agent's queue, and for
// one that does not. Typical is the run time of an average task on the server.
func (s *server) freeTimes(now time.Time, typical time.Duration) (next, last []time.Duration) {
	ends := make([]time.Duration, 0, len(s.ownTasks)+s.load.Others)
	for _, t := range s.ownTasks {
		run := t.choice.Expected
		left := t.choice.Wait + run - now.Sub(t.sentAt)
		ends = append(ends, max(left, time.Duration(float64(run)*leastLeft)))
	}
	for i := range s.load.Others {
		ends = append(ends, typical*time.Duration(i+1)/time.Duration(s.load.Others+1))
	}
	slices.Sort(ends)
	running := min(len(ends), s.Slots)
	next = make([]time.Duration, s.Slots)
	copy(next[s.Slots-running:], ends[:running])
	last = slices.Clone(next)
	for range len(ends) - running {
		occupy(last, typical)
	}
	return next, last
}

// room returns the number of tasks that may still be sent to the server.
func (s *server) room(now time.Time, depth int) int {
	if now.Before(s.fullUntil) {
		return 0
	}
	if s.ejected() {
		return s.probeRoom(now)
	}
	if s.untried {
		return 1 - s.own()
	}
	allowed := s.Slots + depth
	if ramping := now.Sub(s.rampFrom); ramping < rampTime {
		share := rampFirst + (1-rampFirst)*float64(ramping)/float64(rampTime)
		allowed = max(1, int(float64(s.Slots)*share))
	}
	return allowed - s.own() - s.load.Others
}

// ejected reports whether the server is ejected or on probation.
func (s *server) ejected() bool {
	return !s.ejectedUntil.IsZero()
}

// urgentRoom returns the number of short tasks that may be sent beyond room.
// They overtake the queued tasks of longer kinds at the agent. A server that is
// not trusted gets none.
func (s *server) urgentRoom(now time.Time) int {
	if s.ejected() || s.untried || now.Before(s.fullUntil) || now.Sub(s.rampFrom) < rampTime {
		return 0
	}
	return maxUrgentRoom
}

// overdue returns the factor by which the server takes longer than expected
// for the tasks that it runs now, or 1 if that is not remarkable.
func (s *server) overdue(now time.Time) float64 {
	factor := 1.0
	for _, t := range s.ownTasks {
		expected := t.choice.Wait + t.choice.Expected
		if ratio := float64(now.Sub(t.sentAt)) / float64(max(expected, time.Millisecond)); ratio > overdueRatio {
			factor = max(factor, ratio)
		}
	}
	return factor
}

// onTrial reports whether a task should be sent to the server to learn about it.
func (s *server) onTrial(now time.Time) bool {
	return s.untried || s.ejected() && now.After(s.ejectedUntil)
}

// probeRoom allows one task at a time once the pause is over.
func (s *server) probeRoom(now time.Time) int {
	if now.Before(s.ejectedUntil) {
		return 0
	}
	return 1 - s.own()
}

// succeeded takes in a success.
func (s *server) succeeded() {
	s.failures = 0
	s.failureShare *= 1 - failureGain
	if !s.ejected() {
		return
	}
	s.probesPassed++
	if s.probesPassed >= probesToReturn {
		s.ejectedUntil = time.Time{}
		s.failureShare = 0
		s.probePause = 0
	}
}

// failed takes in a failure. Peers is the share of failures over all servers,
// and mayEject whether another server may be ejected. It reports whether the
// server was ejected by this failure.
func (s *server) failed(now time.Time, peers float64, mayEject bool) bool {
	s.failures++
	s.failureShare += failureGain * (1 - s.failureShare)
	if s.ejected() {
		s.eject(now)
		return false
	}
	sick := s.failures >= ejectSample || s.failureShare >= ejectShare
	if !sick || s.failureShare < ejectTimesPeers*peers || !mayEject {
		return false
	}
	s.eject(now)
	return true
}

// eject stops sends for a pause that doubles each time.
func (s *server) eject(now time.Time) {
	s.probesPassed = 0
	s.probePause = min(maxProbePause, max(minProbePause, 2*s.probePause))
	s.ejectedUntil = now.Add(s.probePause)
}
