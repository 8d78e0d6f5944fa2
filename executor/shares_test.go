package executor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// secondEntry shares the server with testEntry.
var secondEntry = pollenfront.EntryRef{Incarnation: 1, Name: "entry-2"}

// newSharingExecutor returns an executor with two linked entries that states shares.
func newSharingExecutor() *executor.Executor {
	x := executor.New("agent-1", "service", "west", 10)
	x.EnableDemandShares()
	renewFirst(x)
	x.HandleAnnouncement(at(0), pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: 12000}, Clock: time.Second, Incarnation: 1, SeqNum: 1, Zone: "west"})
	x.LinkEntry(at(0), testEntry)
	x.LinkEntry(at(0), secondEntry)
	return x
}

// settledShares returns the shares that two rounds of updates state.
func settledShares(x *executor.Executor, now time.Duration) map[string]int {
	shares := make(map[string]int)
	for range 2 {
		for _, name := range []string{testEntry.Name, secondEntry.Name} {
			if update, ok := x.NextUpdate(now, name); ok {
				shares[name] = int(update.Report.Share)
			}
		}
	}
	return shares
}

// stateDemand passes commands that state a demand.
func stateDemand(x *executor.Executor, now time.Duration, ref pollenfront.EntryRef, demand int) executor.Effects {
	return x.HandleCommands(now, ref, &tasklink.Commands{Demand: int32(demand), EchoedClock: int64(now)})
}

// TestSharesFollowDemand guards against shares that stay equal, and against shares that
// stay with an entry that has fallen silent, was released or has lost its link.
func TestSharesFollowDemand(t *testing.T) {
	equal := map[string]int{testEntry.Name: 5940, secondEntry.Name: 5940}
	byDemand := map[string]int{testEntry.Name: 8910, secondEntry.Name: 2970}
	alone := map[string]int{secondEntry.Name: 11880}
	tests := []struct {
		name  string
		event func(x *executor.Executor)
		at    int
		want  map[string]int
	}{
		{name: "demand", event: func(*executor.Executor) {}, at: 10, want: byDemand},
		{name: "silent for less than the lifetime", event: func(*executor.Executor) {}, at: 1300, want: byDemand},
		{name: "silent for longer", event: func(*executor.Executor) {}, at: 1301, want: equal},
		{name: "link ended", event: func(x *executor.Executor) { x.UnlinkEntry(testEntry) }, at: 10, want: alone},
		{name: "linked again", event: func(x *executor.Executor) {
			x.UnlinkEntry(testEntry)
			x.LinkEntry(at(5), testEntry)
		}, at: 10, want: equal},
		{name: "restarted", event: func(x *executor.Executor) {
			x.LinkEntry(at(5), pollenfront.EntryRef{Incarnation: 2, Name: testEntry.Name})
		}, at: 10, want: equal},
		{name: "retained", event: func(x *executor.Executor) {
			x.Release(at(5), testEntry.Name)
			x.Retain(testEntry.Name)
		}, at: 10, want: equal},
		{name: "released", event: func(x *executor.Executor) { x.Release(at(5), testEntry.Name) }, at: 10, want: map[string]int{testEntry.Name: 0, secondEntry.Name: 11880}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newSharingExecutor()
			stateDemand(x, at(0), testEntry, 50000)
			test.event(x)
			c.Assert(settledShares(x, at(test.at)), qt.DeepEquals, test.want)
		})
	}
}

// TestInvalidDemand guards against invalid statements that count, that are logged again
// and again, or that are not counted.
func TestInvalidDemand(t *testing.T) {
	c := qt.New(t)
	x := newSharingExecutor()
	for i := range 3 {
		effects := stateDemand(x, at(i), testEntry, -5)
		c.Assert(effects.InvalidDemands, qt.DeepEquals, []executor.InvalidDemand{{Demand: -5, Entry: testEntry.Name, First: i == 0}})
	}
	c.Assert(settledShares(x, at(10)), qt.DeepEquals, map[string]int{testEntry.Name: 5940, secondEntry.Name: 5940})
}

// TestSharesAreNoLimit guards against a share that keeps an entry from starting tasks on
// free capacity.
func TestSharesAreNoLimit(t *testing.T) {
	c := qt.New(t)
	x := newSharingExecutor()
	stateDemand(x, at(0), secondEntry, 12000)
	c.Assert(settledShares(x, at(5))[testEntry.Name], qt.Equals, 2970)
	c.Assert(startedTasks(x.HandleCommands(at(10), testEntry, startCommands(at(10), 0, 1))), qt.DeepEquals, []int{0, 1})
}

// TestNoSharesByDefault guards against shares without the setting, whatever entries state.
func TestNoSharesByDefault(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	effects := stateDemand(x, at(0), testEntry, -5)
	c.Assert(effects.InvalidDemands, qt.HasLen, 0)
	c.Assert(settledShares(x, at(5)), qt.DeepEquals, map[string]int{testEntry.Name: 0})
}
