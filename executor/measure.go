package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// Parameters of what is measured.
const (
	failWeight = 0.2  // Of a new run in the share of failed ones.
	slowWeight = 0.04 // Of a new run in the slowness; estimates are far off.
	// jumpRatio is the ratio of a run's slowness to the learned one from
	// which the server has become slow, and jumpWeight such a run's weight.
	jumpRatio  = 3.0
	jumpWeight = 0.15
	// forgetting is the weight of each TickInterval without a run in
	// returning to the slowness and the share of failures of a new server.
	forgetting  = 0.002
	idleTime    = time.Second
	maxRatio    = 8.0  // Above it a run tells nothing more about its server.
	typicalNeed = 6000 // Thousandths of a core, of a task that a wait is stated for.
)

// A measure is what is learned of the server from the ends of its runs.
type measure struct {
	failRate float64
	runTime  time.Duration
	sampled  time.Duration // When the newest run ended.
	slowness float64
}

// newMeasure returns the measure of a server of which nothing is known.
func newMeasure() measure {
	return measure{runTime: 200 * time.Millisecond, slowness: 1}
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

// addRatio adds the slowness of one run.
func (m *measure) addRatio(ratio float64) {
	weight := slowWeight
	if ratio > jumpRatio*m.slowness {
		weight = jumpWeight
	}
	m.slowness += (min(ratio, maxRatio) - m.slowness) * weight
}

// forget lets what was learned fade while the server runs nothing, so that it
// is tried again.
func (m *measure) forget(now time.Duration) {
	if now-m.sampled < idleTime {
		return
	}
	m.slowness += (1 - m.slowness) * forgetting
	m.failRate -= m.failRate * forgetting
}

// slowness returns the learned slowness, raised by runs that are overdue.
func (x *Executor) slowness(now time.Duration) float64 {
	s := x.measure.slowness
	for _, r := range x.order {
		if r.state != running || r.expected <= 0 {
			continue
		}
		if ratio := (now - r.sent).Seconds() / r.expected.Seconds(); ratio > jumpRatio*x.measure.slowness {
			s += (min(ratio, maxRatio) - x.measure.slowness) * jumpWeight
		}
	}
	return s
}

// remaining returns the time that a started run is expected to go on.
func (x *Executor) remaining(now time.Duration, r *run) time.Duration {
	elapsed := now - r.sent
	left := time.Duration(float64(r.expected)*x.measure.slowness) - elapsed
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
