package replay_test

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
