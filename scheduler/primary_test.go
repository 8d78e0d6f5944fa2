package scheduler

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
)

// primaryEntries returns the primary entry of each agent, by the agents' names. It
// asks every entry, and checks that exactly one of them is the primary entry of an
// agent's server. agents has the zones of the agents by name.
func primaryEntries(c *qt.C, entries []pollenfront.EntryRecord, agents map[string]string) map[string]string {
	primary := make(map[string]string)
	for _, e := range entries {
		s := New(0, e.Name, e.Zone)
		s.SetEntries(entries)
		for name, zone := range agents {
			if s.isPrimary(&agent{AgentRef: pollenfront.AgentRef{Name: name}, zone: zone}) {
				c.Assert(primary[name], qt.Equals, "", qt.Commentf("%s has two primary entries", name))
				primary[name] = e.Name
			}
		}
	}
	c.Assert(primary, qt.HasLen, len(agents))
	return primary
}

// TestPrimaryEntries checks that each server has one primary entry, in the server's
// zone if that zone has an entry, that the servers are spread over the entries, and
// that when an entry is added, no server moves to any other entry than the new one.
func TestPrimaryEntries(t *testing.T) {
	c := qt.New(t)
	zones := []string{"west", "east", "north"}
	agents := make(map[string]string)
	for i := range 300 {
		agents[fmt.Sprintf("agent-%d", i)] = zones[i%len(zones)]
	}
	var entries []pollenfront.EntryRecord
	zoneOf := make(map[string]string)
	for i := range 8 {
		e := pollenfront.EntryRecord{Name: fmt.Sprintf("entry-%d", i), Zone: zones[i%2]} // The zone north has no entry.
		entries = append(entries, e)
		zoneOf[e.Name] = e.Zone
	}
	before := primaryEntries(c, entries, agents)
	count := make(map[string]int)
	for name, primary := range before {
		count[primary]++
		if agents[name] != "north" {
			c.Assert(zoneOf[primary], qt.Equals, agents[name])
		}
	}
	for _, e := range entries {
		c.Assert(count[e.Name] > 15 && count[e.Name] < 75, qt.IsTrue, qt.Commentf("%s is the primary entry of %d servers", e.Name, count[e.Name]))
	}
	added := append(slices.Clone(entries), pollenfront.EntryRecord{Name: "entry-8", Zone: "east"})
	for name, primary := range primaryEntries(c, added, agents) {
		c.Assert(primary == before[name] || primary == "entry-8", qt.IsTrue, qt.Commentf("%s moved from %s to %s", name, before[name], primary))
	}
}
