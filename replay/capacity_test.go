package replay_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/replay"
)

// shrunkServers is a load of about 90 % of the capacity of a small fleet, with a burst of
// 1.4 times the capacity, while a quarter of the servers provide 0.55 of their capacity
// for 14 seconds.
var shrunkServers = replay.Pattern{Name: "a quarter of the servers shrunk", Duration: 28 * time.Second, Settings: replay.SmallFleet, Setup: func(f *replay.Fleet) {
	f.Load(replay.Mix, time.Second, 25*time.Second, 1.35)
	f.Load(replay.Mix, 10*time.Second, 12*time.Second, 0.75)
	for i := range shrunkCount {
		f.ShrinkServer(4*time.Second, i, 0.55, shrunkFor)
	}
}}

const (
	shrunkCount = 3
	shrunkFor   = 14 * time.Second
	// maxRegainDelay is the target for the time from the return of a server's capacity until
	// the agent counts on all of it and uses it.
	maxRegainDelay = 2 * time.Second
	// maxRejectedStarts is the largest number of starts that a shrunk server may reject. It
	// is derived in docs/design/10-server-capacity.md: 2 a second from probes, 4 while their
	// pause grows, and one for each of the smallest tasks, of 4 cores, in 0.45 of 64 cores.
	maxRejectedStarts = 2*14 + 4 + 8
)

// TestShrunkServers guards against agents that send starts to a server again and again
// although it rejects them, and against capacity that is not used after its return.
func TestShrunkServers(t *testing.T) {
	c := qt.New(t)
	result := simulateSeeds(shrunkServers, false)
	all, worst := result.ValueShares()
	t.Logf("%d starts, %d rejected, most by one server %d; on time %.3f, value %.3f, worst %.3f; %d refused despite room; regained after %v", result.Starts,
		result.RejectedStarts, result.MaxRejectedStarts, result.OnTimeShare(), all, worst, result.RefusedDespiteRoom, result.CapacityRegained)
	t.Logf("submitted %v, refused %v, late %v, unknown %v", result.Submitted, result.Refused, result.Late, result.Unknown)
	c.Assert(result.Violations, qt.HasLen, 0)
	c.Check(result.MaxRejectedStarts <= maxRejectedStarts, qt.IsTrue)
	c.Assert(result.CapacityRegained, qt.HasLen, seedCount*shrunkCount)
	c.Check(slices.Max(result.CapacityRegained) <= maxRegainDelay, qt.IsTrue)
}

// TestUnenforcedCapacity guards against overrunning a server that does not enforce its
// capacity. Such a server rejects nothing, so nothing may be learned from its answers but
// that it accepts all. Agents restart under an overload, since their accounting of the runs
// on the server is then lost.
func TestUnenforcedCapacity(t *testing.T) {
	c := qt.New(t)
	result := simulateSeeds(replay.Pattern{Duration: 14 * time.Second, Settings: replay.SmallFleet, Setup: func(f *replay.Fleet) {
		f.Load(replay.Mix, time.Second, 10*time.Second, 2.1)
		for i := range replay.SmallFleet(0).Agents {
			f.StopEnforcing(0, i)
		}
		f.KillAgent(4*time.Second, 0, 500*time.Millisecond)
		f.KillAgent(6*time.Second, 1, 100*time.Millisecond)
	}}, false)
	c.Assert(result.Violations, qt.HasLen, 0)
	c.Assert(result.RejectedStarts, qt.Equals, 0)
}
