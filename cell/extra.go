package cell

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/demandshare"
)

// Parameters of extra links.
const (
	// extraHold is how long an extra link is kept after the entry was last named as
	// overloaded. It is longer than the troughs between two bursts.
	extraHold = 3 * time.Second
	// linksPerUpdate is the number of agents that link to an overloaded entry in each
	// interval of Update, on average. All agents with room hear of it within a second;
	// if all linked, thousands would.
	linksPerUpdate = 4
	// maxExtra is the largest number of extra links of an agent.
	maxExtra = 2
)

// extraLinks are the links of an agent to overloaded entries that are not in its cell.
type extraLinks struct {
	// byHash are the registered entries by the hash of their names.
	byHash map[uint32]pollenfront.EntryRecord
	// named holds, for each entry with an extra link, the time at which it was last named
	// as overloaded, by the hash of its name.
	named map[uint32]time.Duration
	// overloaded are the hashes of the names of the overloaded entries.
	overloaded []uint32
	// room is set if the agent's server can serve further entries.
	room bool
}

// SetOverloaded sets the overloaded entries, by the hashes of their names, and whether the
// agent's server has room for one of them. A few of the agents with room link to an
// overloaded entry with each Update, as long as it is overloaded. They release the
// link when the entry was not overloaded for extraHold.
func (c *Cell) SetOverloaded(hashes []uint32, room bool) {
	c.extra.overloaded, c.extra.room = hashes, room
}

// setEntries sets the registered entries.
func (x *extraLinks) setEntries(entries []pollenfront.EntryRecord) {
	x.byHash = make(map[uint32]pollenfront.EntryRecord, len(entries))
	for _, e := range entries {
		x.byHash[demandshare.NameHash(e.Name)] = e
	}
}

// addExtra releases and chooses extra links, and adds their addresses to those of the cell.
func (c *Cell) addExtra(now time.Duration, wanted map[string]bool, links []Link) {
	x := &c.extra
	if x.named == nil {
		x.named = make(map[uint32]time.Duration)
	}
	maps.DeleteFunc(x.named, func(hash uint32, named time.Duration) bool {
		e, registered := x.byHash[hash]
		return !registered || wanted[e.Address] || now-named > extraHold
	})
	for _, hash := range x.overloaded {
		e, registered := x.byHash[hash]
		if !registered || wanted[e.Address] {
			continue
		}
		if _, linked := x.named[hash]; linked || x.room && len(x.named) < maxExtra && c.drawLink(now, e.Name, links) {
			x.named[hash] = now
		}
	}
	for _, hash := range slices.Sorted(maps.Keys(x.named)) {
		wanted[x.byHash[hash].Address] = true
	}
}

// drawLink reports whether the agent is among the linksPerUpdate ones that link to an entry
// now. The number of all agents follows from the links of the entries and the cell's size.
func (c *Cell) drawLink(now time.Duration, entry string, links []Link) bool {
	mean, known := meanAgentCount(links)
	if !known {
		return false
	}
	agents := mean * float64(len(c.ranked)) / float64(min(c.size, len(c.ranked)))
	draw := float64(weight(entry, c.agent+strconv.FormatInt(int64(now), 10))) / math.MaxUint64
	return draw < linksPerUpdate/agents
}
