package replay

import (
	"errors"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
)

// errNoResponse is the error of a request to which the server did not respond.
var errNoResponse = errors.New("the server did not respond")

// announce announces the server at regular intervals.
func (a *agentNode) announce() {
	a.announceServer()
	a.schedule(announcementInterval, a.announce)
}

// announceServer passes an announcement of the server to the executor, unless the server
// is down.
func (a *agentNode) announceServer() {
	if a.server.unavailable || a.server.refusing {
		return
	}
	a.announcementSeqNum++
	effects := a.executor.HandleAnnouncement(a.fleet.now, pollenfront.Announcement{
		Capacity: a.server.capacity, Clock: a.fleet.now, Draining: a.server.draining, Incarnation: a.server.incarnation, Labels: []string{a.rack()},
		SeqNum: a.announcementSeqNum, Zone: a.zone,
	})
	a.applyEffects(effects)
}

// renew renews the lease of the server. The next renewal is sent when the response
// arrives or the interval ends, whichever comes first. If the request times out before
// that, the next renewal follows after executor.RenewalRetryDelay.
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
			a.applyEffects(a.executor.HandleRenewalError(a.fleet.now, sent, errNoResponse))
			scheduleNext(executor.RenewalRetryDelay)
		}
	})
	incarnation := a.server.incarnation
	a.sendRenewal(request, func(response *pollenfront.RenewalResponse, err error) {
		if responded || err == nil && (a.server.unavailable || a.server.incarnation != incarnation) {
			return
		}
		responded = true
		switch {
		case err == nil:
			a.applyEffects(a.executor.HandleRenewal(a.fleet.now, sent, response))
		case errors.Is(err, pollenfront.ErrFenced):
			a.executor.HandleRenewalFenced()
		default:
			a.applyEffects(a.executor.HandleRenewalError(a.fleet.now, sent, err))
			scheduleNext(executor.RenewalRetryDelay)
		}
		scheduleNext(0)
	})
}

// sendRenewal sends a renewal to the server and calls respond with the response. A
// delayed renewal is carried out seconds later and gets no response.
func (a *agentNode) sendRenewal(request pollenfront.RenewalRequest, respond func(*pollenfront.RenewalResponse, error)) {
	s, incarnation, generation, delay := a.server, a.server.incarnation, a.generation, agentServerDelay
	delayed, lost := s.drawDelayed(), s.drawLost()
	if delayed {
		delay = s.drawDelay()
	}
	if s.unavailable {
		return
	}
	if s.refusing {
		a.schedule(2*agentServerDelay, func() { respond(nil, pollenfront.ErrUnreachable) })
		return
	}
	a.fleet.schedule(delay, func() {
		if s.incarnation != incarnation || s.unavailable {
			return
		}
		s.renew(request, func(response *pollenfront.RenewalResponse, err error) {
			if !delayed && !lost {
				a.fleet.schedule(agentServerDelay, func() { a.handleEvent(generation, func() { respond(response, err) }) })
			}
		})
	})
}

// callServer sends a request to the server, where handle carries it out, and calls
// respond with the error. If there is no response within the timeout, the error is
// errNoResponse. A delayed request is carried out seconds later and gets no response.
func (a *agentNode) callServer(timeout time.Duration, handle func() error, respond func(err error)) {
	incarnation := a.server.incarnation
	refused := a.server.refusing
	deliver := func() error {
		if refused {
			return pollenfront.ErrUnreachable
		}
		if a.server.incarnation != incarnation || a.server.unavailable {
			return errNoResponse
		}
		return handle()
	}
	if !refused && a.server.drawDelayed() {
		a.fleet.schedule(a.server.drawDelay(), func() { _ = deliver() })
		a.schedule(timeout, func() { respond(errNoResponse) })
		return
	}
	generation, lost := a.generation, a.server.drawLost()
	a.fleet.schedule(agentServerDelay, func() {
		err := deliver()
		if lost {
			err = errNoResponse
		}
		delay := agentServerDelay
		if errors.Is(err, errNoResponse) {
			delay = timeout
		}
		a.fleet.schedule(delay, func() { a.handleEvent(generation, func() { respond(err) }) })
	})
}
