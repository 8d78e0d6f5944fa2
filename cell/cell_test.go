package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
)

// zones are the zones over which the tests spread entries and agents.
var zones = []string{"west", "east", "north", "south", "centre"}

// records returns the records of a number of entries that are spread over the zones.
func records(count int) []pollenfront.EntryRecord {
	var entries []pollenfront.EntryRecord
	for i := range count {
		entries = append(entries, pollenfront.EntryRecord{Address: fmt.Sprintf("10.0.0.%d:1", i), Name: fmt.Sprintf("entry-%d", i), Zone: zones[i%len(zones)]})
	}
	return entries
}

// links returns open links to addresses at which the entries state an agent count.
func links(addresses []string, agentCount int) []Link {
	var open []Link
	for _, address := range addresses {
		open = append(open, Link{Address: address, AgentCount: agentCount})
	}
	return open
}

// newCell returns the cell of an agent that knows the given entries.
func newCell(agent, zone string, entries []pollenfront.EntryRecord) *Cell {
	c := New(0, agent, zone, []string{"10.9.9.9:1"})
	c.SetEntries(entries)
	return c
}

// TestFewEntries checks that an agent links to all entries of a small deployment.
func TestFewEntries(t *testing.T) {
	for _, count := range []int{1, 3, DefaultSize} {
		qt.Assert(t, newCell("agent-1", "west", records(count)).Update(0, nil), qt.HasLen, count)
	}
}

// TestSpread checks that half of each cell is in the agent's zone, and that all entries
// are in similar numbers of cells, both of the whole fleet and of the zones that are
// left when one is lost.
func TestSpread(t *testing.T) {
	c := qt.New(t)
	entries := records(55)
	zoneOf := make(map[string]string)
	for _, e := range entries {
		zoneOf[e.Address] = e.Zone
	}
	count, outsideZone := make(map[string]int), make(map[string]int)
	for i := range 240 {
		zone := zones[i%len(zones)]
		members := newCell(fmt.Sprintf("agent-%d", i), zone, entries).Update(0, nil)
		c.Assert(members, qt.HasLen, DefaultSize)
		inZone := 0
		for _, address := range members {
			count[address]++
			if zoneOf[address] == zone {
				inZone++
			} else {
				outsideZone[address]++
			}
		}
		c.Assert(inZone, qt.Equals, DefaultSize/2)
	}
	for _, e := range entries {
		c.Check(count[e.Address] >= 14 && count[e.Address] <= 40, qt.IsTrue, qt.Commentf("%s is in %d cells", e.Name, count[e.Address]))
		c.Check(outsideZone[e.Address] >= 4, qt.IsTrue, qt.Commentf("%s is in %d cells of other zones", e.Name, outsideZone[e.Address]))
	}
}

// TestAddedEntry checks that a new entry replaces at most one member of any cell.
func TestAddedEntry(t *testing.T) {
	c := qt.New(t)
	entries := records(55)
	added := append(slices.Clone(entries), pollenfront.EntryRecord{Address: "10.0.1.1:1", Name: "entry-55", Zone: "west"})
	for i := range 100 {
		agent := fmt.Sprintf("agent-%d", i)
		before := newCell(agent, "west", entries).Update(0, nil)
		kept := 0
		for _, address := range newCell(agent, "west", added).Update(0, nil) {
			if slices.Contains(before, address) {
				kept++
			}
		}
		c.Assert(kept >= DefaultSize-1, qt.IsTrue)
	}
}

// TestSubstitute checks that an entry that can't be linked is substituted after
// substituteDelay, is dialed all the same, and takes its place again when it is linked.
func TestSubstitute(t *testing.T) {
	c := qt.New(t)
	cell := newCell("agent-1", "west", records(55))
	members := cell.Update(0, nil)
	rest := members[1:]
	c.Assert(cell.Update(substituteDelay, links(rest, 35)), qt.DeepEquals, members)
	substituted := cell.Update(substituteDelay+time.Millisecond, links(rest, 35))
	c.Assert(substituted, qt.HasLen, DefaultSize+1)
	c.Assert(slices.Contains(substituted, members[0]), qt.IsTrue)
	c.Assert(cell.Update(substituteDelay+time.Second, links(substituted, 35)), qt.DeepEquals, members)
}

