package replay

import "time"

// deliver delivers a message between an entry and an agent. While these can't
// reach each other it is held up, as are those that follow it.
func (f *Fleet) deliver(entry int, a *agentNode, receive func()) {
	pair := [2]int{entry, a.index}
	f.schedule(f.settings.OneWayDelay, func() {
		if f.partitions[pair] > 0 {
			f.heldMessages[pair] = append(f.heldMessages[pair], receive)
			return
		}
		receive()
	})
}

// isPartitioned reports whether an entry and an agent can't reach each other.
func (f *Fleet) isPartitioned(entry int, a *agentNode) bool {
	return f.partitions[[2]int{entry, a.index}] > 0
}

// closeEntrySide closes the entry's side of a link when it notices.
func (f *Fleet) closeEntrySide(entry int, a *agentNode, epoch uint64) {
	e := f.entries[entry]
	generation := e.generation
	f.deliver(entry, a, func() {
		e.process(generation, func() {
			if link, ok := e.links[a.name]; ok && link.epoch == epoch {
				delete(e.links, a.name)
				e.scheduler.UnlinkAgent(a.name, link.incarnation)
			}
		})
	})
}

// closeAgentSide closes the agent's side of a link, and lets it dial again.
func (f *Fleet) closeAgentSide(entry int, a *agentNode, epoch uint64) {
	a.process(a.generation, func() {
		if a.linkEpochs[entry] != epoch {
			return
		}
		delete(a.linkEpochs, entry)
		a.executor.UnlinkEntry(a.entryRefs[entry])
		a.schedule(redialDelay, func() { a.dial(entry) })
	})
}

// ResetLink resets the link between an entry and an agent.
func (f *Fleet) ResetLink(at time.Duration, entry, agent int) {
	f.scheduleAt(at, func() {
		a := f.agents[agent]
		if epoch, ok := a.linkEpochs[entry]; ok {
			f.closeEntrySide(entry, a, epoch)
			f.closeAgentSide(entry, a, epoch)
		}
	})
}

// KillEntry kills an entry and starts it again after some time.
func (f *Fleet) KillEntry(at time.Duration, entry int, down time.Duration) {
	f.scheduleAt(at, func() {
		if f.entries[entry].up {
			f.entries[entry].kill(down)
		}
	})
}

// KillAgent kills an agent and starts it again after some time.
func (f *Fleet) KillAgent(at time.Duration, agent int, down time.Duration) {
	f.scheduleAt(at, func() {
		if f.agents[agent].up {
			f.agents[agent].kill(down)
		}
	})
}

// SuspendEntry suspends an entry for some time.
func (f *Fleet) SuspendEntry(at time.Duration, entry int, d time.Duration) {
	f.scheduleAt(at, func() { f.entries[entry].suspend(d) })
}

// SuspendAgent suspends an agent, and not its server, for some time.
func (f *Fleet) SuspendAgent(at time.Duration, agent int, d time.Duration) {
	f.scheduleAt(at, func() { f.agents[agent].suspend(d) })
}

// CrashServer crashes a server, which starts again after some time.
func (f *Fleet) CrashServer(at time.Duration, agent int, down time.Duration) {
	f.scheduleAt(at, func() {
		s := f.agents[agent].server
		s.crash()
		s.unavailable = true
		f.schedule(down, func() { s.unavailable = false })
	})
}

// HangServer lets what a server starts in some time make no progress.
func (f *Fleet) HangServer(at time.Duration, agent int, d time.Duration) {
	f.scheduleAt(at, func() {
		s := f.agents[agent].server
		s.hanging = true
		f.schedule(d, func() { s.hanging = false })
	})
}

// FailServer lets a server fail all that it runs for some time.
func (f *Fleet) FailServer(at time.Duration, agent int, d time.Duration) {
	f.scheduleAt(at, func() {
		s := f.agents[agent].server
		s.failing = true
		f.schedule(d, func() { s.failing = false })
	})
}

// SlowServer multiplies the run times of a server for some time.
func (f *Fleet) SlowServer(at time.Duration, agent int, times float64, d time.Duration) {
	f.scheduleAt(at, func() {
		s := f.agents[agent].server
		s.runTimeFactor *= times
		f.schedule(d, func() { s.runTimeFactor /= times })
	})
}

// Partition cuts an entry off from an agent for some time. What they send meanwhile
// arrives afterwards, if its link is still open.
func (f *Fleet) Partition(at time.Duration, entry, agent int, d time.Duration) {
	pair := [2]int{entry, agent}
	f.scheduleAt(at, func() {
		f.partitions[pair]++
		f.schedule(d, func() {
			f.partitions[pair]--
			if f.partitions[pair] > 0 {
				return
			}
			held := f.heldMessages[pair]
			f.heldMessages[pair] = nil
			for _, receive := range held {
				receive()
			}
		})
	})
}

// DelayRequests lets a share of the orders to all servers be carried out seconds
// later and not be answered, for some time.
func (f *Fleet) DelayRequests(at time.Duration, share float64, d time.Duration) {
	f.scheduleAt(at, func() {
		for _, a := range f.agents {
			a.server.delayedRequestRate += share
			f.schedule(d, func() { a.server.delayedRequestRate -= share })
		}
	})
}

// CancelEarly lets a share of the callers that come in some time leave before
// their answer is due.
func (f *Fleet) CancelEarly(at time.Duration, share float64, d time.Duration) {
	f.scheduleAt(at, func() {
		f.earlyCancelShare += share
		f.schedule(d, func() { f.earlyCancelShare -= share })
	})
}
