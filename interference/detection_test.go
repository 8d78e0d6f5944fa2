package interference_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/interference"
)

// tenRoutes returns ten routes, hence 100 pairs, of different sizes. Half of the load moves
// with a wave.
func tenRoutes(scale float64) []load {
	loads := make([]load, 10)
	for i := range loads {
		loads[i] = load{jobs: scale * float64(1+i%3), tasks: 1 + i%4, work: []float64{0.055, 0.2, 0.8}[i%3]}
		if i%2 == 0 {
			loads[i].wave = wave
		}
	}
	return loads
}

// wave is a load that oscillates with a period of 15 s.
func wave(at float64) float64 {
	return (1 + 0.55*math.Sin(2*math.Pi*at/15)) / 1.55
}

// TestNoFalseFindings guards against pairs that are found although no task slows another
// one down: at most one of 100 pairs in an hour.
func TestNoFalseFindings(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		s := &simulation{agents: 10, loads: tenRoutes(0.5), slowness: func(used float64) float64 { return 1 + 0.5*used*used }}
		s.run(seed, time.Hour)
		t.Logf("seed %d: %d runs, found %v", seed, s.runs, s.found)
		qt.Check(t, len(s.found) <= 1, qt.IsTrue)
	}
}

// TestFindPair guards against a detection that is too slow: a pair of factor 1.5 is found
// within 30 s at 20 runs a second of the route, and no other pair is. The neighbor is on a
// third of the servers.
func TestFindPair(t *testing.T) {
	pair := interference.Pair{Neighbor: routeName(1), Route: routeName(0)}
	for _, works := range [][2]float64{{0.055, 0.055}, {0.055, 0.2}, {0.055, 0.8}, {0.2, 0.2}, {0.2, 0.8}, {0.8, 0.8}, {0.8, 0.2}} {
		t.Run(fmt.Sprintf("%v-%v", works[0], works[1]), func(t *testing.T) {
			for seed := range uint64(5) {
				s := &simulation{
					agents: 10, factors: map[interference.Pair]float64{pair: 1.5},
					loads: []load{{jobs: 20, tasks: 1, work: works[0]}, {jobs: 2 / works[1], tasks: 2, work: works[1]}, {jobs: 1 / works[1], tasks: 2, work: works[1]}},
				}
				s.run(seed, 30*time.Second)
				at, ok := s.found[pair]
				t.Logf("work %v beside %v, seed %d: found after %v", works[0], works[1], seed, at)
				qt.Check(t, ok, qt.IsTrue)
				qt.Check(t, len(s.found) <= 1, qt.IsTrue)
			}
		})
	}
}

// TestCoincidingPeaks guards against a finding for two routes whose loads peak at the same
// time, while at the peaks the servers are slower or the estimates are too low.
func TestCoincidingPeaks(t *testing.T) {
	for _, period := range []float64{15, 60, 300} {
		peaks := func(at float64) float64 { return (1 + 0.8*math.Sin(2*math.Pi*at/period)) / 1.8 }
		tests := map[string]*simulation{
			"slow servers":  {slowness: func(used float64) float64 { return 1 + used }, loads: []load{{}, {}, {}}},
			"low estimates": {loads: []load{{drift: func(at float64) float64 { return 0.7 + peaks(at) }}, {}, {}}},
		}
		for name, s := range tests {
			s.agents = 10
			for i := range s.loads {
				s.loads[i].jobs, s.loads[i].tasks, s.loads[i].work = 20, 2, 0.2
				if i < 2 {
					s.loads[i].wave = peaks
				}
			}
			s.run(1, 10*time.Minute)
			t.Logf("%s, period %v s: found %v", name, period, s.found)
			qt.Check(t, len(s.found), qt.Equals, 0, qt.Commentf("%s, period %v s", name, period))
		}
	}
}