// TestPartitioned checks that an agent that reaches no entry dials a limited number of
// them, and the seeds.
func TestPartitioned(t *testing.T) {
	c := qt.New(t)
	cell := newCell("agent-1", "west", records(500))
	var wanted []string
	for now := time.Duration(0); now < time.Minute; now += time.Second {
		wanted = cell.Update(now, nil)
	}
	c.Assert(slices.Contains(wanted, "10.9.9.9:1"), qt.IsTrue)
	c.Assert(len(wanted) <= 2*rankLimit*DefaultSize+1, qt.IsTrue, qt.Commentf("%d addresses", len(wanted)))
}

// TestSmallService checks that the cell grows while the entries have links to few agents
// of the service, and shrinks again when there are many.
func TestSmallService(t *testing.T) {
	c := qt.New(t)
	cell := newCell("agent-1", "west", records(55))
	members := cell.Update(0, nil)
	c.Assert(cell.Update(resizeDelay-time.Millisecond, links(members, 1)), qt.HasLen, DefaultSize)
	members = cell.Update(resizeDelay, links(members, 1))
	c.Assert(members, qt.HasLen, 55)
	c.Assert(cell.Update(resizeDelay+time.Second, links(members, 200)), qt.HasLen, 55)
	members = cell.Update(2*resizeDelay, links(members, 200))
	c.Assert(members, qt.HasLen, 7, qt.Commentf("24 of 200 agents are 7 of 55 entries"))
	c.Assert(cell.Update(4*resizeDelay, links(members, 300)), qt.HasLen, DefaultSize)
	c.Assert(cell.Update(6*resizeDelay, links(members, 35)), qt.HasLen, DefaultSize)
}

// TestSeeds checks that the seeds are dialed only while no registered entry is known.
func TestSeeds(t *testing.T) {
	c := qt.New(t)
	cell := New(0, "agent-1", "west", []string{"10.9.9.9:1"})
	c.Assert(cell.Update(0, nil), qt.HasLen, 0)
	c.Assert(cell.Update(seedDelay, nil), qt.DeepEquals, []string{"10.9.9.9:1"})
	cell.SetEntries(records(1))
	c.Assert(cell.Update(time.Second, nil), qt.DeepEquals, []string{"10.0.0.0:1"})
}

// TestPrimaryIsMember checks that the primary entry of a server is in the cell of its
// agent.
func TestPrimaryIsMember(t *testing.T) {
	c := qt.New(t)
	entries := records(55)
	for i := range 240 {
		agent, zone := fmt.Sprintf("agent-%d", i), zones[i%len(zones)]
		primary := Primary(agent, zone, entries)
		e := entries[slices.IndexFunc(entries, func(e pollenfront.EntryRecord) bool { return e.Name == primary })]
		c.Assert(e.Zone, qt.Equals, zone)
		c.Assert(slices.Contains(newCell(agent, zone, entries).Update(0, nil), e.Address), qt.IsTrue)
	}
}

// TestRecordsOfAnotherWriter guards against an agent without links because thousands of
// records of another writer, to which nothing answers, rank before those of the entries.
func TestRecordsOfAnotherWriter(t *testing.T) {
	c := qt.New(t)
	seed := "10.0.0.1:7000"
	agent := New(0, "agent-1", "west", []string{seed})
	all := []pollenfront.EntryRecord{{Address: seed, Incarnation: 1, Name: "entry-1", Zone: "west"}}
	for i := range 5000 {
		zone := []string{"west", "no-such-zone"}[i%2]
		all = append(all, pollenfront.EntryRecord{Address: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250), Incarnation: 1, Name: fmt.Sprintf("odd-%d", i), Zone: zone})
	}
	agent.SetEntries(all)
	wanted := agent.Update(0, nil)
	for now := time.Duration(0); now < 10*time.Second; now += 500 * time.Millisecond {
		wanted = agent.Update(now, nil)
		c.Assert(len(wanted) <= 6*DefaultSize+1, qt.IsTrue, qt.Commentf("%d addresses are dialed", len(wanted)))
	}
	c.Assert(slices.Contains(wanted, seed), qt.IsTrue)
	// The link to the seed is kept while the others remain unreachable.
	for now := 10 * time.Second; now < time.Minute; now += 500 * time.Millisecond {
		c.Assert(slices.Contains(agent.Update(now, []Link{{Address: seed, AgentCount: 20}}), seed), qt.IsTrue, qt.Commentf("%v", now))
	}
}
