package executor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// Weights and limits of the statistics.
const (
	// failureWeight is the weight of the newest run in the share of failed runs.
	failureWeight = 0.2
	// idleDecay is the fraction by which the slowness and the share of failed runs
	// move towards those of a new server in each TickInterval while no run ends.
	idleDecay = 0.002
	// idleDecayDelay is the time since the newest run that was done, failed or too slow
	// after which the decay starts.
	idleDecayDelay = time.Second
	// ratioDecayDelay replaces idleDecayDelay for the newest ratios of run times, so that a
	// server with one run a second has enough of them to show that it has become slow. The
	// slowness decays by less than speedChangeRatio in the time between.
	ratioDecayDelay = 3 * time.Second
	// maxRunTimeRatio limits the ratio of the actual to the expected run time, and its
	// inverse. A larger ratio tells nothing more about the server.
	maxRunTimeRatio = 8.0
	// medianWindow is the number of runs whose median shows that the speed of the
	// server has changed.
	medianWindow = 7
	// slownessWeight is the weight of the newest run in the slowness and in the mean
	// run time. It is low, as estimates of run times are often far off.
	slownessWeight = 0.04
	// speedChangeRatio is the ratio of the median of the newest runs to the slowness,
	// or its inverse, above which the speed of the server has changed.
	speedChangeRatio = 1.8
	// typicalCPU is the need of the task for which waits are estimated, in
	// thousandths of a core.
	typicalCPU = 6000
)

// A runStats holds statistics of the server from the ends of its runs.
type runStats struct {
	// failRate is the share of recent runs that failed, from 0 to 1.
	failRate float64
	// lastEnd is when the newest run that was done, failed or too slow ended.
	lastEnd time.Duration
	// logSlowness is the mean logarithm of the ratios of actual to expected run times.
	logSlowness float64
	meanRunTime time.Duration
	// recentLogRatios lists the logarithms of the newest ratios, the oldest first.
	recentLogRatios []float64
}

// newRunStats returns the statistics of a server that has not run anything yet.
func newRunStats() runStats {
	return runStats{meanRunTime: 200 * time.Millisecond}
}

// slowness returns the mean ratio of actual to expected run times.
func (s *runStats) slowness() float64 {
	return math.Exp(s.logSlowness)
}

// record adds a run that ended. Only the endings done and failed count, as others
// tell nothing about the server. An expected run time of zero means that it
// is not known.
func (s *runStats) record(now time.Duration, ending pollenfront.Ending, runTime, expected time.Duration) {
	switch ending {
	case pollenfront.EndingDone:
		s.lastEnd = now
		s.failRate -= s.failRate * failureWeight
		s.meanRunTime += time.Duration(float64(runTime-s.meanRunTime) * slownessWeight)
		if expected > 0 {
			s.recordRatio(runTime.Seconds() / expected.Seconds())
		}
	case pollenfront.EndingFailed:
		s.lastEnd = now
		s.failRate += (1 - s.failRate) * failureWeight
	case pollenfront.EndingLost, pollenfront.EndingNotStarted, pollenfront.EndingStopped:
	}
}

// recordTooSlow adds a run that is stopped since it would take more than slowRunFactor
// times as long as expected.
func (s *runStats) recordTooSlow(now time.Duration) {
	s.lastEnd = now
	s.recordRatio(slowRunFactor * s.slowness())
}

// recordRatio adds the ratio of the actual to the expected time of a run. A single run
// may take far longer than estimated, so it changes the slowness only a little. If the
// median of several runs shows that the speed of the server has changed, the slowness
// is set to that median.
func (s *runStats) recordRatio(ratio float64) {
	value := clampedLogRatio(ratio)
	s.recentLogRatios = append(s.recentLogRatios, value)
	s.recentLogRatios = s.recentLogRatios[max(0, len(s.recentLogRatios)-medianWindow):]
	s.logSlowness += (value - s.logSlowness) * slownessWeight
	if len(s.recentLogRatios) < medianWindow {
		return
	}
	if middle := median(s.recentLogRatios); math.Abs(middle-s.logSlowness) > math.Log(speedChangeRatio) {
		s.logSlowness = middle
	}
}

// clampedLogRatio returns the logarithm of a ratio, limited by maxRunTimeRatio.
func clampedLogRatio(ratio float64) float64 {
	return math.Log(min(max(ratio, 1/maxRunTimeRatio), maxRunTimeRatio))
}

// median returns the median of values, which must not be empty. Of two middle values
// it returns the larger.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// decay moves the slowness and the share of failed runs towards those of a new server
// while no run ends, so that a server that was slow or failing is tried again. The newest
// ratios do so too, but later.
func (s *runStats) decay(now time.Duration) {
	if now-s.lastEnd < idleDecayDelay {
		return
	}
	s.logSlowness -= s.logSlowness * idleDecay
	s.failRate -= s.failRate * idleDecay
	if now-s.lastEnd < ratioDecayDelay {
		return
	}
	for i := range s.recentLogRatios {
		s.recentLogRatios[i] -= s.recentLogRatios[i] * idleDecay
	}
}

// slowness returns the mean slowness. If the newest runs, together with those that
// already take longer than this mean, show that the server has become slow, it
// returns their median.
func (x *Executor) slowness(now time.Duration) float64 {
	stats := &x.stats
	values := slices.Clone(stats.recentLogRatios)
	for _, r := range x.acceptedRuns {
		if r.state != running || r.expectedRunTime <= 0 {
			continue
		}
		if value := clampedLogRatio((now - r.lastStartSent).Seconds() / r.expectedRunTime.Seconds()); value > stats.logSlowness {
			values = append(values, value)
		}
	}
	if len(values) >= medianWindow {
		if middle := median(values); middle-stats.logSlowness > math.Log(speedChangeRatio) {
			return math.Exp(middle)
		}
	}
	return stats.slowness()
}

// remainingRunTime returns how much longer a started run is expected to take. It is at
// least a tenth of the run's expected time.
func (x *Executor) remainingRunTime(now time.Duration, r *run) time.Duration {
	elapsed := now - r.lastStartSent
	remaining := time.Duration(float64(r.expectedRunTime)*x.stats.slowness()) - elapsed
	return max(remaining, r.expectedRunTime/10)
}

// queueWaits returns, for each priority, in how many milliseconds a typical task that
// is accepted now would start.
func (x *Executor) queueWaits(now time.Duration) []int {
	waits := make([]int, numPriorities)
	free := x.freeResources(now).CPU
	if len(x.queue) == 0 && free >= typicalCPU {
		return waits
	}
	type release struct {
		after time.Duration
		cpu   int
	}
	var releases []release
	for _, r := range x.acceptedRuns {
		if r.state != queued {
			releases = append(releases, release{after: x.remainingRunTime(now, r), cpu: r.need.CPU})
		}
	}
	slices.SortFunc(releases, func(a, b release) int { return cmp.Compare(a.after, b.after) })
	for priority := range waits {
		need := typicalCPU - free
		for _, r := range x.queue {
			if r.priority <= priority {
				need += r.need.CPU
			}
		}
		wait := time.Duration(0)
		for _, next := range releases {
			if need <= 0 {
				break
			}
			need -= next.cpu
			wait = next.after
		}
		if need > 0 && x.server.capacity.learned.CPU > 0 {
			wait += time.Duration(float64(x.stats.meanRunTime) * float64(need) / float64(x.server.capacity.learned.CPU))
		}
		waits[priority] = int(wait / time.Millisecond)
	}
	return waits
}
