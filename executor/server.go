package executor

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// A server is what the agent knows of the current incarnation of its backend server.
type server struct {
	// announced is whether an announcement of this incarnation is known and the server
	// has not deregistered since.
	announced bool
	// announcementSeqNum is the sequence number of the newest announcement.
	announcementSeqNum uint64
	// capacity is what the server announced and what the agent has learned of it.
	capacity effectiveCapacity
	// clockDoubtedAt is when a reading of the clock last contradicted an earlier one, and zero if
	// none has since this incarnation last answered a renewal. See recordClock.
	clockDoubtedAt time.Duration
	// clockOffset is the server's clock minus the agent's.
	clockOffset      time.Duration
	clockOffsetKnown bool
	// clockReadAt is when the server's clock was read.
	clockReadAt time.Duration
	// crashed is whether the process of this incarnation has most likely ended.
	crashed bool
	// crashedAt is when crashed was set.
	crashedAt time.Duration
	// draining is whether the server announced that it takes no new tasks.
	draining bool
	// failingSince is when a request failed without a response for the first time
	// since the last response, and zero if none has.
	failingSince time.Duration
	incarnation  uint64
	labels       []string
	// lastRenewal is when the newest answered renewal was sent.
	lastRenewal time.Duration
	// lastResponse is when the server last responded to a request.
	lastResponse time.Duration
	// lastSeqNum is the highest sequence number of the ended runs that the server
	// has reported.
	lastSeqNum uint64
	// lastUnanswered is when a request last failed without a response.
	lastUnanswered time.Duration
	// refusing is whether the newest request was refused because nothing listens.
	refusing bool
	// leaseExpiry is the time on the agent's clock by which the server has killed
	// all of its runs, unless the lease is extended before.
	leaseExpiry time.Duration
	// seenAt is when the agent learned of this incarnation.
	seenAt time.Duration
	// unresponsive is whether the server gets no tasks because it does not respond.
	unresponsive bool
	zone         string
}

// HandleAnnouncement handles an announcement of the server. One of another incarnation than
// the current one applies when the server itself states that incarnation in its answer to a
// renewal: it may be delayed, or somebody else's.
func (x *Executor) HandleAnnouncement(now time.Duration, a pollenfront.Announcement) Effects {
	var effects Effects
	switch {
	case a.Incarnation != x.server.incarnation:
		x.pendingAnnouncement = a
		effects.RenewNow = true
	case a.SeqNum >= x.server.announcementSeqNum:
		x.applyAnnouncement(now, a, &effects)
	}
	return effects
}

// RestoreAnnouncement records what the server announced to an earlier incarnation of
// the agent. It applies until the next announcement, if a renewal shows that the
// server has not been restarted since.
func (x *Executor) RestoreAnnouncement(now time.Duration, a pollenfront.Announcement) Effects {
	var effects Effects
	if x.pendingAnnouncement.Incarnation == 0 {
		x.pendingAnnouncement = a
		x.applyPendingAnnouncement(now, &effects)
	}
	return effects
}

// applyPendingAnnouncement applies the pending announcement if it is one of the server's
// current incarnation, which has not announced itself yet.
func (x *Executor) applyPendingAnnouncement(now time.Duration, effects *Effects) {
	a := x.pendingAnnouncement
	if x.server.announced || a.Incarnation == 0 || a.Incarnation != x.server.incarnation {
		return
	}
	x.pendingAnnouncement = pollenfront.Announcement{}
	x.applyAnnouncement(now, a, effects)
}

// applyAnnouncement applies an announcement of the server's current incarnation.
func (x *Executor) applyAnnouncement(now time.Duration, a pollenfront.Announcement, effects *Effects) {
	s := &x.server
	before := x.State()
	s.capacity.announce(a.Capacity)
	s.draining, s.announced, s.labels, s.announcementSeqNum, s.zone = a.Draining, true, a.Labels, a.SeqNum, a.Zone
	effects.Announced = append(effects.Announced, a)
	x.startQueued(now, effects)
	if x.State() != before {
		x.notifyAll(effects)
	}
}

// HandleDeregistration handles the server's notice that it shuts down. It may still run what
// it has started until it receives the answer to the notice, or longer without one, so its
// runs end as those of any server that does not respond.
func (x *Executor) HandleDeregistration(now time.Duration) Effects {
	var effects Effects
	x.returnQueued(now, "the server has left", &effects)
	x.tokens.Advance()
	x.server.announced = false
	x.notifyAll(&effects)
	return effects
}

