package replay_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/replay"
)

// TestDelayedStartAfterRefusals is TestDelayedStartReachesNextIncarnation for a server whose
// process ends. Its agent knows that the server is down, as connections are refused, but not when
// it is back: the first announcement of the next incarnation comes after the delayed start.
func TestDelayedStartAfterRefusals(t *testing.T) {
	for _, down := range []time.Duration{700 * time.Millisecond, 7 * time.Second} {
		for _, delay := range append([]time.Duration{20 * time.Millisecond}, restartDelays...) {
			t.Run(fmt.Sprintf("down for %v, %v after the restart", down, delay), func(t *testing.T) {
				checkOneRun(t, replay.Settings{Agents: 3, Entries: 2}, func(f *replay.Fleet) {
					crash := faultAt + 500*time.Millisecond
					f.Load([]replay.Kind{longKind}, crash, crash+down, 1) // Some of its tasks run when the server is back.
					f.HoldRequests(faultAt-1700*time.Millisecond, 0, replay.Starts, 1600*time.Millisecond, crash+down+delay)
					f.CrashServerProcessUnannounced(crash, 0, down)
				})
			})
		}
	}
}

// TestDelayedStartsOnNextIncarnation guards against a run that ends with the lease of a former
// incarnation of its server while the next one carries out its delayed start.
func TestDelayedStartsOnNextIncarnation(t *testing.T) {
	for _, seed := range []uint64{5, 8, 13, 30, 55, 59} {
		random := rand.New(rand.NewPCG(seed, 1))
		s := replay.Settings{Agents: 5, Entries: 1 + int(seed%3), Seed: seed, ServerClockRates: []float64{1, 0.98}}
		f := replay.NewFleet(s)
		f.Load(replay.Mix, 300*time.Millisecond, 8*time.Second, 0.9)
		for ms := 1000; ms < 8000; ms += 400 {
			at := time.Duration(ms+random.IntN(200)) * time.Millisecond
			f.CrashServerProcess(at, random.IntN(s.Agents), time.Duration(20+random.IntN(1500))*time.Millisecond)
		}
		f.DelayRequests(800*time.Millisecond, 0.8, 7*time.Second)
		if result := f.Run(13 * time.Second); len(result.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, result.Violations)
		}
	}
}

// TestDelayedStartBesideResubmission guards against a delayed start that the next incarnation of a
// server carries out beside a run of another entry, to which the caller has submitted the job
// again: its first entry could not tell it in time that no run is left.
func TestDelayedStartBesideResubmission(t *testing.T) {
	const hold, down = 600 * time.Millisecond, 500 * time.Millisecond
	kind := longKind
	kind.TimeLimit = 6 * time.Second
	crashes := []struct {
		name  string
		crash func(f *replay.Fleet, at time.Duration, agent int, down time.Duration)
	}{
		{name: "process", crash: (*replay.Fleet).CrashServerProcess},
		{name: "machine", crash: (*replay.Fleet).CrashServer},
	}
	for _, c := range crashes {
		for _, delay := range restartDelays {
			t.Run(fmt.Sprintf("%s %d us after the restart", c.name, delay.Microseconds()), func(t *testing.T) {
				for seed := uint64(1); seed <= oneRunSeedCount; seed++ {
					f := replay.NewFleet(replay.Settings{Agents: 3, Entries: 2, Seed: seed})
					f.Load([]replay.Kind{kind}, 300*time.Millisecond, faultAt, 1)
					crash := faultAt + 1500*time.Millisecond
					f.HoldRequests(faultAt-hold, 0, replay.Starts, hold, crash+down+delay)
					c.crash(f, crash, 0, down)
					result := f.Run(14 * time.Second)
					qt.Check(t, result.Violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
				}
			})
		}
	}
}
