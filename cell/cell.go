// Package cell decides which entries an agent links to.
//
// With a link from every agent to every entry, the cost of reports and heartbeats
// grows with the product of the numbers of agents and entries. Therefore an agent
// links to a few entries only, which are its cell. The cells of different agents
// overlap, so that all entries share the load of a burst that arrives at one of them.
//
// These rules decide:
//
//   - A cell is drawn by rendezvous hashing over the registered entries. Half of it is
//     in the agent's zone, since links within a zone are faster and cheaper. The other
//     half is in other zones, so that entries whose zone has lost its servers still
//     reach some. When an entry is added or removed, few cells change.
//   - Every entry should reach enough servers of each service. Entries state how many
//     agents of the service they have links to; if these are few, the cell grows, up to
//     all entries.
//   - A member without a link for substituteDelay is still dialed, and the next entry
//     by weight takes its place until it has a link again.
//   - An agent whose server has room also links to up to two overloaded entries that are
//     not in its cell. See SetOverloaded.
//   - Seeds are dialed as long as no registered entry is known or linked.
//
// # Usage
//
// The caller keeps links to the addresses that Update returns, and drains and closes
// its links to others:
//
//	c := cell.New(now, "agent-1", "west", seeds)
//	c.SetEntries(records)
//	addresses := c.Update(now, links)
package cell

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollenfront/pollenfront"
)

// Parameters of cells.
const (
	// DefaultSize is the number of entries in a cell, unless entries reach too few
	// servers with it.
	DefaultSize = 6
	// forgetDelay is how long a substitute that had no link is passed over before it is
	// tried again.
	forgetDelay = 15 * time.Second
	// maxAgentCount is the mean number of agents at the entries above which a cell
	// that has grown shrinks again.
	maxAgentCount = 48
	// minAgentCount is the mean number of agents at the entries below which a cell
	// grows.
	minAgentCount = 16
	// resizeDelay is the time after a start or a change of size before the next one.
	// The entries then have links to all agents that chose them.
	resizeDelay = 4 * time.Second
	// rankLimit limits the entries that are dialed, as a multiple of the cell's size.
	// An agent that is partitioned from all of them must not go on through the list.
	rankLimit = 3
	// seedDelay is the time after the start in which the store normally returns the
	// registered entries.
	seedDelay = 300 * time.Millisecond
	// targetAgentCount is the mean number of agents at the entries for which a cell is
	// resized.
	targetAgentCount = 24
	// substituteDelay is the time without a link after which an entry is substituted.
	// Most restarts take less.
	substituteDelay = 2 * time.Second
)

// A Link is an open link to an entry.
type Link struct {
	Address string
	// AgentCount is the number of agents of this agent's service to which the entry
	// has links, or zero if the entry has not stated it yet.
	AgentCount int
}

// A Cell holds the state by which an agent chooses its entries. It is not safe for
// concurrent use.
type Cell struct {
	agent string
	// extra are the links beyond the cell.
	extra extraLinks
	// loaded is set once registered entries are known.
	loaded bool
	// memberLinked is the newest time at which a wanted registered entry had a link, or none
	// was known.
	memberLinked time.Duration
	// ranked are the registered entries by descending weight for the agent.
	ranked []pollenfront.EntryRecord
	// resized is the time of the start or of the newest change of size.
	resized time.Duration
	seeds   []string
	size    int
	started time.Duration
	// unlinked holds the addresses that were wanted but have no link.
	unlinked map[string]unlinkedEntry
	zone     string
}

// An unlinkedEntry is an entry that was wanted but has no link.
type unlinkedEntry struct {
	// since is the time at which it was first wanted, or lost its link.
	since time.Duration
	// wanted is the time at which it was last wanted.
	wanted time.Duration
}

// New returns the cell of an agent that starts now. seeds are addresses of entries that
// may not be registered.
func New(now time.Duration, agent, zone string, seeds []string) *Cell {
	return &Cell{agent: agent, memberLinked: now, resized: now, seeds: seeds, size: DefaultSize, started: now, unlinked: make(map[string]unlinkedEntry), zone: zone}
}

// SetEntries sets the registered entries.
func (c *Cell) SetEntries(entries []pollenfront.EntryRecord) {
	c.loaded = c.loaded || len(entries) > 0
	c.ranked = rank(c.agent, entries)
	c.extra.setEntries(entries)
}

// Update takes the open links and returns the addresses to which there should be links,
// sorted.
func (c *Cell) Update(now time.Duration, links []Link) []string {
	linked := make(map[string]bool, len(links))
	for _, l := range links {
		linked[l.Address] = true
		delete(c.unlinked, l.Address)
	}
	c.resize(now, links)
	wanted := make(map[string]bool)
	// Unreachable members are dialed too, so that they take their places again.
	c.addMembers(wanted, func(string) bool { return true })
	c.addMembers(wanted, func(address string) bool { return !c.isUnreachable(now, address) })
	if c.needsSeeds(now, wanted, linked) {
		for _, seed := range c.seeds {
			wanted[seed] = true
		}
	}
	c.recordUnlinked(now, wanted, linked)
	c.addExtra(now, wanted, links)
	return slices.Sorted(maps.Keys(wanted))
}

