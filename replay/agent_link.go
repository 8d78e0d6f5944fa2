package replay

import (
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// sendUpdates sends an update to each linked entry at regular intervals.
func (a *agentNode) sendUpdates() {
	for e := range a.fleet.entries {
		if a.linkEpochs[e] != 0 {
			a.sendUpdate(e)
		}
	}
	a.schedule(executor.UpdateInterval, a.sendUpdates)
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
	cancellations := a.executor.NextCancellations(a.fleet.now, entry.name)
	hello := &tasklink.Hello{
		Cancellations: cancellations, Incarnation: a.incarnation, Name: a.name, Runs: runs, Service: service, Token: a.executor.ReservedToken(),
		Version: tasklink.Version, Zone: a.zone,
	}
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
