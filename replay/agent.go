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
	racks       = 4
	linkSilence = 1500 * time.Millisecond
)

// errNoAnswer means that an order was not answered.
var errNoAnswer = errors.New("no answer")

// An agentNode is an agent with its server.
type agentNode struct {
	node

	executor    *executor.Executor
	heard       map[int]time.Duration // By entry.
	incarnation uint64
	index       int
	links       map[int]uint64 // Epochs of links, by entry.
	name        string
	refs        map[int]pollenfront.EntryRef // Of linked entries.
	sequence    uint64
	server      *serverNode
	started     time.Duration
}

// A node is a process that can be killed and suspended.
type node struct {
	fleet      *Fleet
	frozen     []func() // What happened to it while it was suspended.
	generation int      // Grows when it is killed.
	suspended  bool
	up         bool
}

// do lets something happen to the present incarnation of a node, now or when it wakes.
func (n *node) do(generation int, happen func()) {
	switch {
	case generation != n.generation || !n.up:
	case n.suspended:
		n.frozen = append(n.frozen, func() { n.do(generation, happen) })
	default:
		happen()
	}
}

// later lets something happen to the present incarnation of a node after a time.
func (n *node) later(d time.Duration, happen func()) {
	generation := n.generation
	n.fleet.after(d, func() { n.do(generation, happen) })
}

// suspend suspends a node for a time.
func (n *node) suspend(d time.Duration) {
	n.suspended = true
	n.fleet.after(d, func() {
		n.suspended = false
		waiting := n.frozen
		n.frozen = nil
		for _, happen := range waiting {
			happen()
		}
	})
}

// newAgentNode returns an agent that starts now.
func newAgentNode(f *Fleet, i int, speed float64) *agentNode {
	a := &agentNode{node: node{fleet: f}, index: i, name: fmt.Sprintf("agent-%d", i), server: newServerNode(f, speed)}
	a.server.rack = a.rack()
	if f.central == nil {
		a.start()
	}
	return a
}

// start starts the agent.
func (a *agentNode) start() {
	a.up, a.started = true, a.fleet.now
	a.incarnation = uint64(a.fleet.now / time.Millisecond) //nolint:gosec // Not negative.
	a.executor = executor.New(service, zone, a.incarnation)
	a.links = make(map[int]uint64)
	a.heard = make(map[int]time.Duration)
	a.refs = make(map[int]pollenfront.EntryRef)
	a.tick()
	a.update()
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
		a.fleet.closeEntrySide(e, a, a.links[e])
	}
	a.fleet.after(d, a.start)
}

// tick lets time pass.
func (a *agentNode) tick() {
	a.perform(a.executor.Tick(a.fleet.now))
	a.later(executor.TickInterval, a.tick)
}

// update sends an update to each entry.
func (a *agentNode) update() {
	for e := range a.fleet.entries {
		if a.links[e] != 0 {
			a.send(e)
		}
	}
	a.later(executor.UpdateInterval, a.update)
}

// rack returns the label of the server's rack.
func (a *agentNode) rack() string {
	return fmt.Sprintf("rack-%d", a.index%racks)
}

// announce lets the server announce itself.
func (a *agentNode) announce() {
	if !a.server.dark {
		a.sequence++
		fx, _ := a.executor.HandleAnnouncement(a.fleet.now, pollenfront.Announcement{
			Capacity: a.server.room, Labels: []string{a.rack()}, Clock: a.fleet.now, Incarnation: a.server.incarnation, Sequence: a.sequence, Zone: zone,
		})
		a.perform(fx)
	}
	a.later(announcements, a.announce)
}

