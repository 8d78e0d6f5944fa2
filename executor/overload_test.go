package executor_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/demandshare"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestOverloadedEntries guards against an overloaded entry that is not named to the other
// entry, one that is named to itself, and one that is named although its demand is met.
func TestOverloadedEntries(t *testing.T) {
	c := qt.New(t)
	hash := demandshare.NameHash(testEntry.Name)
	x := newSharingExecutor()
	stateDemand(x, at(0), testEntry, 10000)
	x.Tick(at(10))
	c.Assert(x.OverloadedEntries(), qt.HasLen, 0)

	x = newSharingExecutor()
	stateDemand(x, at(0), testEntry, 12000)
	stateDemand(x, at(0), secondEntry, 4000)
	x.Tick(at(10))
	c.Assert(x.OverloadedEntries(), qt.DeepEquals, []uint32{hash})
	update, _ := x.NextUpdate(at(10), secondEntry.Name)
	c.Check(update.Report.Overloaded, qt.Equals, hash)
	update, _ = x.NextUpdate(at(10), testEntry.Name)
	c.Check(update.Report.Overloaded, qt.Equals, uint32(0))
	x.Tick(at(1400)) // The statements have expired.
	c.Assert(x.OverloadedEntries(), qt.HasLen, 0)
}

// TestHeardEntries guards against an entry that stays overloaded when no other entry names
// it any more, and against one that is passed on to entries: it must not be heard of
// from agents which have it from entries, as it would then never be forgotten.
func TestHeardEntries(t *testing.T) {
	c := qt.New(t)
	x := newSharingExecutor()
	x.HandleCommands(at(0), testEntry, &tasklink.Commands{EchoedClock: int64(at(0)), Overloaded: 7})
	x.Tick(at(1500))
	c.Assert(x.OverloadedEntries(), qt.DeepEquals, []uint32{7})
	update, _ := x.NextUpdate(at(1500), secondEntry.Name)
	c.Check(update.Report.Overloaded, qt.Equals, uint32(0))
	x.Tick(at(1501))
	c.Assert(x.OverloadedEntries(), qt.HasLen, 0)
}

// TestHasRoom guards against links to overloaded entries from a server that is full.
func TestHasRoom(t *testing.T) {
	c := qt.New(t)
	x := newSharingExecutor()
	c.Assert(x.HasRoom(at(0)), qt.IsTrue)
	x.HandleCommands(at(10), testEntry, startCommands(at(10), 0, 1))
	c.Assert(x.HasRoom(at(0)), qt.IsFalse)
}
