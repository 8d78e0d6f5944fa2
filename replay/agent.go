package replay

import (
	"errors"
	"fmt"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Times after which an agent takes a call to its server for lost.
const (
	rackCount          = 4
	linkSilenceTimeout = 1500 * time.Millisecond
)

// errNoAnswer means that an order was not answered.
var errNoResponse = errors.New("no answer")

// An agentNode is an agent with its server.
type agentNode struct {
	node

	announcementSeqNum uint64
	entryRefs          map[int]pollenfront.EntryRef // Of linked entries.
	executor           *executor.Executor
	incarnation        uint64
	index              int
	lastReceived       map[int]time.Duration // By entry.
	linkEpochs         map[int]uint64        // Epochs of links, by entry.
	name               string
	server             *serverNode
	startedAt          time.Duration
}

// A node is a process that can be killed and suspended.
type node struct {
	deferred   []func() // What happened to it while it was suspended.
	fleet      *Fleet
	generation int // Grows when it is killed.
	suspended  bool
	up         bool
}

// process lets something happen to the present incarnation of a node, now or when it wakes.
func (n *node) process(generation int, happen func()) {
	switch {
	case generation != n.generation || !n.up:
	case n.suspended:
		n.deferred = append(n.deferred, func() { n.process(generation, happen) })
	default:
		happen()
	}
}

// schedule lets something happen to the present incarnation of a node after a time.
func (n *node) schedule(d time.Duration, happen func()) {
	generation := n.generation
	n.fleet.schedule(d, func() { n.process(generation, happen) })
}

// suspend suspends a node for a time.
func (n *node) suspend(d time.Duration) {
	n.suspended = true
	n.fleet.schedule(d, func() {
		n.suspended = false
		waiting := n.deferred
		n.deferred = nil
		for _, happen := range waiting {
			happen()
		}
	})
}

// newAgentNode returns an agent that starts now.
func newAgentNode(f *Fleet, i int, speed float64) *agentNode {
	a := &agentNode{node: node{fleet: f}, index: i, name: fmt.Sprintf("agent-%d", i), server: newServerNode(f, speed)}
	a.server.rack = a.rack()
	if f.centralQueue == nil {
		a.start()
	}
	return a
}

// start starts the agent.
func (a *agentNode) start() {
	a.up, a.startedAt = true, a.fleet.now
	a.incarnation = uint64(a.fleet.now / time.Millisecond) //nolint:gosec // Not negative.
	a.executor = executor.New(service, zone, a.incarnation)
	a.linkEpochs = make(map[int]uint64)
	a.lastReceived = make(map[int]time.Duration)
	a.entryRefs = make(map[int]pollenfront.EntryRef)
	a.tick()
	a.sendUpdates()
	a.renew()
	a.announce()
	for e := range a.fleet.entries {
		a.dial(e)
	}
}

// kill kills the agent and starts it again after a time.
func (a *agentNode) kill(d time.Duration) {
	a.up = false
	a.generation++
	for e := range a.fleet.entries {
		a.fleet.closeEntrySide(e, a, a.linkEpochs[e])
	}
	a.fleet.schedule(d, a.start)
}

// tick lets time pass.
func (a *agentNode) tick() {
	a.perform(a.executor.Tick(a.fleet.now))
	a.schedule(executor.TickInterval, a.tick)
}

// sendUpdates sends an sendUpdates to each entry.
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

// announce lets the server announce itself.
func (a *agentNode) announce() {
	if !a.server.unavailable {
		a.announcementSeqNum++
		fx, _ := a.executor.HandleAnnouncement(a.fleet.now, pollenfront.Announcement{
			Capacity: a.server.capacity, Clock: a.fleet.now, Incarnation: a.server.incarnation, Labels: []string{a.rack()}, Sequence: a.announcementSeqNum, Zone: zone,
		})
		a.perform(fx)
	}
	a.schedule(announcementInterval, a.announce)
}

// renew renews the lease of the server.
func (a *agentNode) renew() {
	sent := a.fleet.now
	order := a.executor.NextRenewal(sent)
	over := false
	again := func(pause time.Duration) {
		if !over {
			over = true
			a.schedule(pause, a.renew)
		}
	}
	answered := false
	a.schedule(order.Interval, func() { again(0) })
	a.schedule(order.Timeout, func() {
		if !answered {
			a.perform(a.executor.HandleRenewalError(a.fleet.now, errNoResponse))
			again(executor.RenewalRetryDelay)
		}
	})
	incarnation := a.server.incarnation
	a.sendRenewal(order, func(reply *pollenfront.RenewalResponse, err error) {
		if answered || a.server.unavailable || a.server.incarnation != incarnation {
			return
		}
		answered = true
		if err != nil {
			a.executor.HandleRenewalFenced()
		} else {
			a.perform(a.executor.HandleRenewal(a.fleet.now, sent, reply))
		}
		again(0)
	})
}

// sendRenewal lets the server carry out a renewal, and passes on its answer.
// Some renewals are carried out seconds later and not answered.
func (a *agentNode) sendRenewal(order pollenfront.RenewalRequest, answer func(*pollenfront.RenewalResponse, error)) {
	s, incarnation, generation, delay := a.server, a.server.incarnation, a.generation, agentServerDelay
	late := s.drawDelayed()
	if late {
		delay = s.drawDelay()
	}
	if s.unavailable {
		return
	}
	a.fleet.schedule(delay, func() {
		if s.incarnation != incarnation || s.unavailable {
			return
		}
		s.renew(order, func(reply *pollenfront.RenewalResponse, err error) {
			if !late {
				a.fleet.schedule(agentServerDelay, func() { a.process(generation, func() { answer(reply, err) }) })
			}
		})
	})
}

// perform carries out what the executor decided.
func (a *agentNode) perform(fx executor.Effects) {
	for _, order := range fx.Starts {
		a.callServer(order.Timeout, func() error { return a.server.start(order) }, func(err error) {
			a.perform(a.executor.HandleStartResponse(a.fleet.now, order, a.fleet.now, err))
		})
	}
	for _, order := range fx.Stops {
		a.callServer(executor.StopTimeout, func() error { return a.server.stop(order.Run, order.Token) }, func(err error) {
			a.executor.HandleStopResponse(a.fleet.now, order.Run, a.fleet.now, err)
		})
	}
	for _, name := range fx.Notify {
		for e, n := range a.fleet.entries {
			if n.name == name && a.linkEpochs[e] != 0 {
				a.sendUpdate(e)
			}
		}
	}
}

// callServer sends an order to the server. Some are not answered and carried out
// seconds later.
func (a *agentNode) callServer(timeout time.Duration, order func() error, answer func(err error)) {
	incarnation := a.server.incarnation
	carryOut := func() error {
		if a.server.incarnation != incarnation || a.server.unavailable {
			return errNoResponse
		}
		return order()
	}
	if a.server.drawDelayed() {
		a.fleet.schedule(a.server.drawDelay(), func() { _ = carryOut() })
		a.schedule(timeout, func() { answer(errNoResponse) })
		return
	}
	generation := a.generation
	a.fleet.schedule(agentServerDelay, func() {
		err := carryOut()
		delay := agentServerDelay
		if errors.Is(err, errNoResponse) {
			delay = timeout
		}
		a.fleet.schedule(delay, func() { a.process(generation, func() { answer(err) }) })
	})
}

// sendUpdate sends an update to an entry.
func (a *agentNode) sendUpdate(e int) {
	entry := a.fleet.entries[e]
	update, ok := a.executor.Update(a.fleet.now, entry.name)
	if !ok {
		return
	}
	epoch, generation := a.linkEpochs[e], entry.generation
	a.fleet.deliver(e, a, func() {
		entry.process(generation, func() {
			if entry.links[a.name].epoch == epoch {
				entry.perform(entry.scheduler.HandleUpdate(a.fleet.now, a.name, &update))
			}
		})
	})
}

// dial links to an entry, again and again.
func (a *agentNode) dial(e int) {
	entry := a.fleet.entries[e]
	if a.linkEpochs[e] != 0 {
		return
	}
	if !a.executor.Clean(a.fleet.now, a.startedAt) || !entry.up || a.fleet.isPartitioned(e, a) {
		a.schedule(redialDelay, func() { a.dial(e) })
		return
	}
	a.fleet.lastSeqNum++
	epoch := a.fleet.lastSeqNum
	a.linkEpochs[e] = epoch
	a.entryRefs[e] = pollenfront.EntryRef{Incarnation: entry.incarnation, Name: entry.name}
	runs, fx := a.executor.LinkEntry(a.fleet.now, a.entryRefs[e])
	hello := &tasklink.Hello{Incarnation: a.incarnation, Name: a.name, Runs: runs, Service: service, Version: tasklink.Version, Zone: zone}
	generation := entry.generation
	a.fleet.deliver(e, a, func() {
		if entry.generation != generation || !entry.up {
			a.fleet.closeAgentSide(e, a, epoch)
			return
		}
		entry.process(generation, func() {
			entry.links[a.name] = entryLink{epoch: epoch, incarnation: hello.Incarnation}
			entry.perform(entry.scheduler.LinkAgent(a.fleet.now, hello))
		})
	})
	a.watchLink(e, epoch, a.fleet.now)
	a.perform(fx)
	a.sendUpdate(e)
}

// watchLink closes a link over which nothing comes.
func (a *agentNode) watchLink(e int, epoch uint64, heard time.Duration) {
	a.schedule(linkSilenceTimeout/4, func() {
		if a.linkEpochs[e] != epoch {
			return
		}
		if a.lastReceived[e] > heard {
			heard = a.lastReceived[e]
		}
		if a.fleet.now-heard > linkSilenceTimeout {
			a.fleet.closeEntrySide(e, a, epoch)
			a.fleet.closeAgentSide(e, a, epoch)
			return
		}
		a.watchLink(e, epoch, heard)
	})
}
