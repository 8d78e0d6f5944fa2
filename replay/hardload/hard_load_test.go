package hardload_test

import (
	"math"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/replay"
)

// hardSeeds is the number of seeds of the hard load patterns.
const hardSeeds = 4

// simulateHard simulates a pattern with several seeds, with the setting fair-shares or
// without, and returns the sum of the results.
func simulateHard(p replay.Pattern, fair bool) replay.Result {
	var results [hardSeeds]replay.Result
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() {
			results[i] = p.Run(uint64(i)+1, func(s *replay.Settings) { s.FairShares = fair }) //nolint:gosec // Not negative.
		})
	}
	group.Wait()
	var sum replay.Result
	for _, r := range results {
		sum.Add(r)
	}
	return sum
}

// minServedRatio is the smallest acceptable served share of the worst kind and of the largest
// tenth of each kind, as a share of that of all jobs.
const minServedRatio = 0.5

// TestFairShares guards against a kind, or the largest jobs of one, that get no answers while
// others do, and against fair shares that cost value.
func TestFairShares(t *testing.T) {
	for _, p := range replay.HardPatterns {
		t.Run(p.Name, func(t *testing.T) {
			c := qt.New(t)
			off, on := simulateHard(p, false), simulateHard(p, true)
			c.Assert(on.Violations, qt.HasLen, 0)
			offAll, all := off.Sum("", ""), on.Sum("", "")
			t.Logf("off: on time %.3f, served %.3f, value %.4f", offAll.OnTimeShare(), offAll.ServedShare(), offAll.ValueShare())
			t.Logf("on: on time %.3f, served %.3f, value %.4f", all.OnTimeShare(), all.ServedShare(), all.ValueShare())
			c.Check(all.ValueShare() >= offAll.ValueShare(), qt.IsTrue)
			for _, kind := range replay.Mix {
				for _, size := range []string{"", replay.LargestTenth} {
					before, counts := off.Sum(kind.Name, size), on.Sum(kind.Name, size)
					t.Logf("%s %s: served %.3f, on time %.3f; off: %.3f, %.3f", kind.Name, size, counts.ServedShare(), counts.OnTimeShare(),
						before.ServedShare(), before.OnTimeShare())
					c.Check(counts.ServedShare() >= minServedRatio*all.ServedShare(), qt.IsTrue)
				}
			}
		})
	}
}

// Bounds of the response of an admission limit to a step of the load.
const (
	// maxTurns is how often the strictness may turn by more than maxTurnSize: once at the
	// step and once when it ends, up and down each.
	maxTurns = 3
	// maxTurnSize is a fifth of the range of the strictness.
	maxTurnSize = 0.5
)

// TestLimitSettles guards against an admission limit that oscillates after a burst, after the
// loss of a third of the servers, and at a peak of demand.
func TestLimitSettles(t *testing.T) {
	steps := map[string]func(f *replay.Fleet){
		"burst":                     func(f *replay.Fleet) { f.Load(replay.Mix, 5*time.Second, 7*time.Second, 1.5) },
		"a third of the servers":    func(f *replay.Fleet) { loseServers(f, 4) },
		"a peak of demand for 10 s": func(f *replay.Fleet) { f.Load(replay.Mix, 5*time.Second, 15*time.Second, 0.8) },
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for seed := range uint64(hardSeeds) {
				s := replay.SmallFleet(seed + 1)
				s.FairShares, s.RecordStrictness = true, true
				f := replay.NewFleet(s)
				f.Load(replay.Mix, time.Second, 24*time.Second, 1.2)
				step(f)
				result := f.Run(25 * time.Second)
				c.Assert(result.Violations, qt.HasLen, 0)
				c.Assert(result.Strictness, qt.HasLen, len(replay.Mix))
				for route, values := range result.Strictness {
					n := turnCount(values, maxTurnSize)
					t.Logf("seed %d, %s: %d turns", seed+1, route, n)
					c.Check(n <= maxTurns, qt.IsTrue, qt.Commentf("%.2f", values))
				}
			}
		})
	}
}

// loseServers makes n servers crash for 10 s.
func loseServers(f *replay.Fleet, n int) {
	for i := range n {
		f.CrashServer(5*time.Second, i, 10*time.Second)
	}
}

// turnCount returns how often the values change their direction by more than a threshold.
func turnCount(values []float64, threshold float64) int {
	n, direction, extreme := 0, 0.0, values[0]
	for _, v := range values {
		switch {
		case direction == 0 && math.Abs(v-extreme) > threshold:
			direction, extreme = math.Copysign(1, v-extreme), v
		case direction != 0 && (v-extreme)*direction > 0:
			extreme = v
		case direction != 0 && (extreme-v)*direction > threshold:
			n, direction, extreme = n+1, -direction, v
		}
	}
	return n
}
