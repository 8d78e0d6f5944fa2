package replay

import (
	"errors"
	"fmt"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/cell"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

const (
	rackCount          = 4
	linkSilenceTimeout = 1500 * time.Millisecond // linkSilenceTimeout is the time without messages after which an agent closes a link.
)

// errNoResponse is the error of a request to which the server did not respond.
var errNoResponse = errors.New("the server did not respond")

// An agentNode is an agent together with its server.
type agentNode struct {
	node

	agentCounts        map[int]int // agentCounts holds the newest AgentCount of each entry, by its index.
	announcementSeqNum uint64
	cell               *cell.Cell
	dialing            map[int]bool                 // dialing holds the entries to which there is a link or that are being dialed, by index.
	entryRefs          map[int]pollenfront.EntryRef // entryRefs identify the incarnations of the linked entries, by index of the entry.
	executor           *executor.Executor
	incarnation        uint64
	index              int
	lastReceived       map[int]time.Duration // lastReceived is the time of the last message from an entry, by index of the entry.
	linkEpochs         map[int]uint64        // linkEpochs are the epochs of the open links, by index of the entry. Epochs are never zero.
	name               string
	server             *serverNode
	startedAt          time.Duration
	wanted             map[int]bool // wanted holds the entries to which there should be links, by index.
	zone               string
}

// A node is a process that can be killed and suspended.
type node struct {
	deferred   []func() // deferred are the events that arrived while the process was suspended.
	fleet      *Fleet
	generation int // generation is the number of kills. Events of earlier generations are dropped.
	suspended  bool
	up         bool
}

// handleEvent handles an event that was scheduled for a generation of the process. It
// drops the event if that generation was killed. If the process is suspended, the event
// waits until it resumes.
func (n *node) handleEvent(generation int, event func()) {
	switch {
	case generation != n.generation || !n.up:
	case n.suspended:
		n.deferred = append(n.deferred, func() { n.handleEvent(generation, event) })
	default:
		event()
	}
}

// schedule schedules an event for the current generation of the process.
func (n *node) schedule(d time.Duration, event func()) {
	generation := n.generation
	n.fleet.schedule(d, func() { n.handleEvent(generation, event) })
}

// suspend suspends the process for some time.
func (n *node) suspend(d time.Duration) {
	n.suspended = true
	n.fleet.schedule(d, func() {
		n.suspended = false
		deferred := n.deferred
		n.deferred = nil
		for _, event := range deferred {
			event()
		}
	})
}

// newAgentNode returns an agent with its server. The agent starts at once, except in a
// clairvoyant fleet, which uses only the servers.
func newAgentNode(f *Fleet, i int, runTimeFactor float64) *agentNode {
	a := &agentNode{node: node{fleet: f}, index: i, name: fmt.Sprintf("agent-%d", i), server: newServerNode(f, runTimeFactor), zone: f.zoneName(i)}
	a.server.rack = a.rack()
	a.server.announce = func() { a.handleEvent(a.generation, a.announceServer) }
	a.server.deregister = func() {
		a.handleEvent(a.generation, func() { a.applyEffects(a.executor.HandleDeregistration(a.fleet.now)) })
	}
	if f.centralQueue == nil {
		a.start()
	}
	return a
}

// start starts a new incarnation of the agent.
func (a *agentNode) start() {
	a.up, a.startedAt = true, a.fleet.now
	a.incarnation = uint64(a.fleet.now / time.Millisecond) //nolint:gosec // Not negative.
	a.executor = executor.New(a.name, service, a.zone, a.incarnation)
	if a.fleet.settings.DemandShares {
		a.executor.EnableDemandShares()
	}
	a.executor.SetInterference(a.fleet.settings.InterferenceMode)
	a.linkEpochs = make(map[int]uint64)
	a.lastReceived = make(map[int]time.Duration)
	a.entryRefs = make(map[int]pollenfront.EntryRef)
	a.tick()
	a.sendUpdates()
	a.renew()
	a.announce()
	a.cell = cell.New(a.fleet.now, a.name, a.zone, nil)
	a.cell.SetEntries(a.fleet.entryRecords())
	a.agentCounts, a.dialing = make(map[int]int), make(map[int]bool)
	a.updateCell()
}

// kill kills the agent and restarts it after a delay.
func (a *agentNode) kill(d time.Duration) {
	a.up = false
	a.generation++
	for e := range a.fleet.entries {
		a.fleet.closeEntrySide(e, a, a.linkEpochs[e])
	}
	a.fleet.schedule(d, a.start)
}

// tick runs the timers of the executor at regular intervals.
func (a *agentNode) tick() {
	a.applyEffects(a.executor.Tick(a.fleet.now))
	a.schedule(executor.TickInterval, a.tick)
}

// sendUpdates sends an update to each linked entry at regular intervals.
func (a *agentNode) sendUpdates() {
	for e := range a.fleet.entries {
		if a.linkEpochs[e] != 0 {
			a.sendUpdate(e)
		}
	}
	a.schedule(executor.UpdateInterval, a.sendUpdates)
}

// rack returns the label of the server's rack.
func (a *agentNode) rack() string {
	return fmt.Sprintf("rack-%d", a.index%rackCount)
}

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
	effects, _ := a.executor.HandleAnnouncement(a.fleet.now, pollenfront.Announcement{
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
	scheduled := false
	scheduleNext := func(delay time.Duration) {
		if !scheduled {
			scheduled = true
			a.schedule(delay, a.renew)
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

// applyEffects carries out the effects that the executor returned.
func (a *agentNode) applyEffects(effects executor.Effects) {
	for _, request := range effects.Starts {
		a.callServer(request.Timeout, func() error { return a.server.start(request) }, func(err error) {
			a.applyEffects(a.executor.HandleStartResponse(a.fleet.now, request, a.fleet.now, err))
		})
	}
	for _, request := range effects.Stops {
		a.callServer(executor.StopTimeout, func() error { return a.server.stop(request.Run, request.Token) }, func(err error) {
			a.executor.HandleStopResponse(a.fleet.now, request.Run, a.fleet.now, err)
		})
	}
	for _, name := range effects.Notify {
		for e, n := range a.fleet.entries {
			if n.name == name && a.linkEpochs[e] != 0 {
				a.sendUpdate(e)
			}
		}
	}
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

// sendUpdate sends an update to an entry, if the executor has one for it.
func (a *agentNode) sendUpdate(e int) {
	entry := a.fleet.entries[e]
	update, ok := a.executor.NextUpdate(a.fleet.now, entry.name)
	if !ok {
		return
	}
	a.fleet.corruptUpdate(a.index, &update)
	epoch, generation := a.linkEpochs[e], entry.generation
	a.fleet.result.Messages++
	a.fleet.deliver(e, a, func() {
		entry.handleEvent(generation, func() {
			if entry.links[a.name].epoch == epoch {
				entry.applyEffects(entry.scheduler.HandleUpdate(a.fleet.now, a.name, &update))
			}
		})
	})
}

// dial opens a link to an entry. It retries until the entry is reachable and no run of
// an earlier incarnation of the agent is left on the server.
func (a *agentNode) dial(e int) {
	entry := a.fleet.entries[e]
	if !a.wanted[e] {
		delete(a.dialing, e)
		return
	}
	if a.linkEpochs[e] != 0 {
		return
	}
	if !a.executor.EarlierRunsEnded(a.fleet.now, a.startedAt) || !entry.up || a.fleet.isPartitioned(e, a) {
		a.schedule(redialDelay, func() { a.dial(e) })
		return
	}
	a.fleet.lastSeqNum++
	epoch := a.fleet.lastSeqNum
	a.linkEpochs[e] = epoch
	a.entryRefs[e] = pollenfront.EntryRef{Incarnation: entry.incarnation, Name: entry.name}
	runs, effects := a.executor.LinkEntry(a.fleet.now, a.entryRefs[e])
	hello := &tasklink.Hello{Incarnation: a.incarnation, Name: a.name, Runs: runs, Service: service, Version: tasklink.Version, Zone: a.zone}
	generation := entry.generation
	a.fleet.deliver(e, a, func() {
		if entry.generation != generation || !entry.up {
			a.fleet.closeAgentSide(e, a, epoch)
			return
		}
		entry.handleEvent(generation, func() {
			entry.links[a.name] = entryLink{epoch: epoch, incarnation: hello.Incarnation}
			entry.applyEffects(entry.scheduler.LinkAgent(a.fleet.now, hello))
		})
	})
	a.watchLink(e, epoch, a.fleet.now)
	a.applyEffects(effects)
	a.sendUpdate(e)
}

// watchLink closes a link when nothing was received over it for linkSilenceTimeout.
func (a *agentNode) watchLink(e int, epoch uint64, lastReceived time.Duration) {
	a.schedule(linkSilenceTimeout/4, func() {
		if a.linkEpochs[e] != epoch {
			return
		}
		if a.lastReceived[e] > lastReceived {
			lastReceived = a.lastReceived[e]
		}
		if a.fleet.now-lastReceived > linkSilenceTimeout {
			a.fleet.closeEntrySide(e, a, epoch)
			a.fleet.closeAgentSide(e, a, epoch)
			return
		}
		a.watchLink(e, epoch, lastReceived)
	})
}
