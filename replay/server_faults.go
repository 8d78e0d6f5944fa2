package replay

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

// Shortest and longest delay of the timers of a slow agent.
const (
	minTickDelay = 100 * time.Millisecond
	maxTickDelay = 500 * time.Millisecond
)

// receiveStop carries out a request to stop a run, unless it gets lost.
func (s *serverNode) receiveStop(run pollenfront.RunID, token uint64) error {
	if s.losingStops > 0 {
		return errNoResponse
	}
	return s.stop(run, token)
}

// drawTickDelay draws how late the timers of the executor run.
func (a *agentNode) drawTickDelay() time.Duration {
	if a.slowTicks == 0 {
		return 0
	}
	return minTickDelay + time.Duration(a.fleet.random.Int64N(int64(maxTickDelay-minTickDelay)))
}

// LoseStops makes all requests to stop runs on a server get lost for some time. Other
// requests are carried out.
func (f *Fleet) LoseStops(at time.Duration, agent int, d time.Duration) {
	f.scheduleAt(at, func() {
		s := f.agents[agent].server
		s.losingStops++
		f.schedule(d, func() { s.losingStops-- })
	})
}

// SlowAgent makes the timers of an agent run late for some time. The agent handles messages
// and sends renewals in time.
func (f *Fleet) SlowAgent(at time.Duration, agent int, d time.Duration) {
	f.scheduleAt(at, func() {
		a := f.agents[agent]
		a.slowTicks++
		f.schedule(d, func() { a.slowTicks-- })
	})
}
