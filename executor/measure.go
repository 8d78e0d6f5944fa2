package executor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// Parameters of what is measured.
const (
	failWeight = 0.2  // Of a new run in the share of failed ones.
	slowWeight = 0.04 // Of a new run in the slowness; estimates are far off.
	// recentRuns is the number of runs whose median tells that the speed of
	// the server has changed, and changeRatio by what factor that differs then.
	recentRuns  = 7
	changeRatio = 1.8
	// forgetting is the weight of each TickInterval without a run in
	// returning to the slowness and the share of failures of a new server.
	forgetting  = 0.002
	idleTime    = time.Second
	maxRatio    = 8.0  // Beyond it, or its inverse, a run tells nothing more about its server.
	typicalNeed = 6000 // Thousandths of a core, of a task that a wait is stated for.
)

// A measure is what is learned of the server from the ends of its runs.
type measure struct {
	failRate    float64
	logSlowness float64   // Mean logarithm of the ratio of real to expected run times.
	recent      []float64 // Newest such logarithms, the oldest first.
	runTime     time.Duration
	sampled     time.Duration // When the newest run ended.
}

// newMeasure returns the measure of a server of which nothing is known.
func newMeasure() measure {
	return measure{runTime: 200 * time.Millisecond}
}

// slowness returns the learned slowness.
func (m *measure) slowness() float64 {
	return math.Exp(m.logSlowness)
}

// add adds the ending of a run that took some time.
func (m *measure) add(now time.Duration, ending pollenfront.Ending, took, expected time.Duration) {
	switch ending {
	case pollenfront.EndingDone:
		m.sampled = now
		m.failRate -= m.failRate * failWeight
		m.runTime += time.Duration(float64(took-m.runTime) * slowWeight)
		if expected > 0 {
			m.addRatio(took.Seconds() / expected.Seconds())
		}
	case pollenfront.EndingFailed:
		m.sampled = now
		m.failRate += (1 - m.failRate) * failWeight
	case pollenfront.EndingLost, pollenfront.EndingNotStarted, pollenfront.EndingStopped:
	}
}

// addRatio adds the ratio of the real to the expected time of one run. A single
// run may be far longer than it was estimated, so only the median of several
// tells that the server has become slow, or fast again.
func (m *measure) addRatio(ratio float64) {
	value := logRatio(ratio)
	m.recent = append(m.recent, value)
	m.recent = m.recent[max(0, len(m.recent)-recentRuns):]
	m.logSlowness += (value - m.logSlowness) * slowWeight
	if len(m.recent) < recentRuns {
		return
	}
	if middle := median(m.recent); math.Abs(middle-m.logSlowness) > math.Log(changeRatio) {
		m.logSlowness = middle
	}
}

// logRatio returns the logarithm of a ratio within the limits of what tells.
func logRatio(ratio float64) float64 {
	return math.Log(min(max(ratio, 1/maxRatio), maxRatio))
}

// median returns the median of some values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// forget lets what was learned fade while the server runs nothing, so that it
// is tried again.
func (m *measure) forget(now time.Duration) {
	if now-m.sampled < idleTime {
		return
	}
	m.recent = nil
	m.logSlowness -= m.logSlowness * forgetting
	m.failRate -= m.failRate * forgetting
}

// slowness returns the learned slowness, or the median of the newest runs and
// of those that are overdue if these say that the server has become slow.
func (x *Executor) slowness(now time.Duration) float64 {
	m := &x.measure
	values := slices.Clone(m.recent)
	for _, r := range x.order {
		if r.state != running || r.expected <= 0 {
			continue
		}
		if value := logRatio((now - r.sent).Seconds() / r.expected.Seconds()); value > m.logSlowness {
			values = append(values, value)
		}
	}
	if len(values) >= recentRuns {
		if middle := median(values); middle-m.logSlowness > math.Log(changeRatio) {
			return math.Exp(middle)
		}
	}
	return m.slowness()
}

// remaining returns the time that a started run is expected to go on.
func (x *Executor) remaining(now time.Duration, r *run) time.Duration {
	elapsed := now - r.sent
	left := time.Duration(float64(r.expected)*x.measure.slowness()) - elapsed
	return max(left, r.expected/10)
}

// waits returns, for each priority, in how many milliseconds a task that is
// ordered now would start.
func (x *Executor) waits(now time.Duration) []int {
	waits := make([]int, priorities)
	free := x.free().CPU
	if len(x.queue) == 0 && free >= typicalNeed {
		return waits
	}
	type release struct {
		at  time.Duration
		cpu int
	}
	var releases []release
	for _, r := range x.order {
		if r.state != queued {
			releases = append(releases, release{at: x.remaining(now, r), cpu: r.need.CPU})
		}
	}
	slices.SortFunc(releases, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	for p := range waits {
		need := typicalNeed - free
		for _, r := range x.queue {
			if r.priority <= p {
				need += r.need.CPU
			}
		}
		at := time.Duration(0)
		for _, l := range releases {
			if need <= 0 {
				break
			}
			need -= l.cpu
			at = l.at
		}
		if need > 0 && x.server.capacity.CPU > 0 {
			at += time.Duration(float64(x.measure.runTime) * float64(need) / float64(x.server.capacity.CPU))
		}
		waits[p] = int(at / time.Millisecond)
	}
	return waits
}
