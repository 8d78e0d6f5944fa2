package replay

import "time"

// deliver delivers a message between an entry and an agent after the network delay. If
// they are partitioned by then, the message is held until the partition ends.
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

// isPartitioned reports whether an entry is partitioned from an agent.
func (f *Fleet) isPartitioned(entry int, a *agentNode) bool {
	return f.partitions[[2]int{entry, a.index}] > 0
}

// closeEntrySide closes the entry's side of a link after the network delay, or later if
// the entry is partitioned from the agent or suspended.
func (f *Fleet) closeEntrySide(entry int, a *agentNode, epoch uint64) {
	e := f.entries[entry]
	generation := e.generation
	f.deliver(entry, a, func() {
		e.handleEvent(generation, func() {
			if link, ok := e.links[a.name]; ok && link.epoch == epoch {
				delete(e.links, a.name)
				e.scheduler.UnlinkAgent(a.name, link.incarnation)
			}
		})
	})
}

// closeAgentSide closes the agent's side of a link without network delay. The agent
// dials again after redialDelay.
func (f *Fleet) closeAgentSide(entry int, a *agentNode, epoch uint64) {
	a.handleEvent(a.generation, func() {
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

// KillEntry kills an entry and restarts it after a delay. It does nothing if the entry
// is down.
func (f *Fleet) KillEntry(at time.Duration, entry int, down time.Duration) {
	f.scheduleAt(at, func() {
		if f.entries[entry].up {
			f.entries[entry].kill(down)
		}
	})
}

// KillAgent kills an agent, but not its server, and restarts it after a delay. It does
// nothing if the agent is down.
func (f *Fleet) KillAgent(at time.Duration, agent int, down time.Duration) {
	f.scheduleAt(at, func() {
		if f.agents[agent].up {
			f.agents[agent].kill(down)
		}
	})
}

// SuspendEntry suspends the process of an entry for some time.
func (f *Fleet) SuspendEntry(at time.Duration, entry int, d time.Duration) {
	f.scheduleAt(at, func() { f.entries[entry].suspend(d) })
}

// SuspendAgent suspends the process of an agent, but not its server, for some time.
func (f *Fleet) SuspendAgent(at time.Duration, agent int, d time.Duration) {
	f.scheduleAt(at, func() { f.agents[agent].suspend(d) })
}

// CrashServer crashes a server, which restarts after a delay.
func (f *Fleet) CrashServer(at time.Duration, agent int, down time.Duration) {
	f.scheduleAt(at, func() {
		s := f.agents[agent].server
		s.crash()
		s.unavailable = true
		lifetime := s.lifetime
		f.schedule(down, func() { s.restart(lifetime) })
	})
}

// HangServer makes a server hang for some time: the runs that it starts meanwhile never
// make progress, not even after the fault has ended.
func (f *Fleet) HangServer(at time.Duration, agent int, d time.Duration) {
	f.scheduleAt(at, func() {
		s := f.agents[agent].server
		s.hanging = true
		f.schedule(d, func() { s.hanging = false })
	})
}

// FailServer makes a server fail for some time: the runs that it starts meanwhile fail.
func (f *Fleet) FailServer(at time.Duration, agent int, d time.Duration) {
	f.scheduleAt(at, func() {
		s := f.agents[agent].server
		s.failing = true
		f.schedule(d, func() { s.failing = false })
	})
}

// SlowServer makes a server slow for some time: it multiplies the run times of the runs
// that the server starts meanwhile by a factor.
func (f *Fleet) SlowServer(at time.Duration, agent int, factor float64, d time.Duration) {
	f.scheduleAt(at, func() {
		s := f.agents[agent].server
		s.runTimeFactor *= factor
		f.schedule(d, func() { s.runTimeFactor /= factor })
	})
}

// Partition partitions an entry from an agent for some time. The messages that arrive
// meanwhile are delivered when the partition ends. Receivers ignore those of closed
// links.
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

// DelayRequests delays a share of the requests to all servers for some time. Delayed
// requests are carried out seconds later and get no response.
func (f *Fleet) DelayRequests(at time.Duration, share float64, d time.Duration) {
	f.scheduleAt(at, func() {
		for _, a := range f.agents {
			a.server.delayedRequestShare += share
			f.schedule(d, func() { a.server.delayedRequestShare -= share })
		}
	})
}

// CancelEarly makes callers leave before their answers are due. It affects a share of
// the jobs that arrive during some time.
func (f *Fleet) CancelEarly(at time.Duration, share float64, d time.Duration) {
	f.scheduleAt(at, func() {
		f.earlyCancelShare += share
		f.schedule(d, func() { f.earlyCancelShare -= share })
	})
}

// LoseAnswers makes all servers lose a share of their responses for some time, after they
// have carried out the requests.
func (f *Fleet) LoseAnswers(at time.Duration, share float64, d time.Duration) {
	f.scheduleAt(at, func() {
		for _, a := range f.agents {
			a.server.lostAnswerShare += share
			f.schedule(d, func() { a.server.lostAnswerShare -= share })
		}
	})
}
