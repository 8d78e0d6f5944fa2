package replay_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/replay"
)

// cancelAt is when the tests of this file cancel jobs. The entries have refused what they can't
// serve by then, at the end of their warm-up.
const cancelAt = faultAt + 100*time.Millisecond

// cancelKind returns a kind of job whose tasks run for longer than the bounds on canceled jobs.
func cancelKind() replay.Kind {
	kind := longKind
	kind.MeanWork = 8 * time.Second
	return kind
}

// TestCancelAtAnyEntry guards against jobs that run on after they were canceled, mostly at
// another entry than their own: 3.05 s after the acknowledgement none may, and none that runs may
// be reported as not existing. Unless their entry is killed, all whose callers wait are found.
func TestCancelAtAnyEntry(t *testing.T) {
	tests := []struct {
		name     string
		settings replay.Settings
		faults   func(f *replay.Fleet)
		allFound bool
	}{
		{name: "small fleet", settings: replay.Settings{Agents: 3, Entries: 2}, allFound: true},
		{name: "cells", settings: replay.Settings{Agents: 40, Entries: 24, Zones: 3}, allFound: true},
		{name: "links are reset", settings: replay.Settings{Agents: 3, Entries: 3}, allFound: true, faults: func(f *replay.Fleet) {
			for entry := range 3 {
				for agent := range 3 {
					f.ResetLink(cancelAt+time.Duration(entry-1)*5*time.Millisecond, entry, agent)
				}
			}
		}},
		{name: "stops are lost", settings: replay.Settings{Agents: 3, Entries: 3}, allFound: true, faults: func(f *replay.Fleet) {
			for agent := range 3 {
				f.LoseStops(cancelAt-100*time.Millisecond, agent, 8*time.Second)
			}
		}},
		{name: "an entry is killed", settings: replay.Settings{Agents: 3, Entries: 3}, faults: func(f *replay.Fleet) {
			f.KillEntry(cancelAt+5*time.Millisecond, 0, 300*time.Millisecond)
		}},
		{name: "an agent is killed", settings: replay.Settings{Agents: 3, Entries: 3}, allFound: true, faults: func(f *replay.Fleet) {
			f.KillAgent(cancelAt+5*time.Millisecond, 0, 300*time.Millisecond)
		}},
		{name: "an entry is cut off from an agent", settings: replay.Settings{Agents: 3, Entries: 3}, allFound: true, faults: func(f *replay.Fleet) {
			f.Partition(cancelAt-5*time.Millisecond, 0, 0, 4*time.Second)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= oneRunSeedCount; seed++ {
				test.settings.Seed, test.settings.CheckCancellations = seed, true
				f := replay.NewFleet(test.settings)
				f.Load([]replay.Kind{cancelKind()}, 300*time.Millisecond, faultAt-100*time.Millisecond, 1)
				f.CancelJobs(cancelAt, 1)
				if test.faults != nil {
					test.faults(f)
				}
				result := f.Run(14 * time.Second)
				qt.Check(t, result.Violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
				qt.Check(t, result.CancelOutcomes[pollenfront.CancelDone] > 0, qt.IsTrue)
				if test.allFound {
					qt.Check(t, result.UnfoundJobs, qt.Equals, 0, qt.Commentf("seed %d", seed))
				}
			}
		})
	}
}

// TestFaultsWithCancellations checks like TestInferenceFaults, with jobs that are canceled at
// random entries, that no cancellation makes an entry or an agent take a run for over that is not.
func TestFaultsWithCancellations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkFaultsOf(t, slices.Concat(faultNames, inferenceFaultNames), true, func(f *replay.Fleet) {
			for range rapid.IntRange(1, 4).Draw(t, "cancellations") {
				f.CancelJobs(drawMilliseconds(t, 500, 8000, "cancel-at"), rapid.SampledFrom([]float64{0.2, 1}).Draw(t, "cancel-share"))
			}
		})
	})
}