// addMembers adds the addresses of a cell of eligible entries to wanted: half of them in
// the agent's zone, if it has as many, and half in other zones.
func (c *Cell) addMembers(wanted map[string]bool, eligible func(address string) bool) {
	inZone, remote := c.split(eligible)
	local := min(len(inZone), max((c.size+1)/2, c.size-len(remote)))
	for _, address := range inZone[:local] {
		wanted[address] = true
	}
	for _, address := range remote[:min(len(remote), c.size-local)] {
		wanted[address] = true
	}
}

// split returns the addresses of eligible entries by descending weight, of those in the
// agent's zone and of the others. It looks at no more of either than the rank limit.
func (c *Cell) split(eligible func(address string) bool) (inZone, remote []string) {
	looked := make(map[bool]int)
	for _, e := range c.ranked {
		local := e.Zone == c.zone
		looked[local]++
		if looked[local] > rankLimit*c.size || !eligible(e.Address) {
			continue
		}
		if local {
			inZone = append(inZone, e.Address)
		} else {
			remote = append(remote, e.Address)
		}
	}
	return inZone, remote
}

// isUnreachable reports whether an address has been without a link for substituteDelay.
func (c *Cell) isUnreachable(now time.Duration, address string) bool {
	e, ok := c.unlinked[address]
	return ok && now-e.since > substituteDelay
}

// needsSeeds reports whether the seeds must be dialed: no registered entry is known, or
// none of the wanted ones has had a link for substituteDelay. It does not wait for all
// substitutes, since another writer may have left records to which nothing answers.
func (c *Cell) needsSeeds(now time.Duration, wanted, linked map[string]bool) bool {
	if !c.loaded {
		c.memberLinked = now
		return now-c.started >= seedDelay
	}
	for address := range wanted {
		if linked[address] {
			c.memberLinked = now
			return false
		}
	}
	return now-c.memberLinked > substituteDelay
}

// recordUnlinked records the wanted addresses without a link, and forgets the others
// after forgetDelay.
func (c *Cell) recordUnlinked(now time.Duration, wanted, linked map[string]bool) {
	for address := range wanted {
		if linked[address] {
			continue
		}
		e, ok := c.unlinked[address]
		if !ok {
			e.since = now
		}
		e.wanted = now
		c.unlinked[address] = e
	}
	maps.DeleteFunc(c.unlinked, func(_ string, e unlinkedEntry) bool { return now-e.wanted > forgetDelay })
}

// resize changes the size of the cell if the entries have links to too few agents, or
// to more than needed.
func (c *Cell) resize(now time.Duration, links []Link) {
	mean, known := meanAgentCount(links)
	if !known || now-c.resized < resizeDelay {
		return
	}
	if mean >= minAgentCount && mean <= maxAgentCount {
		return
	}
	size := int(math.Ceil(float64(c.size) * targetAgentCount / mean))
	size = max(DefaultSize, min(size, len(c.ranked)))
	if size != c.size {
		c.size, c.resized = size, now
	}
}

// meanAgentCount returns the mean of the stated agent counts, and false if no entry has
// stated one.
func meanAgentCount(links []Link) (mean float64, known bool) {
	sum, n := 0, 0
	for _, l := range links {
		if l.AgentCount > 0 {
			sum += l.AgentCount
			n++
		}
	}
	return float64(sum) / float64(max(1, n)), n > 0
}

// Primary returns the name of the primary entry of an agent's server: the one with the
// highest weight in the agent's zone, or of all entries if there are none in it. It
// returns "" if there are no entries. The primary entry is a member of the cell.
func Primary(agent, zone string, entries []pollenfront.EntryRecord) string {
	primary, maxWeight, foundInZone := "", uint64(0), false
	for _, e := range entries {
		sameZone := e.Zone == zone
		if foundInZone && !sameZone {
			continue
		}
		if w := weight(e.Name, agent); primary == "" || sameZone && !foundInZone || w > maxWeight {
			primary, maxWeight, foundInZone = e.Name, w, sameZone
		}
	}
	return primary
}

// rank returns the entries by descending weight for an agent.
func rank(agent string, entries []pollenfront.EntryRecord) []pollenfront.EntryRecord {
	return slices.SortedFunc(slices.Values(entries), func(a, b pollenfront.EntryRecord) int {
		return cmp.Or(cmp.Compare(weight(b.Name, agent), weight(a.Name, agent)), cmp.Compare(a.Name, b.Name))
	})
}

// weight returns the weight of an entry for an agent in rendezvous hashing.
func weight(entry, agent string) uint64 {
	return xxhash.Sum64String(entry + "\x00" + agent)
}
