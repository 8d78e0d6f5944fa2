package replay

import (
	"errors"
	"time"

	"github.com/pollenfront/pollenfront"
)

// errNoResponse is the error of a request to which the server did not respond.
var errNoResponse = errors.New("the server did not respond")

// announce announces the server at regular intervals.
func (a *agentNode) announce() {
	a.announceServer()
	a.schedule(announcementInterval, a.announce)
}

// announceServer passes an announcement of the server to the executor, unless the server
// is down or has given notice.
func (a *agentNode) announceServer() {
	if a.server.isDown() || a.server.leaving {
		return
	}
	a.receiveAnnouncement(a.newAnnouncement())
}

// newAnnouncement returns the next announcement of the server.
func (a *agentNode) newAnnouncement() pollenfront.Announcement {
	s := a.server
	s.announcementSeqNum++
	return pollenfront.Announcement{
		Capacity: s.capacity, Clock: s.clock(), Draining: s.draining, Incarnation: s.incarnation, Labels: []string{a.rack()}, SeqNum: s.announcementSeqNum, Zone: a.zone,
	}
}

// receiveAnnouncement passes an announcement to the executor.
func (a *agentNode) receiveAnnouncement(announcement pollenfront.Announcement) {
	effects := a.executor.HandleAnnouncement(a.fleet.now, announcement)
	a.applyEffects(effects)
}

// renew renews the lease of the server. The next renewal is sent when the response
// arrives or the interval ends, whichever comes first. If the request times out before
// that, the next renewal follows after the executor's delay.
func (a *agentNode) renew() {
	sent := a.fleet.now
	request := a.executor.NextRenewal(sent)
	a.renewals++
	number := a.renewals
	scheduled := false
	scheduleNext := func(delay time.Duration) {
		if !scheduled {
			scheduled = true
			a.schedule(delay, func() {
				if a.renewals == number {
					a.renew()
				}
			})
		}
	}
	responded := false
	a.schedule(request.Interval, func() { scheduleNext(0) })
	a.schedule(request.Timeout, func() {
		if !responded {
			responded = true // A later response is dropped.
			a.applyEffects(a.executor.HandleRenewalError(a.fleet.now, sent, errNoResponse))
			scheduleNext(a.executor.RenewalRetryDelay(a.fleet.now, errNoResponse))
		}
	})
	a.sendRenewal(request, func(response *pollenfront.RenewalResponse, err error) {
		if responded {
			return
		}
		responded = true
		switch {
		case err == nil:
			a.applyEffects(a.executor.HandleRenewal(a.fleet.now, sent, response))
		case errors.Is(err, pollenfront.ErrFenced):
			a.applyEffects(a.executor.HandleRenewalFenced(request.Token))
		default:
			a.applyEffects(a.executor.HandleRenewalError(a.fleet.now, sent, err))
			scheduleNext(a.executor.RenewalRetryDelay(a.fleet.now, err))
		}
		scheduleNext(0)
	})
}

// sendRenewal sends a renewal to the server and calls respond with the response. A
// delayed renewal is carried out seconds later, possibly by the next incarnation, and gets no
// response.
func (a *agentNode) sendRenewal(request pollenfront.RenewalRequest, respond func(*pollenfront.RenewalResponse, error)) {
	s, generation, lifetime := a.server, a.generation, a.server.lifetime
	delay, delayed := s.requestDelay(Renewals)
	lost := s.drawLost()
	if !delayed {
		delay = agentServerDelay
	}
	if s.unavailable {
		return
	}
	if s.refusesConnections() {
		a.schedule(2*agentServerDelay, func() { respond(nil, pollenfront.ErrUnreachable) })
		return
	}
	a.fleet.schedule(delay, func() {
		if !s.receives(lifetime) {
			return
		}
		s.renew(request, func(response *pollenfront.RenewalResponse, err error) {
			if !delayed && !lost {
				a.fleet.schedule(agentServerDelay+s.drawAnswerDelay(), func() { a.handleEvent(generation, func() { respond(response, err) }) })
			}
		})
	})
}

// callServer sends a request to the server, where handle carries it out, and calls
// respond with the reading of the server's clock and the error. If there is no response
// within the timeout, the error is errNoResponse. A delayed request is carried out seconds
// later, possibly by the next incarnation, and gets no response.
func (a *agentNode) callServer(kind RequestKind, timeout time.Duration, handle func() error, respond func(clock time.Duration, err error)) {
	refused, lifetime := a.server.refusesConnections(), a.server.lifetime
	deliver := func() error {
		if refused {
			return pollenfront.ErrUnreachable
		}
		if !a.server.receives(lifetime) {
			return errNoResponse
		}
		return handle()
	}
	delay, delayed := time.Duration(0), false
	if !refused {
		delay, delayed = a.server.requestDelay(kind)
	}
	if delayed {
		a.fleet.schedule(delay, func() { _ = deliver() })
		a.schedule(timeout, func() { respond(0, errNoResponse) })
		return
	}
	generation, lost := a.generation, a.server.drawLost()
	a.fleet.schedule(agentServerDelay, func() {
		err := deliver()
		if lost {
			err = errNoResponse
		}
		delay, clock := agentServerDelay+a.server.drawAnswerDelay(), a.server.clock()
		if delay >= timeout {
			err = errNoResponse
		}
		switch {
		case errors.Is(err, errNoResponse):
			delay, clock = timeout, 0
		case errors.Is(err, pollenfront.ErrUnreachable):
			clock = 0
		}
		a.fleet.schedule(delay, func() { a.handleEvent(generation, func() { respond(clock, err) }) })
	})
}
