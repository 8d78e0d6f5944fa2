package executor

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// A server is what is known of the backend server.
type server struct {
	acknowledged uint64        // Endings that were taken note of.
	answered     time.Duration // When it last answered an order.
	capacity     pollenfront.Resources
	clock        time.Duration // The server's clock less the agent's.
	clockKnown   bool
	doubted      time.Duration // When it last left an order unanswered.
	draining     bool
	incarnation  uint64
	known        bool // Whether it has announced itself in its present incarnation.
	labels       []string
	lapse        time.Duration
	renewed      time.Duration // When the newest answered renewal was sent.
	sequence     uint64
	silent       bool // It does not answer.
	zone         string
}

// HandleAnnouncement takes an announcement of the server. It reports whether the
// announcement was taken: a delayed one is passed over.
func (x *Executor) HandleAnnouncement(now time.Duration, a pollenfront.Announcement) (fx Effects, taken bool) {
	s := &x.server
	if a.Incarnation < s.incarnation || a.Incarnation == s.incarnation && a.Sequence < s.sequence {
		return fx, false
	}
	if a.Incarnation > s.incarnation {
		x.reborn(now, a.Incarnation, &fx)
	}
	before := x.State()
	s.capacity, s.draining, s.known, s.labels, s.sequence, s.zone = a.Capacity, a.Draining, true, a.Labels, a.Sequence, a.Zone
	x.learnClock(now, a.Clock)
	x.startQueued(now, &fx)
	if x.State() != before {
		x.notifyAll(&fx)
	}
	return fx, true
}

// RestoreAnnouncement takes what the server had announced to an earlier incarnation of the
// agent. It holds if the server is still in that incarnation, until it announces
// itself again.
func (x *Executor) RestoreAnnouncement(now time.Duration, a pollenfront.Announcement) Effects {
	x.remembered = a
	return x.recall(now)
}

// recall takes over what is remembered of the server's present incarnation.
func (x *Executor) recall(now time.Duration) Effects {
	if x.server.known || x.remembered.Incarnation == 0 || x.remembered.Incarnation != x.server.incarnation {
		return Effects{}
	}
	fx, _ := x.HandleAnnouncement(now, x.remembered)
	return fx
}

// HandleDeregistration notes that the server has said that it ends.
func (x *Executor) HandleDeregistration(now time.Duration) Effects {
	var fx Effects
	x.loseRuns(now, "the server has left", &fx)
	x.token++
	x.server.known = false
	x.notifyAll(&fx)
	return fx
}

// reborn forgets the server's former incarnation. Orders that were under way may have
// reached either incarnation, so every run is stopped in the new one before its entry
// is told that it has ended.
func (x *Executor) reborn(now time.Duration, incarnation uint64, fx *Effects) {
	former := x.server
	x.server = server{lapse: former.lapse, incarnation: incarnation}
	if former.incarnation == 0 {
		return
	}
	x.token++
	x.measure = newMeasure()
	x.returnQueued(now, "the server was restarted", fx)
	for _, r := range slices.Clone(x.order) {
		r.fenced = 0
		r.began = r.began || r.state != queued // It may have begun in the former incarnation.
		if r.state == stopping {
			x.sendStop(now, r, fx)
			continue
		}
		x.stop(now, r, "the server was restarted", fx)
	}
}

// loseRuns ends all runs, since the server has forgotten them.
func (x *Executor) loseRuns(now time.Duration, reason string, fx *Effects) {
	for _, r := range slices.Clone(x.order) {
		if r.state != queued {
			x.end(now, r, pollenfront.EndingLost, reason, fx)
		}
	}
	x.returnQueued(now, reason, fx)
}

// learnClock takes a reading of the server's clock.
func (x *Executor) learnClock(now, clock time.Duration) {
	if clock > 0 {
		x.server.clock, x.server.clockKnown = clock-now, true
	}
}

// lease returns the instant on the server's clock to which an order of now
// extends the lease.
func (x *Executor) lease(now time.Duration) time.Duration {
	x.server.lapse = max(x.server.lapse, now+time.Duration(float64(Lease)*clockDrift)+lapseMargin)
	return now + x.server.clock + Lease
}

