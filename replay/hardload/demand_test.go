package hardload_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/replay"
)

// TestSharesUnderKills guards against servers that are idle or overcommitted by the shares
// that entries count on, while entries with jobs are killed and start again.
func TestSharesUnderKills(t *testing.T) {
	tests := []struct {
		name            string
		entries, agents int
		load            float64
	}{
		{name: "13 entries, 73 agents", entries: 13, agents: 73, load: 1.5},
		{name: "55 entries, 240 agents", entries: 55, agents: 240, load: 0.75},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			settings := replay.Settings{Agents: test.agents, DemandShares: true, Entries: test.entries, Seed: 1, Zones: 3}
			f := replay.NewFleet(settings)
			f.DemandWave()
			f.Load(replay.Mix[1:2], 500*time.Millisecond, 7*time.Second, replay.ScaleLoad(settings, test.load))
			f.KillEntry(3*time.Second, 2, 2*time.Second)
			f.KillEntry(3*time.Second, 5, 2*time.Second)
			f.WatchShares(2*time.Second, 7500*time.Millisecond)
			result := f.Run(8 * time.Second)
			c.Assert(result.Violations, qt.HasLen, 0)
			c.Assert(result.Submitted["large"] > 0, qt.IsTrue)
		})
	}
}

// TestBusyEntry guards against an entry that refuses jobs because its servers are full
// while others have room. The demand at one of 22 entries is 40 % of all, with 60 % of the
// capacity in use.
func TestBusyEntry(t *testing.T) {
	c := qt.New(t)
	run := func(change func(s *replay.Settings)) *replay.EntryCounts {
		settings := replay.ManyEntries(1)
		change(&settings)
		f := replay.NewFleet(settings)
		f.BusyEntry(0.4)
		f.Load(replay.Mix, 2*time.Second, 6*time.Second, replay.ScaleLoad(settings, 0.9))
		result := f.Run(9 * time.Second)
		c.Assert(result.Violations, qt.HasLen, 0)
		t.Logf("busy entry %+v, messages %d", *result.Entries[0], result.Messages)
		return result.Entries[0]
	}
	equal := run(func(*replay.Settings) {})
	shares := run(func(s *replay.Settings) { s.DemandShares, s.CellOnly = true, true })
	links := run(func(s *replay.Settings) { s.DemandShares = true })
	c.Check(shares.Refused < equal.Refused, qt.IsTrue)
	c.Check(links.Refused < shares.Refused, qt.IsTrue)
}
