package scheduler

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
)

// primaryEntries returns the home of each of some agents, as all entries together see it.
func primaryEntries(c *qt.C, entries []pollenfront.EntryRecord, agents map[string]string) map[string]string {
	home := make(map[string]string)
	for _, e := range entries {
		s := New(0, e.Name, e.Zone)
		s.SetEntries(entries)
		for name, zone := range agents {
			if s.isPrimary(&agent{AgentRef: pollenfront.AgentRef{Name: name}, zone: zone}) {
				c.Assert(home[name], qt.Equals, "", qt.Commentf("%s has two homes", name))
				home[name] = e.Name
			}
		}
	}
	c.Assert(home, qt.HasLen, len(agents))
	return home
}

// TestHomes checks that each server has one home, in its zone where an entry
// is there, that homes are spread, and that a new entry moves only its share.
func TestHomes(t *testing.T) {
	c := qt.New(t)
	zones := []string{"west", "east", "north"}
	agents := make(map[string]string)
	for i := range 300 {
		agents[fmt.Sprintf("agent-%d", i)] = zones[i%len(zones)]
	}
	var entries []pollenfront.EntryRecord
	zoneOf := make(map[string]string)
	for i := range 8 {
		e := pollenfront.EntryRecord{Name: fmt.Sprintf("entry-%d", i), Zone: zones[i%2]} // None in the north.
		entries = append(entries, e)
		zoneOf[e.Name] = e.Zone
	}
	before := primaryEntries(c, entries, agents)
	count := make(map[string]int)
	for name, home := range before {
		count[home]++
		if agents[name] != "north" {
			c.Assert(zoneOf[home], qt.Equals, agents[name])
		}
	}
	for _, e := range entries {
		c.Assert(count[e.Name] > 15 && count[e.Name] < 75, qt.IsTrue, qt.Commentf("%s is home to %d", e.Name, count[e.Name]))
	}
	added := append(slices.Clone(entries), pollenfront.EntryRecord{Name: "entry-8", Zone: "east"})
	for name, home := range primaryEntries(c, added, agents) {
		c.Assert(home == before[name] || home == "entry-8", qt.IsTrue, qt.Commentf("%s moved from %s to %s", name, before[name], home))
	}
}