// NextRenewal returns the next order to renew the lease.
func (x *Executor) NextRenewal(now time.Duration) pollenfront.RenewalRequest {
	order := pollenfront.RenewalRequest{
		Acknowledged: x.server.acknowledged, Interval: RenewalWait + renewalMargin, Timeout: RenewalWait + renewalMargin, Token: x.token, Wait: RenewalWait,
	}
	if now-x.server.renewed > acknowledgeTime {
		order.Acknowledged = 0
	}
	if x.inDoubt(now) {
		order.Interval, order.Timeout, order.Wait = doubtWait, doubtWait+renewalMargin, doubtWait
	}
	if x.server.clockKnown {
		order.Lease = x.lease(now)
	}
	return order
}

// inDoubt reports whether the server has left an order unanswered of late.
func (x *Executor) inDoubt(now time.Duration) bool {
	return x.server.doubted > 0 && now-x.server.doubted < doubtTime
}

// HandleRenewal takes the answer to a renewal that was sent at an instant.
func (x *Executor) HandleRenewal(now, sent time.Duration, reply *pollenfront.RenewalResponse) Effects {
	var fx Effects
	if reply.Incarnation < x.server.incarnation || sent < x.server.renewed {
		return fx // A newer answer has overtaken it.
	}
	if reply.Incarnation > x.server.incarnation {
		x.reborn(now, reply.Incarnation, &fx)
	}
	x.learnClock(now, reply.Clock)
	before := x.State()
	x.server.renewed = sent
	x.orderAnswered(now, nil)
	for _, ended := range reply.Ended {
		if ended.SeqNum <= x.server.acknowledged {
			continue
		}
		x.server.acknowledged = ended.SeqNum
		if r, ok := x.runs[ended.Run.TaskID]; ok && r.id == ended.Run && r.state != queued {
			x.end(now, r, ended.Ending, "", &fx)
		}
	}
	x.compare(now, sent, reply.Running, &fx)
	fx.add(x.recall(now))
	x.startQueued(now, &fx)
	if x.State() != before {
		x.notifyAll(&fx)
	}
	return fx
}

// HandleRenewalError notes that the server did not answer a renewal, and why.
func (x *Executor) HandleRenewalError(now time.Duration, err error) Effects {
	var fx Effects
	before := x.server.silent
	x.orderAnswered(now, err)
	if now-x.server.answered >= awayAfterRenewal {
		x.server.silent = true
	}
	if x.server.silent && !before && x.server.known {
		x.startQueued(now, &fx)
		x.notifyAll(&fx)
	}
	return fx
}

// HandleRenewalFenced notes that the server knows a higher fencing token.
func (x *Executor) HandleRenewalFenced() {
	x.token += fenceStep
}

// compare compares what the server runs with what it should run.
func (x *Executor) compare(now, sent time.Duration, listed []pollenfront.RunningRun, fx *Effects) {
	present := make(map[pollenfront.RunID]bool, len(listed))
	x.clean = true
	for _, l := range listed {
		present[l.Run] = true
		r, ok := x.runs[l.Run.TaskID]
		if !ok || r.id != l.Run || r.state == queued {
			x.clean = false
			fx.Stops = append(fx.Stops, StopRequest{Run: l.Run, Token: x.token})
			continue
		}
		if !r.began || r.percent != l.Percent {
			r.progress = now
		}
		r.began, r.percent = true, l.Percent
		if r.state == starting {
			r.state = running
		}
	}
	for _, r := range slices.Clone(x.order) {
		if present[r.id] {
			continue
		}
		switch {
		case r.state == running && r.listed(sent):
			x.end(now, r, pollenfront.EndingLost, "the server does not know it any more", fx)
		case r.state == stopping && r.fenced != 0 && r.fenced < sent:
			x.end(now, r, r.stoppedEnding(), r.reason, fx)
		}
	}
}

// listed reports whether a renewal sent at an instant must list a run that goes on.
func (r *run) listed(sent time.Duration) bool {
	return sent-r.sent > 2*RenewalWait
}

// stoppedEnding returns how a stopped run that the server does not list ended.
func (r *run) stoppedEnding() pollenfront.Ending {
	if r.began {
		return pollenfront.EndingStopped
	}
	return pollenfront.EndingNotStarted
}

// Clean reports whether nothing of an earlier incarnation of the agent runs on
// the server: the server has listed no such run, or its lease has lapsed since
// the executor was started.
func (x *Executor) Clean(now, started time.Duration) bool {
	return x.clean || now-started > time.Duration(float64(maxLease)*clockDrift)+lapseMargin
}

// ServerAnnounced reports whether the server has announced itself.
func (x *Executor) ServerAnnounced() bool {
	return x.server.known
}

// DisabledZones returns the newest list of zones that are out of service.
func (x *Executor) DisabledZones() tasklink.DisabledZones {
	return x.notice
}
