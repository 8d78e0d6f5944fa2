package replay

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

// Times that a server takes to end a run.
const (
	slowStopTime = 50 * time.Millisecond // slowStopTime is the longest time that the protocol allows.
	stopTime     = 10 * time.Millisecond
)

// Parameters of the servers' clocks.
const (
	bootTime       = time.Millisecond // bootTime is the reading of the clock when the server announces itself for the first time.
	firstTimeOfDay = time.Hour        // firstTimeOfDay is the time of day at the start of a simulation.
	initialUptime  = time.Minute      // initialUptime is how long servers have been up at the start of a simulation.
	maxLease       = time.Second      // maxLease is the longest lease that a server grants.
)

// isDown reports whether the server carries out no requests.
func (s *serverNode) isDown() bool {
	return s.unavailable || s.refusing
}

// clock returns the reading of the server's clock, which starts anew with each incarnation.
func (s *serverNode) clock() time.Duration {
	return time.Duration(float64(s.fleet.now-s.bootedAt) * s.clockRate)
}

// boot starts the current incarnation. It states its time of day, and so differs from the
// former one.
func (s *serverNode) boot() {
	former := s.incarnation
	s.bootedAt = s.fleet.now - bootTime
	s.incarnation = uint64((firstTimeOfDay + s.fleet.now + s.timeOfDayStep) / time.Millisecond) //nolint:gosec // Not negative.
	if s.incarnation == former {
		s.incarnation++
	}
}

// restart starts the server after a crash, unless it has crashed again. It reports whether the
// server is up.
func (s *serverNode) restart(lifetime int) bool {
	if s.lifetime != lifetime {
		return false
	}
	s.unavailable, s.refusing = false, false
	s.boot()
	return true
}

// receives reports whether a request that was sent during a lifetime of the server is carried
// out now.
func (s *serverNode) receives(sent int) bool {
	return !s.isDown() && (s.lifetime == sent || !s.fleet.settings.DropDelayedRequests)
}

// endSlowly ends a run after some time, or after slowStopTime if the fleet has slow stops. It stays
// in the list of running runs until then.
func (s *serverNode) endSlowly(r *serverRun, d time.Duration, ending pollenfront.Ending) {
	if s.fleet.settings.SlowStops {
		d = slowStopTime
	}
	s.fleet.afterDelay(d, func() { s.endRun(r, ending) })
}

// expireRuns ends all runs when their lease has expired.
func (s *serverNode) expireRuns() {
	for _, r := range s.runsByStart() {
		s.endSlowly(r, 0, pollenfront.EndingLost)
	}
}
