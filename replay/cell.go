package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/cell"
)

// cellInterval is the time between two checks of which entries an agent links to.
const cellInterval = 500 * time.Millisecond

// zoneName returns the zone of the entry or agent with an index.
func (f *Fleet) zoneName(i int) string {
	return fmt.Sprintf("zone-%d", i%f.settings.Zones)
}

// entryRecords returns the records of all entries. An entry's name is its address.
func (f *Fleet) entryRecords() []pollenfront.EntryRecord {
	var records []pollenfront.EntryRecord
	for i := range f.settings.Entries {
		records = append(records, pollenfront.EntryRecord{Address: entryName(i), Name: entryName(i), Zone: f.zoneName(i)})
	}
	return records
}

// updateCell dials the entries that were added to the agent's cell, and releases those
// that were removed from it, at regular intervals.
func (a *agentNode) updateCell() {
	if !a.fleet.settings.CellOnly {
		a.cell.SetOverloaded(a.executor.OverloadedEntries(), a.executor.HasRoom(a.fleet.now))
	}
	addresses := a.cell.Update(a.fleet.now, a.cellLinks())
	a.wanted = make(map[int]bool, len(addresses))
	for e, entry := range a.fleet.entries {
		if _, ok := slices.BinarySearch(addresses, entry.name); !ok && !a.fleet.settings.FullMesh {
			a.release(e)
			continue
		}
		a.wanted[e] = true
		a.applyEffects(a.executor.Retain(entry.name))
		if !a.dialing[e] {
			a.dialing[e] = true
			a.dial(e)
		}
	}
	a.schedule(cellInterval, a.updateCell)
}

// cellLinks returns the open links.
func (a *agentNode) cellLinks() []cell.Link {
	var links []cell.Link
	for e, entry := range a.fleet.entries {
		if a.linkEpochs[e] != 0 {
			links = append(links, cell.Link{Address: entry.name, AgentCount: a.agentCounts[e]})
		}
	}
	return links
}

// release closes the link to an entry once no run of the entry is left.
func (a *agentNode) release(e int) {
	name, epoch := a.fleet.entries[e].name, a.linkEpochs[e]
	if epoch == 0 {
		return
	}
	if !a.executor.Released(name) {
		a.applyEffects(a.executor.Release(a.fleet.now, name))
		return
	}
	a.fleet.closeEntrySide(e, a, epoch)
	a.fleet.closeAgentSide(e, a, epoch)
}