// handleNewIncarnation replaces what is known of an earlier incarnation of the server,
// returns the queued runs, and ends those that were certainly on the earlier incarnation.
// Any other run may be on either, so it is stopped in the new one before its end is
// reported.
func (x *Executor) handleNewIncarnation(now time.Duration, incarnation uint64, effects *Effects) {
	former := x.server
	effects.IncarnationChanges = append(effects.IncarnationChanges, IncarnationChange{
		Former: former.incarnation, FormerAge: now - former.lastRenewal, Incarnation: incarnation,
	})
	x.recordFormerIncarnation(former.incarnation)
	if former.announced {
		x.recordCrash(now, effects)
	}
	if former.incarnation != 0 {
		x.endCrashedRuns(now, proof{asOf: former.lastRenewal, kind: NewIncarnation}, effects)
	}
	x.server = server{incarnation: incarnation, seenAt: now}
	if former.incarnation == 0 {
		return
	}
	x.server.leaseExpiry = max(former.leaseExpiry, now+longestLease) // Requests to the former one have times on a higher clock.
	x.tokens.Advance()
	x.stats = newRunStats()
	x.returnQueued(now, "the server was restarted", effects)
	for _, r := range slices.Clone(x.acceptedRuns) {
		r.stopConfirmed = 0
		r.started = r.started || r.state != queued // It may have started in the former incarnation.
		if r.state == stopping {
			x.sendStop(now, r, effects)
			continue
		}
		x.stopRun(now, r, "the server was restarted", effects)
	}
}

// recordFormerIncarnation records that an incarnation of the server has been replaced.
func (x *Executor) recordFormerIncarnation(incarnation uint64) {
	x.formerIncarnations = append(x.formerIncarnations, incarnation)
	if len(x.formerIncarnations) > maxFormerIncarnations {
		x.formerIncarnations = x.formerIncarnations[1:]
	}
}

// recordClock records a reading of the server's clock, where zero means that there is
// none. If it contradicts the former reading, another incarnation has answered, which only the
// response to a renewal will show. That incarnation may have been asked for leases by the
// former clock, and grants its longest one if that was ahead.
func (x *Executor) recordClock(now, clock time.Duration) {
	if clock <= 0 {
		return
	}
	s := &x.server
	if s.clockOffsetKnown && !s.mayRead(now, clock) {
		s.clockDoubtedAt = now
		s.leaseExpiry = max(s.leaseExpiry, now+longestLease)
	}
	s.clockOffset, s.clockOffsetKnown, s.clockReadAt = clock-now, true, now
}

// mayRead reports whether the clock that was read before may have a reading, which was received
// now.
func (s *server) mayRead(now, clock time.Duration) bool {
	elapsed := now - s.clockReadAt
	drift := time.Duration(float64(elapsed) * (maxClockDrift - 1))
	expected := s.clockReadAt + s.clockOffset + elapsed
	return (clock - expected).Abs() <= drift+maxAnswerTime
}

// slowestClock returns the reading of the server's clock if it is as slow as maxClockDrift
// allows since it was read. A lease that is granted from then on is not too long.
func (x *Executor) slowestClock(now time.Duration) time.Duration {
	return x.server.clockReadAt + x.server.clockOffset + time.Duration(float64(now-x.server.clockReadAt)/maxClockDrift)
}

// NextRenewal returns the next request to renew the lease. It counts as sent now. Until
// the server's clock is known, while nothing listens at the server's address and while a run
// must not go on, it does not extend the lease.
func (x *Executor) NextRenewal(now time.Duration) pollenfront.RenewalRequest {
	request := pollenfront.RenewalRequest{
		AcknowledgedSeqNum: x.server.lastSeqNum, Interval: RenewalWait + renewalTimeoutMargin, Timeout: RenewalWait + renewalTimeoutMargin, Token: x.tokens.Current(), Wait: RenewalWait,
	}
	if now-x.server.lastRenewal > acknowledgeWindow {
		request.AcknowledgedSeqNum = 0
	}
	if x.serverSuspect(now) {
		request.Interval, request.Timeout, request.Wait = suspectRenewalWait, suspectRenewalWait+renewalTimeoutMargin, suspectRenewalWait
	}
	if x.server.failingSince > 0 {
		request.Wait = 0 // The server may have been restarted. Its next incarnation must be fenced soon.
	}
	if x.server.clockOffsetKnown && !x.server.refusing && x.leaseLimit() > now {
		request.LeaseExpiry = x.extendLease(now)
	}
	return request
}

// serverSuspect reports whether the server left a request unanswered within
// suspectDuration.
func (x *Executor) serverSuspect(now time.Duration) bool {
	return x.server.lastUnanswered > 0 && now-x.server.lastUnanswered < suspectDuration
}

