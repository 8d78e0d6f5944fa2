package replay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/cell"
	"github.com/pollenfront/pollenfront/replay"
)

// TestCells compares cells with links from every agent to every entry. Cells must serve
// callers as well with a few messages, and better when the load exceeds the capacity:
// the fewer entries share a server, the less often two send it tasks for the same free
// resources.
func TestCells(t *testing.T) {
	tests := []struct {
		pattern    string
		minGain    float64 // minGain is the smallest acceptable difference of the value shares.
		maxTraffic float64 // maxTraffic is the largest acceptable share of the messages, those of the work included.
	}{
		{pattern: "many entries that see the same servers free", minGain: -0.01, maxTraffic: 0.75},
		{pattern: "60 % of the room, many entries", minGain: -0.01, maxTraffic: 0.5},
		{pattern: "130 % of the room, many entries", minGain: 0, maxTraffic: 0.5},
	}
	for _, test := range tests {
		t.Run(test.pattern, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			pattern := patternByName(test.pattern)
			cells := pattern.Run(1, func(*replay.Settings) {})
			mesh := pattern.Run(1, func(s *replay.Settings) { s.FullMesh = true })
			cellsShare, _ := cells.ValueShares()
			meshShare, _ := mesh.ValueShares()
			traffic := float64(cells.Messages) / float64(mesh.Messages)
			t.Logf("value: cells %.3f, mesh %.3f; messages: %d, share %.2f", cellsShare, meshShare, cells.Messages, traffic)
			c.Assert(cells.Violations, qt.HasLen, 0)
			c.Check(cellsShare-meshShare >= test.minGain, qt.IsTrue)
			c.Check(traffic <= test.maxTraffic, qt.IsTrue)
		})
	}
}

// TestCellsWithoutLoad checks that without load the messages are reduced as the links are.
func TestCellsWithoutLoad(t *testing.T) {
	c := qt.New(t)
	messages := func(fullMesh bool) float64 {
		settings := replay.ManyEntries(1)
		settings.FullMesh = fullMesh
		result := replay.NewFleet(settings).Run(5 * time.Second)
		return float64(result.Messages)
	}
	links := float64(cell.DefaultSize) / float64(replay.ManyEntries(1).Entries)
	share := messages(false) / messages(true)
	t.Logf("share of the messages %.3f, of the links %.3f", share, links)
	c.Assert(share <= links, qt.IsTrue)
}

// TestZoneLost checks that the other zones serve almost all jobs soon after a zone is
// lost, and that all zones do soon after it has returned.
func TestZoneLost(t *testing.T) {
	c := qt.New(t)
	settings := replay.ManyEntries(1)
	f := replay.NewFleet(settings)
	f.Load(replay.Mix, time.Second, 14*time.Second, replay.ScaleLoad(settings, 0.6))
	for e := 0; e < settings.Entries; e += settings.Zones {
		f.KillEntry(4*time.Second, e, 4*time.Second)
	}
	for a := 0; a < settings.Agents; a += settings.Zones {
		f.KillAgent(4*time.Second, a, 4*time.Second)
		f.CrashServer(4*time.Second, a, 4*time.Second)
	}
	result := f.Run(18 * time.Second)
	c.Assert(result.Violations, qt.HasLen, 0)
	for second := 2; second < 15; second++ {
		share := result.EarnedValue[second] / result.OfferedValue[second]
		t.Logf("second %d: %.3f", second, share)
		// The zone is lost from second 5 to 9 of the clock, and jobs that arrived in
		// second 4 are hit. Entries are substituted after two seconds.
		if second < 4 || second == 8 || second >= 11 {
			c.Check(share >= 0.95, qt.IsTrue, qt.Commentf("second %d", second))
		}
	}
}
