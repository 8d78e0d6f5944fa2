package hardload_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/interference"
	"github.com/pollenfront/pollenfront/replay"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Loads of the tests of interference, as multiples of the rates of replay.Mix for
// replay.SmallFleet: 40, 70 and 100 % of the capacity.
const (
	learningLoad    = 0.6
	seventyPercent  = 1.05
	hundredPercent  = 1.5
	measuredFrom    = 12 * time.Second
	interferenceEnd = 20 * time.Second
)

// runInterference runs a fleet at 40 % load for 6 s, in which it learns, and then at rising
// loads up to the given one. It returns the value served from measuredFrom on, as a share of
// the offered value.
func runInterference(s replay.Settings, load float64) (float64, replay.Result) {
	f := replay.NewFleet(s)
	f.Load(replay.Mix, time.Second, 7*time.Second, replay.ScaleLoad(s, learningLoad))
	f.Load(replay.Mix, 7*time.Second, 9*time.Second, replay.ScaleLoad(s, learningLoad+(load-learningLoad)/3))
	f.Load(replay.Mix, 9*time.Second, 11*time.Second, replay.ScaleLoad(s, learningLoad+(load-learningLoad)*2/3))
	f.Load(replay.Mix, 11*time.Second, interferenceEnd, replay.ScaleLoad(s, load))
	r := f.Run(interferenceEnd + 4*time.Second)
	earned, offered := 0.0, 0.0
	for second := int(measuredFrom / time.Second); second <= int(interferenceEnd/time.Second)+1; second++ {
		earned += r.EarnedValue[second]
		offered += r.OfferedValue[second]
	}
	return earned / offered, r
}

// TestInterferenceRecovery guards against routes that are not kept apart: at 70 % load, 80 %
// of the value that is lost by interference is served after all.
func TestInterferenceRecovery(t *testing.T) {
	none, _ := runInterference(replay.LargeFleet(1), seventyPercent)
	for _, kinds := range [][2]string{{"small", "large"}, {"pair", "large"}, {"small", "pair"}} {
		for _, factor := range []float64{1.3, 2} {
			t.Run(fmt.Sprintf("%s-%s-%v", kinds[0], kinds[1], factor), func(t *testing.T) {
				t.Parallel()
				s := replay.LargeFleet(1)
				s.Interference = []replay.Interference{{Factor: factor, Kinds: kinds}}
				off, _ := runInterference(s, seventyPercent)
				s.InterferenceMode = pollenfront.InterferenceAvoid
				avoid, r := runInterference(s, seventyPercent)
				recovered := (avoid - off) / (none - off)
				t.Logf("value without interference %.4f, off %.4f, avoid %.4f, recovered %.2f, found %v", none, off, avoid, recovered, r.FirstFindings)
				qt.Assert(t, r.Violations, qt.HasLen, 0)
				qt.Assert(t, recovered >= 0.8, qt.IsTrue)
			})
		}
	}
}

// TestInterferenceFullLoad guards against a loss by keeping routes apart when there is no
// free capacity for that.
func TestInterferenceFullLoad(t *testing.T) {
	for _, kinds := range [][2]string{{"small", "large"}, {"pair", "large"}, {"small", "pair"}} {
		for _, factor := range []float64{1.3, 2} {
			t.Run(fmt.Sprintf("%s-%s-%v", kinds[0], kinds[1], factor), func(t *testing.T) {
				t.Parallel()
				off, avoid := 0.0, 0.0
				for seed := range uint64(4) {
					s := replay.SmallFleet(seed)
					s.Interference = []replay.Interference{{Factor: factor, Kinds: kinds}}
					value, _ := runInterference(s, hundredPercent)
					off += value / 4
					s.InterferenceMode = pollenfront.InterferenceAvoid
					value, _ = runInterference(s, hundredPercent)
					avoid += value / 4
				}
				t.Logf("off %.4f, avoid %.4f", off, avoid)
				qt.Assert(t, avoid >= off, qt.IsTrue)
			})
		}
	}
}