// renew renews the lease of the server.
func (a *agentNode) renew() {
	sent := a.fleet.now
	order := a.executor.NextRenewal(sent)
	over := false
	again := func(pause time.Duration) {
		if !over {
			over = true
			a.later(pause, a.renew)
		}
	}
	answered := false
	a.later(order.Interval, func() { again(0) })
	a.later(order.Timeout, func() {
		if !answered {
			a.perform(a.executor.HandleRenewalError(a.fleet.now, errNoAnswer))
			again(executor.RenewalRetryDelay)
		}
	})
	incarnation := a.server.incarnation
	a.deliverRenewal(order, func(reply *pollenfront.RenewalResponse, err error) {
		if answered || a.server.dark || a.server.incarnation != incarnation {
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

// deliverRenewal lets the server carry out a renewal, and passes on its answer.
// Some renewals are carried out seconds later and not answered.
func (a *agentNode) deliverRenewal(order pollenfront.RenewalRequest, answer func(*pollenfront.RenewalResponse, error)) {
	s, incarnation, generation, delay := a.server, a.server.incarnation, a.generation, callDelay
	late := s.isLate()
	if late {
		delay = s.lateness()
	}
	if s.dark {
		return
	}
	a.fleet.after(delay, func() {
		if s.incarnation != incarnation || s.dark {
			return
		}
		s.renew(order, func(reply *pollenfront.RenewalResponse, err error) {
			if !late {
				a.fleet.after(callDelay, func() { a.do(generation, func() { answer(reply, err) }) })
			}
		})
	})
}

// perform carries out what the executor decided.
func (a *agentNode) perform(fx executor.Effects) {
	for _, order := range fx.Starts {
		a.call(order.Timeout, func() error { return a.server.start(order) }, func(err error) {
			a.perform(a.executor.HandleStartResponse(a.fleet.now, order, a.fleet.now, err))
		})
	}
	for _, order := range fx.Stops {
		a.call(executor.StopTimeout, func() error { return a.server.stop(order.Run, order.Token) }, func(err error) {
			a.executor.HandleStopResponse(a.fleet.now, order.Run, a.fleet.now, err)
		})
	}
	for _, name := range fx.Notify {
		for e, n := range a.fleet.entries {
			if n.name == name && a.links[e] != 0 {
				a.send(e)
			}
		}
	}
}

// call sends an order to the server. Some are not answered and carried out
// seconds later.
func (a *agentNode) call(timeout time.Duration, order func() error, answer func(err error)) {
	incarnation := a.server.incarnation
	carryOut := func() error {
		if a.server.incarnation != incarnation || a.server.dark {
			return errNoAnswer
		}
		return order()
	}
	if a.server.isLate() {
		a.fleet.after(a.server.lateness(), func() { _ = carryOut() })
		a.later(timeout, func() { answer(errNoAnswer) })
		return
	}
	generation := a.generation
	a.fleet.after(callDelay, func() {
		err := carryOut()
		delay := callDelay
		if errors.Is(err, errNoAnswer) {
			delay = timeout
		}
		a.fleet.after(delay, func() { a.do(generation, func() { answer(err) }) })
	})
}

// send sends an update to an entry.
func (a *agentNode) send(e int) {
	entry := a.fleet.entries[e]
	update, ok := a.executor.Update(a.fleet.now, entry.name)
	if !ok {
		return
	}
	epoch, generation := a.links[e], entry.generation
	a.fleet.deliver(e, a, func() {
		entry.do(generation, func() {
			if entry.links[a.name].epoch == epoch {
				entry.perform(entry.scheduler.HandleUpdate(a.fleet.now, a.name, &update))
			}
		})
	})
}

// dial links to an entry, again and again.
func (a *agentNode) dial(e int) {
	entry := a.fleet.entries[e]
	if a.links[e] != 0 {
		return
	}
	if !a.executor.Clean(a.fleet.now, a.started) || !entry.up || a.fleet.isCut(e, a) {
		a.later(redialDelay, func() { a.dial(e) })
		return
	}
	a.fleet.sequence++
	epoch := a.fleet.sequence
	a.links[e] = epoch
	a.refs[e] = pollenfront.EntryRef{Incarnation: entry.incarnation, Name: entry.name}
	runs, fx := a.executor.LinkEntry(a.fleet.now, a.refs[e])
	hello := &tasklink.Hello{Incarnation: a.incarnation, Name: a.name, Runs: runs, Service: service, Version: tasklink.Version, Zone: zone}
	generation := entry.generation
	a.fleet.deliver(e, a, func() {
		if entry.generation != generation || !entry.up {
			a.fleet.closeAgentSide(e, a, epoch)
			return
		}
		entry.do(generation, func() {
			entry.links[a.name] = entryLink{epoch: epoch, incarnation: hello.Incarnation}
			entry.perform(entry.scheduler.LinkAgent(a.fleet.now, hello))
		})
	})
	a.watch(e, epoch, a.fleet.now)
	a.perform(fx)
	a.send(e)
}

// watch closes a link over which nothing comes.
func (a *agentNode) watch(e int, epoch uint64, heard time.Duration) {
	a.later(linkSilence/4, func() {
		if a.links[e] != epoch {
			return
		}
		if a.heard[e] > heard {
			heard = a.heard[e]
		}
		if a.fleet.now-heard > linkSilence {
			a.fleet.closeEntrySide(e, a, epoch)
			a.fleet.closeAgentSide(e, a, epoch)
			return
		}
		a.watch(e, epoch, heard)
	})
}
