package replay_test

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/replay"
)

// Parameters of the busy fleet.
const (
	busyServers     = 73
	faultyFailShare = 0.39 // faultyFailShare is the share of runs that its failing servers fail.
	busySeeds       = 3
)

// busyKinds are the kinds of jobs of the busy fleet. At the mean of waveWithBurst they need
// three quarters of the capacity, at its peak more than there is.
var busyKinds = []replay.Kind{
	{LatencyTarget: 60 * time.Millisecond, MeanTasks: 8, MeanWork: 55 * time.Millisecond, Name: "small", Rate: 342, TimeLimit: 1500 * time.Millisecond, Value: 0.00485},
	{LatencyTarget: 60 * time.Millisecond, MeanTasks: 4, MeanWork: 800 * time.Millisecond, Name: "large", Priority: 2, Rate: 62, TimeLimit: 1500 * time.Millisecond, Value: 0.0267},
	{LatencyTarget: 60 * time.Millisecond, MeanTasks: 2, MeanWork: 200 * time.Millisecond, Name: "pair", Priority: 1, Rate: 600, TimeLimit: 1500 * time.Millisecond, Value: 0.00167},
}

// waveWithBurst is the rising half of the wave of the busy fleet, with a burst on top.
func waveWithBurst(at time.Duration) float64 {
	wave := 1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/15)
	if at >= 3*time.Second && at < 4*time.Second {
		return 1.3 * wave
	}
	return wave
}

// simulateBusyFleet simulates the busy fleet at its peak with some seeds concurrently and
// returns the sum of the results. factor multiplies the load, setup schedules the faults.
func simulateBusyFleet(factor float64, setup func(f *replay.Fleet)) replay.Result {
	var results [busySeeds]replay.Result
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() {
			f := replay.NewFleet(replay.Settings{
				Agents: busyServers, Entries: 13, FailShare: 0.002, RunTimeFactors: []float64{0.55, 1.2, 1.2, 1.2}, Seed: uint64(i) + 1, Zones: 3, //nolint:gosec // Not negative.
			})
			f.LoadCurve(busyKinds, time.Second, 5*time.Second, factor, waveWithBurst)
			setup(f)
			results[i] = f.Run(7 * time.Second)
		})
	}
	group.Wait()
	var sum replay.Result
	for _, r := range results {
		sum.Add(r)
	}
	return sum
}

// sum returns the sum of the counts of all kinds.
func sum(counts map[string]int) int {
	n := 0
	for _, count := range counts {
		n += count
	}
	return n
}

// TestFailingServers guards against jobs that use up their attempts on servers that fail a
// share of their runs. At full load such servers are mostly free, as their runs end early.
func TestFailingServers(t *testing.T) {
	tests := []struct {
		name         string
		failing      func(i int) bool
		failedBefore int // failedBefore is the number of failed jobs before package attempts, of which the target is a tenth.
	}{
		{name: "6 of 73 servers", failing: func(i int) bool { return i%12 == 5 }, failedBefore: 10},
		{name: "all of a zone", failing: func(i int) bool { return i%3 == 1 }, failedBefore: 244},
		{name: "all of a rack", failing: func(i int) bool { return i%4 == 1 }, failedBefore: 49},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			failing := 0
			for i := range busyServers {
				if test.failing(i) {
					failing++
				}
			}
			result := simulateBusyFleet(1, func(f *replay.Fleet) {
				for i := range busyServers {
					if test.failing(i) {
						f.FailRuns(2*time.Second, i, faultyFailShare, 3*time.Second)
					}
				}
			})
			value, worst := result.ValueShares()
			share := float64(result.FaultyStarts) / float64(result.StartsInFaults)
			t.Logf("jobs failed %v, refused %v, late %v of %v, on time %.4f, value %.4f, worst %.4f; on failing servers %.4f of the starts, %d repeated",
				result.Failed, result.Refused, result.Late, result.Submitted, result.OnTimeShare(), value, worst, share, result.RepeatedStarts)
			c.Assert(result.Violations, qt.HasLen, 0)
			c.Check(10*sum(result.Failed) < test.failedBefore, qt.IsTrue)
			c.Check(result.RepeatedStarts, qt.Equals, 0)
			c.Check(share <= float64(failing)/busyServers, qt.IsTrue)
		})
	}
}

// TestRouteFailsEverywhere guards against servers that are held to fail since the jobs of
// one route fail on all of them, and against such jobs that wait for a better server. The
// other routes are served as well as beside jobs that need as much work and are done.
func TestRouteFailsEverywhere(t *testing.T) {
	for _, factor := range []float64{0.6, 1} {
		t.Run(fmt.Sprintf("load %.1f", factor), func(t *testing.T) {
			simulate := func(fails bool, tasks int) replay.Result {
				extra := replay.Kind{
					AlwaysFails: fails, LatencyTarget: 60 * time.Millisecond, MeanTasks: tasks, MeanWork: 55 * time.Millisecond, Name: "extra", Rate: 100,
					TimeLimit: 1500 * time.Millisecond,
				}
				return simulateBusyFleet(factor, func(f *replay.Fleet) { f.Load([]replay.Kind{extra}, time.Second, 4*time.Second, 1) })
			}
			c := qt.New(t)
			good, bad := simulate(false, 6), simulate(true, 2) // A task that fails runs three times.
			wait := bad.FailedWait / time.Duration(max(1, bad.Failed["extra"]))
			t.Logf("%d jobs failed after %v each", bad.Failed["extra"], wait)
			for _, kind := range busyKinds {
				t.Logf("%s: on time %.4f, beside jobs that are done %.4f, failed %d", kind.Name, bad.KindOnTimeShare(kind.Name),
					good.KindOnTimeShare(kind.Name), bad.Failed[kind.Name])
				c.Check(bad.Failed[kind.Name], qt.Equals, 0)
			}
			delete(good.Submitted, "extra")
			c.Check(bad.OnTimeShare() >= good.OnTimeShare()-0.02, qt.IsTrue, qt.Commentf("%.4f, %.4f", bad.OnTimeShare(), good.OnTimeShare()))
			c.Check(bad.Failed["extra"] > 0, qt.IsTrue)
			// Three runs of 55 ms on a server of factor 1.2, each with a wait of 40 ms there and
			// 15 ms for the way.
			c.Check(wait <= 3*(66+40+15)*time.Millisecond, qt.IsTrue)
		})
	}
}
