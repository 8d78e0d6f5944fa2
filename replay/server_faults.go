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

// drainTime is how long a server that is replaced goes on after its announcement.
const drainTime = 2 * time.Second

// ReplaceServer replaces a server as planned: it announces that it drains, tells its agent
// after drainTime that it shuts down, and its successor starts after a delay.
func (f *Fleet) ReplaceServer(at time.Duration, agent int, down time.Duration) {
	f.replaceServer(at, agent, 0, 0, down)
}

// ReplaceLingeringServer replaces a server like ReplaceServer, but the answer to its notice is
// lost, so that it goes on for some time after the notice.
func (f *Fleet) ReplaceLingeringServer(at time.Duration, agent int, linger, down time.Duration) {
	f.replaceServer(at, agent, 0, linger, down)
}

// ReplaceServerDelayNotice replaces a server like ReplaceServer, but its notice arrives late,
// possibly after the start of its successor.
func (f *Fleet) ReplaceServerDelayNotice(at time.Duration, agent int, noticeDelay, down time.Duration) {
	f.replaceServer(at, agent, noticeDelay, 0, down)
}

// replaceServer replaces a server as planned. Its notice that it shuts down arrives
// noticeDelay after it was sent, and its process ends linger after that time.
func (f *Fleet) replaceServer(at time.Duration, agent int, noticeDelay, linger, down time.Duration) {
	f.scheduleAt(at, func() {
		s := f.agents[agent].server
		s.draining = true
		s.announce()
		lifetime := s.lifetime
		f.schedule(drainTime, func() {
			if s.lifetime != lifetime {
				s.draining = false
				return // It has crashed meanwhile.
			}
			s.leaving = linger > 0
			f.afterDelay(noticeDelay, s.deregister)
			f.afterDelay(linger, func() {
				s.draining, s.leaving = false, false
				if s.lifetime == lifetime {
					s.endProcess(down)
				}
			})
		})
	})
}

// afterDelay calls do after a delay, and at once if there is none.
func (f *Fleet) afterDelay(d time.Duration, do func()) {
	if d == 0 {
		do()
		return
	}
	f.schedule(d, do)
}

// refusesConnections reports whether nothing listens at the server's address.
func (s *serverNode) refusesConnections() bool {
	return s.refusing || s.listenerClosed > 0
}

// CloseListener makes a server refuse connections for some time, while its runs and the
// requests that it has received go on.
func (f *Fleet) CloseListener(at time.Duration, agent int, d time.Duration) {
	f.scheduleAt(at, func() {
		s := f.agents[agent].server
		s.listenerClosed++
		f.schedule(d, func() { s.listenerClosed-- })
	})
}

// A RequestKind is a kind of request to a server.
type RequestKind int

// Kinds of requests.
const (
	Starts RequestKind = iota
	Stops
	Renewals
)

// HoldRequests delays all requests of a kind that are sent to a server from at on, for some
// time. They are carried out at the time until, possibly by the next incarnation of the
// server, and get no response.
func (f *Fleet) HoldRequests(at time.Duration, agent int, kind RequestKind, d, until time.Duration) {
	f.scheduleAt(at, func() {
		s := f.agents[agent].server
		s.heldUntil[kind] = until + startTime
		f.schedule(d, func() { delete(s.heldUntil, kind) })
	})
}

// ResetConnections resets the connection on which a server holds a renewal. The server goes on.
func (f *Fleet) ResetConnections(at time.Duration, agent int) {
	f.scheduleAt(at, func() {
		if abortRenewal := f.agents[agent].server.abortRenewal; abortRenewal != nil {
			abortRenewal()
		}
	})
}

// ForgeAnnouncement makes another writer announce an incarnation of a server that started
// later than the current one by a time, or earlier if that is negative. The server knows
// nothing of it.
func (f *Fleet) ForgeAnnouncement(at time.Duration, agent int, later time.Duration) {
	f.scheduleAt(at, func() {
		a := f.agents[agent]
		announcement := a.newAnnouncement()
		announcement.Clock += time.Hour
		announcement.Incarnation = uint64(int64(announcement.Incarnation) + later.Milliseconds()) //nolint:gosec // Not negative.
		announcement.SeqNum = 1
		a.handleEvent(a.generation, func() { a.receiveAnnouncement(announcement) })
	})
}

// DelayAnnouncement makes an announcement of a server arrive late, possibly after the start of
// the next incarnation. It does nothing if the server is down.
func (f *Fleet) DelayAnnouncement(at time.Duration, agent int, delay time.Duration) {
	f.scheduleAt(at, func() {
		a := f.agents[agent]
		if a.server.isDown() {
			return
		}
		announcement := a.newAnnouncement()
		f.schedule(delay, func() { a.handleEvent(a.generation, func() { a.receiveAnnouncement(announcement) }) })
	})
}

// StepTimeOfDay sets the time of day of a server ahead, or back if step is negative. It shows
// at the next start.
func (f *Fleet) StepTimeOfDay(at time.Duration, agent int, step time.Duration) {
	f.scheduleAt(at, func() { f.agents[agent].server.timeOfDayStep += step })
}

// StepAgentTimeOfDay sets the time of day of an agent's machine ahead, or back if step is negative.
// It shows when the agent starts.
func (f *Fleet) StepAgentTimeOfDay(at time.Duration, agent int, step time.Duration) {
	f.scheduleAt(at, func() { f.agents[agent].timeOfDayStep += step })
}

// maxAnswerDelay is the longest delay of a late response.
const maxAnswerDelay = 200 * time.Millisecond

// drawAnswerDelay draws how late a response arrives.
func (s *serverNode) drawAnswerDelay() time.Duration {
	if s.delayingAnswers == 0 {
		return 0
	}
	return time.Duration(s.fleet.random.Int64N(int64(maxAnswerDelay)))
}

// DelayAnswers makes each response of a server arrive up to maxAnswerDelay late for some time,
// so that responses overtake each other.
func (f *Fleet) DelayAnswers(at time.Duration, agent int, d time.Duration) {
	f.scheduleAt(at, func() {
		s := f.agents[agent].server
		s.delayingAnswers++
		f.schedule(d, func() { s.delayingAnswers-- })
	})
}
