package hardload_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/replay"
)

// TestDemandWave guards against violated invariants while demand of four to one moves from
// entry to entry, one entry has little of it, and one is killed at its peak. It logs how
// the jobs of each entry were answered with equal shares and with shares by demand.
func TestDemandWave(t *testing.T) {
	const killed = 6
	modes := []struct {
		name   string
		change func(s *replay.Settings)
	}{
		{name: "equal shares", change: func(*replay.Settings) {}},
		{name: "shares by demand", change: func(s *replay.Settings) { s.DemandShares = true }},
	}
	for _, mode := range modes {
		t.Run(mode.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			settings := replay.Settings{Agents: 73, Entries: 13, RunTimeFactors: []float64{0.55, 1.2, 1.2, 1.2}, Seed: 1, Zones: 3}
			mode.change(&settings)
			f := replay.NewFleet(settings)
			f.DemandWave()
			f.Load(replay.Mix, time.Second, 16*time.Second, replay.ScaleLoad(settings, 1.5))
			f.KillEntry(killed*15*time.Second/13, killed, 3*time.Second)
			result := f.Run(20 * time.Second)
			c.Assert(result.Violations, qt.HasLen, 0)
			value, _ := result.ValueShares()
			t.Logf("value %.4f, on time %.4f", value, result.OnTimeShare())
			for e := range settings.Entries {
				counts := result.Entries[e]
				c.Assert(counts.Late+counts.OnTime+counts.Refused+counts.Unknown, qt.Equals, counts.Submitted)
				t.Logf("entry %d: %+v", e, *counts)
			}
		})
	}
}