// HandleRenewal handles the response to a renewal that was sent at the given time.
func (x *Executor) HandleRenewal(now, sent time.Duration, response *pollenfront.RenewalResponse) Effects {
	var effects Effects
	if response.Incarnation == 0 || sent < x.server.lastRenewal || slices.Contains(x.formerIncarnations, response.Incarnation) {
		return effects // A newer response came first, or the response is invalid.
	}
	x.checkCrashConclusion(now, response.Incarnation, &effects)
	if response.Incarnation != x.server.incarnation {
		x.handleNewIncarnation(now, response.Incarnation, &effects)
	}
	x.recordClock(now, response.Clock)
	if sent > x.server.clockDoubtedAt {
		x.server.clockDoubtedAt = 0
	}
	before := x.State()
	x.server.lastRenewal, x.server.crashed = sent, false
	x.recordResponse(now, nil)
	for _, ended := range response.Ended {
		if ended.SeqNum <= x.server.lastSeqNum {
			continue
		}
		x.server.lastSeqNum = ended.SeqNum
		if r, ok := x.runsByTask[ended.Run.TaskID]; ok && r.id == ended.Run && r.state != queued {
			x.endRun(now, r, ended.Ending, proof{asOf: sent, kind: EndListed}, "", &effects)
		}
	}
	x.reconcile(now, sent, response.Running, &effects)
	x.applyPendingAnnouncement(now, &effects)
	x.startQueued(now, &effects)
	if x.State() != before {
		x.notifyAll(&effects)
	}
	return effects
}

// HandleRenewalError handles a renewal that was sent at the given time and failed with an
// error other than pollenfront.ErrFenced and pollenfront.ErrReplaced.
func (x *Executor) HandleRenewalError(now, sent time.Duration, err error) Effects {
	var effects Effects
	before := x.server.unresponsive
	x.recordResponse(now, err)
	x.detectCrash(now, sent, err, &effects)
	if now-x.server.lastResponse >= renewalUnavailableTimeout {
		x.server.unresponsive = true
	}
	if x.server.unresponsive && !before && x.server.announced {
		x.startQueued(now, &effects)
		x.notifyAll(&effects)
	}
	return effects
}

// reconcile compares the runs that a response to a renewal lists with the known ones.
// It stops unknown runs, and ends runs that must be listed but are not.
func (x *Executor) reconcile(now, sent time.Duration, listed []pollenfront.RunningRun, effects *Effects) {
	present := make(map[pollenfront.RunID]bool, len(listed))
	x.noUnknownRuns = true
	for _, reported := range listed {
		present[reported.Run] = true
		r, ok := x.runsByTask[reported.Run.TaskID]
		if !ok || r.id != reported.Run || r.state == queued {
			x.noUnknownRuns, x.unknownListedAt = false, now
			x.endings.recordListed(now, sent, x.server.incarnation, reported.Run, effects)
			effects.Stops = append(effects.Stops, x.stopRequest(reported.Run))
			effects.UnknownRuns = append(effects.UnknownRuns, reported.Run)
			continue
		}
		if !r.started || r.percent != reported.Percent {
			r.lastProgress = now
		}
		r.started, r.percent, r.reportedAt = true, reported.Percent, now
		if r.state == starting {
			r.state = running
		}
	}
	for _, r := range slices.Clone(x.acceptedRuns) {
		if present[r.id] {
			continue
		}
		switch {
		case r.state == running && r.mustBeListed(sent):
			x.endRun(now, r, pollenfront.EndingLost, proof{asOf: sent, kind: Unlisted}, "the server does not know it any more", effects)
		case r.state == stopping && r.stopConfirmed != 0 && r.stopConfirmed < sent:
			x.endRun(now, r, r.stoppedEnding(), proof{asOf: sent, kind: StoppedAndUnlisted}, r.stopReason, effects)
		}
	}
}

// mustBeListed reports whether the response to a renewal sent at the given time lists
// the run if it goes on: the server had answered its start or listed it before.
func (r *run) mustBeListed(sent time.Duration) bool {
	return r.startAnswered > 0 && r.startAnswered < sent || r.reportedAt > 0 && r.reportedAt < sent
}

// stoppedEnding returns the ending of a stopped run that the server does not list.
func (r *run) stoppedEnding() pollenfront.Ending {
	if r.started {
		return pollenfront.EndingStopped
	}
	return pollenfront.EndingNotStarted
}

// EarlierRunsEnded reports whether all runs of earlier incarnations of the agent have
// ended: the response to the newest renewal listed no unknown run, or the longest
// lease that the server grants has expired since the agent started and an unknown run was
// listed last.
func (x *Executor) EarlierRunsEnded(now, started time.Duration) bool {
	return x.noUnknownRuns || now-max(started, x.unknownListedAt) > longestLease
}

// ServerAnnounced reports whether the server's current incarnation has announced
// itself, or a restored announcement of it applies.
func (x *Executor) ServerAnnounced() bool {
	return x.server.announced
}

// DisabledZones returns the newest list of disabled zones that an entry has sent.
func (x *Executor) DisabledZones() tasklink.DisabledZones {
	return x.disabledZones
}
