package executor_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Parameters of the runs on a slowServerModel.
const (
	// estimateDeviation is the standard deviation of the logarithm of the ratio of actual to
	// expected run times.
	estimateDeviation = 0.4
	expectedRunTime   = 200 * time.Millisecond
	longTaskFactor    = 7
	longTaskShare     = 0.03
	modelStep         = 10 * time.Millisecond
	// slowAlarm is the slowness from which a server counts as slow. It is the ratio by which
	// runStats takes the speed of a server to have changed.
	slowAlarm = 1.8
	// slowedFactor is how many times slower a server turns.
	slowedFactor = 5.0
)

// A slowServerModel is an agent whose server starts runs at random times.
type slowServerModel struct {
	executor  *executor.Executor
	factor    float64 // factor multiplies the run times of the runs that start.
	lastIndex int
	nextStart time.Duration
	now       time.Duration
	random    *rand.Rand
	rate      float64 // rate is in runs a second.
	running   map[int]modelRun
	seqNum    uint64
}

// A modelRun is a run on a slowServerModel.
type modelRun struct {
	start, end time.Duration
}

// newSlowServerModel returns an agent with a server on which nothing has run.
func newSlowServerModel(rate float64, seed uint64) *slowServerModel {
	x := executor.New("agent-1", "service", "west", 10)
	renewFirst(x)
	x.HandleAnnouncement(at(0), announcement(1, 1<<30))
	x.LinkEntry(at(0), testEntry)
	random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // A seed makes runs reproducible.
	return &slowServerModel{executor: x, factor: 1, nextStart: at(0), now: at(0), random: random, rate: rate, running: make(map[int]modelRun)}
}

// startRun starts a run, which is long with the probability longTaskShare.
func (m *slowServerModel) startRun() {
	m.lastIndex++
	commands := startCommands(m.now, m.lastIndex)
	commands.Starts[0].ExpectedRunTime = int64(expectedRunTime)
	m.executor.HandleCommands(m.now, testEntry, commands)
	m.executor.HandleStartResponse(m.now, pollenfront.StartRequest{Incarnation: 1, Run: runID(m.lastIndex)}, 0, nil)
	factor := m.factor * math.Exp(m.random.NormFloat64()*estimateDeviation)
	if m.random.Float64() < longTaskShare {
		factor *= longTaskFactor
	}
	m.running[m.lastIndex] = modelRun{start: m.now, end: m.now + time.Duration(factor*float64(expectedRunTime))}
}

// step advances the clock by modelStep and returns the slowness that the agent reports.
func (m *slowServerModel) step() float64 {
	m.now += modelStep
	for m.now >= m.nextStart {
		m.startRun()
		m.nextStart += time.Duration(m.random.ExpFloat64() / m.rate * float64(time.Second))
	}
	response := &pollenfront.RenewalResponse{Clock: m.now, Incarnation: 1}
	for _, i := range slices.Sorted(maps.Keys(m.running)) {
		r := m.running[i]
		switch {
		case m.now >= r.end:
			delete(m.running, i)
			m.seqNum++
			response.Ended = append(response.Ended, pollenfront.EndedRun{Ending: pollenfront.EndingDone, Run: runID(i), SeqNum: m.seqNum})
		default:
			percent := int(100 * (m.now - r.start) / (r.end - r.start))
			response.Running = append(response.Running, pollenfront.RunningRun{Percent: percent, Run: runID(i)})
		}
	}
	m.executor.HandleRenewal(m.now, m.now, response)
	m.executor.HandleCommands(m.now, testEntry, &tasklink.Commands{EchoedClock: int64(m.now)})
	m.stopRuns(m.executor.Tick(m.now))
	return m.executor.Report(m.now).Slowness
}

// stopRuns carries out the stops of the runs that the agent takes to be far too slow.
func (m *slowServerModel) stopRuns(effects executor.Effects) {
	for _, stop := range effects.Stops {
		delete(m.running, stop.Run.Index)
		m.executor.HandleStopResponse(m.now, stop, m.now, nil)
	}
}

// TestSlowServerDetection guards against servers that count as slow because of a few long
// tasks, and against those that turn slower without being noticed. Four of the newest seven
// runs show the change, or five if one of them is too short to tell, and the last of them
// has to end: the bounds are the median of the time in which four runs arrive, and the 95th
// percentile of that of five, plus the run time of a slow server. 0.099 of the runs of a
// healthy server take at least slowAlarm times as long as expected, so four of seven do so
// by chance in 0.0026 of the windows.
func TestSlowServerDetection(t *testing.T) {
	const (
		draws              = 200
		fiveArrivalsAt95   = 9.15
		fourArrivalsMedian = 3.67
		maxAlarmShare      = 0.0026
	)
	for _, rate := range []float64{1, 5, 20} {
		t.Run(fmt.Sprintf("%v runs a second", rate), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var detections []time.Duration
			alarmSteps, steps := 0, 0
			for seed := range uint64(draws) {
				m := newSlowServerModel(rate, seed+1)
				for until := m.now + time.Duration(100/rate*float64(time.Second)); m.now < until; {
					steps++
					if m.step() >= slowAlarm {
						alarmSteps++
					}
				}
				m.factor = slowedFactor
				slowed := m.now
				for m.now < slowed+time.Minute && m.step() < slowAlarm {
				}
				detections = append(detections, m.now-slowed)
			}
			slices.Sort(detections)
			median, at95, alarmShare := detections[draws/2], detections[draws*95/100], float64(alarmSteps)/float64(steps)
			t.Logf("slow for %.5f of the healthy time; detection: median %v, 95 %% %v, longest %v", alarmShare, median, at95, detections[draws-1])
			slowRunTime := slowedFactor * expectedRunTime.Seconds()
			c.Check(alarmShare <= maxAlarmShare, qt.IsTrue)
			c.Check(median.Seconds() <= fourArrivalsMedian/rate+slowRunTime, qt.IsTrue)
			c.Check(at95.Seconds() <= fiveArrivalsAt95/rate+slowRunTime, qt.IsTrue)
		})
	}
}