// TestNoInterference guards against decisions that change where no tasks slow each other
// down, and in the mode observe.
func TestNoInterference(t *testing.T) {
	for _, load := range []float64{seventyPercent, hundredPercent} {
		s := replay.SmallFleet(3)
		off, offResult := runInterference(s, load)
		qt.Assert(t, offResult.InterferenceChanges, qt.HasLen, 0)
		s.InterferenceMode = pollenfront.InterferenceAvoid
		avoid, r := runInterference(s, load)
		t.Logf("off %.4f, avoid %.4f, found %v", off, avoid, r.FirstFindings)
		qt.Check(t, r.FirstFindings, qt.HasLen, 0)
		qt.Check(t, avoid >= off, qt.IsTrue)
	}
	s := replay.SmallFleet(3)
	s.Interference = []replay.Interference{{Factor: 1.5, Kinds: [2]string{"small", "large"}}}
	off, _ := runInterference(s, seventyPercent)
	s.InterferenceMode = pollenfront.InterferenceObserve
	observe, r := runInterference(s, seventyPercent)
	qt.Check(t, len(r.FirstFindings) > 0, qt.IsTrue)
	qt.Check(t, observe, qt.Equals, off)
}

// TestInterferenceRestarts guards against evidence that is not learned again after restarts
// of all entries or all agents.
func TestInterferenceRestarts(t *testing.T) {
	for _, name := range []string{"entries", "agents"} {
		s := replay.SmallFleet(2)
		s.Interference = []replay.Interference{{Factor: 1.5, Kinds: [2]string{"small", "large"}}}
		s.InterferenceMode = pollenfront.InterferenceObserve
		f := replay.NewFleet(s)
		f.Load(replay.Mix, time.Second, 34*time.Second, learningLoad)
		if name == "entries" {
			for i := range s.Entries {
				f.KillEntry(15*time.Second, i, 500*time.Millisecond)
			}
		} else {
			for i := range s.Agents {
				f.KillAgent(15*time.Second, i, 500*time.Millisecond)
			}
		}
		r := f.Run(35 * time.Second)
		before, after, dropped := make(map[interference.Pair]bool), make(map[interference.Pair]bool), 0
		for i, change := range r.InterferenceChanges {
			switch {
			case change.Dropped:
				dropped++
			case r.ChangeTimes[i] < 15*time.Second:
				before[change.Pair] = true
			default:
				after[change.Pair] = true
			}
		}
		t.Logf("%s: found before %v, %d dropped, found after %v", name, before, dropped, after)
		qt.Check(t, len(before) > 0, qt.IsTrue)
		for pair := range before {
			qt.Check(t, after[pair], qt.IsTrue, qt.Commentf("%s: %v was not found again", name, pair))
		}
		qt.Check(t, r.Violations, qt.HasLen, 0)
	}
}

// TestInterferenceInvalidData guards against an agent whose data creates a finding alone, and
// against invalid data that is used or not counted.
func TestInterferenceInvalidData(t *testing.T) {
	nan := float32(math.NaN())
	tests := map[string]tasklink.Interference{
		"not a number":      {Pairs: []tasklink.InterferencePair{{Effect: nan, Neighbor: 1, Weight: 100}, {Effect: 1, Neighbor: 1, Weight: nan}}},
		"negative weight":   {Pairs: []tasklink.InterferencePair{{Effect: 1, Neighbor: 1, Weight: -5}}},
		"absurd factor":     {Pairs: []tasklink.InterferencePair{{Effect: 50, Neighbor: 1, Weight: 100}}},
		"unknown route":     {Pairs: []tasklink.InterferencePair{{Effect: 1, Neighbor: 7, Weight: 100}, {Effect: 1, Neighbor: -1, Weight: 100}}},
		"too many rows":     {Pairs: make([]tasklink.InterferencePair, 5000)},
		"extreme but valid": {Pairs: []tasklink.InterferencePair{{Effect: 2.9, Neighbor: 1, Weight: 5000}}},
	}
	for name, message := range tests {
		t.Run(name, func(t *testing.T) {
			message.Routes = []string{"small", "large"}
			s := replay.SmallFleet(4)
			s.InterferenceMode = pollenfront.InterferenceAvoid
			s.CorruptEstimates = func(agent int, update *tasklink.Update) {
				if agent == 3 && update.Interference != nil {
					update.Interference = &message
					update.RouteCounts = []tasklink.RouteCount{{Count: math.MinInt, Route: "small"}, {Count: math.MaxInt, Route: ""}}
				}
			}
			f := replay.NewFleet(s)
			f.Load(replay.Mix, time.Second, 10*time.Second, learningLoad)
			r := f.Run(11 * time.Second)
			qt.Check(t, r.FirstFindings, qt.HasLen, 0)
			qt.Check(t, r.InvalidEstimates > 0, qt.Equals, name != "extreme but valid")
			qt.Check(t, r.Violations, qt.HasLen, 0)
		})
	}
}
