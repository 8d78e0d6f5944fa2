package executor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/interference"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Limits of what an entry is sent.
const (
	// estimateInterval is the shortest time between two messages with estimates to an
	// entry. Each has at most maxEstimates of them, which together take less than 1 KB.
	estimateInterval = 3 * time.Second
	// maxEstimates is the largest number of estimates in a message.
	maxEstimates = 48
	// minScoreChange is the change of an estimate, as a multiple of its standard
	// deviation, from which on it is sent again.
	minScoreChange = 0.25
	// weightFactor is the weight of a change of an estimate's precision, compared with a
	// change of the estimate itself.
	weightFactor = 0.1
)

// An interferenceState is what the executor keeps to measure interference between runs.
// It is nil, and all methods do nothing, if the setting is off.
type interferenceState struct {
	observer *interference.Observer
	sent     map[string]*sentEstimates // sent holds what was sent to each entry on its link.
}

// A sentEstimates is what was sent to an entry on its current link.
type sentEstimates struct {
	estimates map[interference.Pair]interference.Estimate
	lastSent  time.Duration
}

// SetInterference sets whether interference between runs is measured and reported. It must
// be called before any other method.
func (x *Executor) SetInterference(mode pollenfront.InterferenceMode) {
	x.interference = nil
	if mode.Enabled() {
		x.interference = &interferenceState{observer: interference.NewObserver(), sent: make(map[string]*sentEstimates)}
	}
}

// recordStart records that a start request for a run is sent.
func (s *interferenceState) recordStart(now time.Duration, r *run, capacity pollenfront.Resources) {
	if s == nil {
		return
	}
	s.observer.SetCapacity(capacity.CPU)
	s.observer.Start(now, interference.Run{CPU: r.need.CPU, Job: r.id.Job, Key: r.id.TaskID, Route: r.route})
}

// recordEnd records that a run has ended, or goes back into the queue. slowness is that of
// the server.
func (s *interferenceState) recordEnd(now time.Duration, r *run, ending pollenfront.Ending, slowness float64) {
	if s == nil {
		return
	}
	ratio := 0.0
	if ending == pollenfront.EndingDone && r.expectedRunTime > 0 {
		ratio = (now - r.lastStartSent).Seconds() / (r.expectedRunTime.Seconds() * slowness)
	}
	s.observer.End(now, r.id.TaskID, ratio)
}

// forget forgets what was sent to an entry that has linked or is gone. The next message to it
// has all estimates.
func (s *interferenceState) forget(entry string) {
	if s != nil {
		delete(s.sent, entry)
	}
}

// fill adds the numbers of runs and the estimates that have changed to an update.
func (s *interferenceState) fill(now time.Duration, entry string, update *tasklink.Update) {
	if s == nil {
		return
	}
	for _, c := range s.observer.Counts() {
		update.RouteCounts = append(update.RouteCounts, tasklink.RouteCount{Count: c.Count, Route: c.Route})
	}
	sent, ok := s.sent[entry]
	if !ok {
		sent = &sentEstimates{estimates: make(map[interference.Pair]interference.Estimate), lastSent: now - estimateInterval}
		s.sent[entry] = sent
	}
	if now-sent.lastSent >= estimateInterval {
		sent.lastSent = now
		update.Interference = encodeEstimates(sent.takeChanged(s.observer.Estimates(now)))
	}
}

// takeChanged returns the estimates that have changed most since they were sent, at most
// maxEstimates, and records that they are sent.
func (s *sentEstimates) takeChanged(estimates []interference.Estimate) []interference.Estimate {
	change := func(e interference.Estimate) float64 {
		before := s.estimates[interference.Pair{Neighbor: e.Neighbor, Route: e.Route}]
		return math.Abs(e.Effect*math.Sqrt(e.Weight)-before.Effect*math.Sqrt(before.Weight)) + math.Abs(math.Sqrt(e.Weight)-math.Sqrt(before.Weight))*weightFactor
	}
	estimates = slices.DeleteFunc(estimates, func(e interference.Estimate) bool { return change(e) < minScoreChange })
	slices.SortStableFunc(estimates, func(a, b interference.Estimate) int { return cmp.Compare(change(b), change(a)) })
	estimates = estimates[:min(len(estimates), maxEstimates)]
	for _, e := range estimates {
		s.estimates[interference.Pair{Neighbor: e.Neighbor, Route: e.Route}] = e
	}
	return estimates
}

// encodeEstimates returns a message with estimates, or nil if there are none.
func encodeEstimates(estimates []interference.Estimate) *tasklink.Interference {
	if len(estimates) == 0 {
		return nil
	}
	message := &tasklink.Interference{}
	index := make(map[string]int)
	indexOf := func(route string) int {
		i, ok := index[route]
		if !ok {
			i = len(message.Routes)
			index[route] = i
			message.Routes = append(message.Routes, route)
		}
		return i
	}
	for _, e := range estimates {
		message.Pairs = append(message.Pairs, tasklink.InterferencePair{
			Effect: float32(e.Effect), Neighbor: indexOf(e.Neighbor), Route: indexOf(e.Route), Weight: float32(e.Weight),
		})
	}
	return message
}
