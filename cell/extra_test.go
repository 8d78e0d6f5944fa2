package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/cell"
	"github.com/pollenfront/pollenfront/demandshare"
)

// extraTest is an agent in a fleet of 40 entries with 26 links each.
type extraTest struct {
	cell    *cell.Cell
	members []string
	now     time.Duration
}

// newExtraTest returns an agent that is linked to its cell.
func newExtraTest(agent string) *extraTest {
	e := &extraTest{cell: cell.New(0, agent, "west", nil), now: time.Second}
	var records []pollenfront.EntryRecord
	for i := range 40 {
		name := fmt.Sprintf("entry-%d", i)
		records = append(records, pollenfront.EntryRecord{Address: name, Name: name, Zone: "west"})
	}
	e.cell.SetEntries(records)
	e.members = e.cell.Update(e.now, nil)
	return e
}

// update advances the time to the next update and returns the links beyond the cell.
func (e *extraTest) update() []string {
	e.now += 500 * time.Millisecond
	var links []cell.Link
	for _, address := range e.members {
		links = append(links, cell.Link{Address: address, AgentCount: 26})
	}
	return slices.DeleteFunc(e.cell.Update(e.now, links), func(address string) bool { return slices.Contains(e.members, address) })
}

// TestExtraLinks guards against agents that link to overloaded entries without room, all
// at once, more often than twice, or for longer than the overload lasts.
func TestExtraLinks(t *testing.T) {
	c := qt.New(t)
	var overloaded []uint32
	for i := range 40 {
		overloaded = append(overloaded, demandshare.NameHash(fmt.Sprintf("entry-%d", i)))
	}
	joined := 0
	for i := range 173 { // The number of agents that 40 entries with 26 links and cells of six have.
		e := newExtraTest(fmt.Sprintf("agent-%d", i))
		e.cell.SetOverloaded(overloaded[:1], false)
		c.Assert(e.update(), qt.HasLen, 0)
		e.cell.SetOverloaded(overloaded[:1], true)
		joined += len(e.update())
	}
	// Four are expected. The chance of more than 12 is below 0.1 %.
	c.Check(joined > 0 && joined <= 12, qt.IsTrue, qt.Commentf("%d agents", joined))

	e := newExtraTest("agent-1")
	e.cell.SetOverloaded(overloaded, true)
	var extra []string
	for range 40 {
		extra = e.update()
		c.Assert(len(extra) <= 2, qt.IsTrue)
	}
	c.Assert(extra, qt.HasLen, 2)
	e.cell.SetOverloaded(nil, true)
	for range 6 {
		c.Assert(e.update(), qt.DeepEquals, extra)
	}
	c.Assert(e.update(), qt.HasLen, 0)
}

// TestExtraLinkOfRemovedEntry guards against a link to an entry that is not registered any
// more, and against an unknown hash.
func TestExtraLinkOfRemovedEntry(t *testing.T) {
	c := qt.New(t)
	e := newExtraTest("agent-1")
	e.cell.SetOverloaded([]uint32{12345}, true)
	for range 100 {
		c.Assert(e.update(), qt.HasLen, 0)
	}
	e.cell.SetOverloaded([]uint32{demandshare.NameHash("entry-0"), demandshare.NameHash("entry-1"), demandshare.NameHash("entry-2")}, true)
	for range 200 {
		e.update()
	}
	c.Assert(len(e.update()) > 0, qt.IsTrue)
	var records []pollenfront.EntryRecord
	for _, address := range e.members {
		records = append(records, pollenfront.EntryRecord{Address: address, Name: address, Zone: "west"})
	}
	e.cell.SetEntries(records)
	c.Assert(e.update(), qt.HasLen, 0)
}
