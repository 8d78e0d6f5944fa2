// Package replay plays a fleet in virtual time: schedulers, executors and
// models of backend servers, joined by a model of the network. It replays load
// patterns and faults, checks what must always hold, and counts how callers
// were served. The same settings and seed give the same result.
//
// # Usage
//
//	fleet := replay.NewFleet(replay.Settings{Agents: 11, Entries: 3, Seed: 1})
//	fleet.Load(replay.Mix, 0, 10*time.Second, 1)
//	fleet.KillEntry(2*time.Second, 0, time.Second)
//	result := fleet.Run(12 * time.Second)
package replay

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/placement"
)

// Settings describe a fleet.
type Settings struct {
	Agents             int
	Chooser            pollenfront.Chooser // Of servers, if not the product's.
	Clairvoyant        bool                // One queue that knows all takes the place of entries and agents.
	DelayedRequestRate float64             // Share of orders to servers that are not answered and carried out later.
	Entries            int
	OneWayDelay        time.Duration // One way between processes on different machines.
	RetryRefused       bool          // Whether refused callers come back once, when they were told to.
	RunTimeFactors     []float64     // Run times as multiples of the real work, in turn.
	Seed               uint64
}

// Parameters of the model.
const (
	agentServerDelay     = time.Millisecond // Of a call from an agent to its server, one way.
	callerDelay          = time.Millisecond
	minRequestDelay      = 2 * time.Second // After which an order that was not answered is carried out.
	requestDelayRange    = 10 * time.Second
	redialDelay          = 80 * time.Millisecond
	resubmitDelay        = 1300 * time.Millisecond
	serverCPU            = 64000 // Thousandths of a core.
	serverMemory         = 131072
	announcementInterval = 1500 * time.Millisecond
	worstSecondCount     = 3 // That are counted as the worst.
)

// A Fleet is a fleet in virtual time.
type Fleet struct {
	activeRuns       map[pollenfront.TaskID]*serverRun
	agents           []*agentNode
	centralQueue     *centralQueue // Takes the jobs, if the fleet is clairvoyant.
	earlyCancelShare float64       // Share of the callers that leave before their time limit.
	entries          []*entryNode
	events           events
	heldMessages     map[[2]int][]func() // What a cut holds up.
	jobs             map[string]*callerJob
	lastSeqNum       uint64
	loadRandom       *rand.Rand // Of its own, so that all fleets of a seed get the same jobs.
	now              time.Duration
	partitions       map[[2]int]int // Pairs of entry and agent that can't reach each other, by how many faults.
	random           *rand.Rand
	result           Result
	settings         Settings
}

// A Result is how a fleet served its callers.
type Result struct {
	EarnedValue       map[int]float64 // Value of the answers, by the second in which the jobs arrived.
	Late              map[string]int
	OfferedValue      map[int]float64 // As EarnedValue, of all jobs.
	OnTime            map[string]int  // By kind.
	Refused           map[string]int
	Starts            int
	Submitted         map[string]int
	Unknown           map[string]int
	UsefulCoreSeconds float64 // Core-seconds of runs that ended as done.
	Violations        []string
	WastedCoreSeconds float64 // Core-seconds of runs that did not end as done.
}

// newResult returns a result of nothing.
func newResult() Result {
	return Result{
		EarnedValue: make(map[int]float64), Late: make(map[string]int), OfferedValue: make(map[int]float64), OnTime: make(map[string]int),
		Refused: make(map[string]int), Submitted: make(map[string]int), Unknown: make(map[string]int),
	}
}

// Add adds another result.
func (r *Result) Add(other Result) {
	if r.OnTime == nil {
		*r = newResult()
	}
	for _, counts := range [][2]map[string]int{
		{r.OnTime, other.OnTime}, {r.Late, other.Late}, {r.Refused, other.Refused}, {r.Submitted, other.Submitted}, {r.Unknown, other.Unknown},
	} {
		for kind, n := range counts[1] {
			counts[0][kind] += n
		}
	}
	for _, worths := range [][2]map[int]float64{{r.EarnedValue, other.EarnedValue}, {r.OfferedValue, other.OfferedValue}} {
		for second, worth := range worths[1] {
			worths[0][second] += worth
		}
	}
	r.Starts += other.Starts
	r.UsefulCoreSeconds += other.UsefulCoreSeconds
	r.WastedCoreSeconds += other.WastedCoreSeconds
	r.Violations = append(r.Violations, other.Violations...)
}

// KindOnTimeShare returns the share of a kind's jobs that were answered in time.
func (r *Result) KindOnTimeShare(kind string) float64 {
	return float64(r.OnTime[kind]) / max(1, float64(r.Submitted[kind]))
}

// ValueShares returns the worth of the answers as a share of the value offered, over all
// and in the worst seconds.
func (r *Result) ValueShares() (all, worst float64) {
	earned, owed := 0.0, 0.0
	var shares []float64
	for _, second := range slices.Sorted(maps.Keys(r.OfferedValue)) {
		earned += r.EarnedValue[second]
		owed += r.OfferedValue[second]
		shares = append(shares, r.EarnedValue[second]/r.OfferedValue[second])
	}
	slices.Sort(shares)
	shares = shares[:min(worstSecondCount, len(shares))]
	for _, share := range shares {
		worst += share / float64(len(shares))
	}
	return earned / max(owed, math.SmallestNonzeroFloat64), worst
}

// OnTimeShare returns the share of all jobs that were answered in time.
func (r *Result) OnTimeShare() float64 {
	inTime, submitted := 0, 0
	for kind, n := range r.Submitted {
		inTime += r.OnTime[kind]
		submitted += n
	}
	return float64(inTime) / max(1, float64(submitted))
}

// NewFleet returns a fleet whose servers announce themselves at the start.
func NewFleet(s Settings) *Fleet {
	s.Chooser = cmp.Or[pollenfront.Chooser](s.Chooser, placement.EarliestFinish{})
	s.OneWayDelay = cmp.Or(s.OneWayDelay, time.Millisecond)
	if len(s.RunTimeFactors) == 0 {
		s.RunTimeFactors = []float64{1}
	}
	f := &Fleet{
		activeRuns: make(map[pollenfront.TaskID]*serverRun), heldMessages: make(map[[2]int][]func()), jobs: make(map[string]*callerJob),
		loadRandom: rand.New(rand.NewPCG(s.Seed, 2)), now: time.Second, partitions: make(map[[2]int]int), //nolint:gosec // A seed makes runs reproducible.
		random: rand.New(rand.NewPCG(s.Seed, 1)), result: newResult(), settings: s, //nolint:gosec // A seed makes runs reproducible.
	}
	if s.Clairvoyant {
		f.centralQueue = newCentralQueue(f)
	}
	for i := range s.Entries {
		f.entries = append(f.entries, newEntryNode(f, i))
	}
	for i := range s.Agents {
		f.agents = append(f.agents, newAgentNode(f, i, s.RunTimeFactors[i%len(s.RunTimeFactors)]))
	}
	return f
}

// Run lets virtual time pass and returns what happened.
func (f *Fleet) Run(until time.Duration) Result {
	until += time.Second // The clock starts at one second.
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event) // The heap holds events.
		f.now = e.at
		e.do()
	}
	return f.result
}

// schedule calls do schedule a time.
func (f *Fleet) schedule(d time.Duration, do func()) {
	f.lastSeqNum++
	heap.Push(&f.events, event{at: f.now + d, do: do, seqNum: f.lastSeqNum})
}

// scheduleAt calls do scheduleAt an instant after the start.
func (f *Fleet) scheduleAt(instant time.Duration, do func()) {
	f.schedule(instant+time.Second-f.now, do)
}

// recordViolation notes that something that must always hold did not.
func (f *Fleet) recordViolation(format string, args ...any) {
	f.result.Violations = append(f.result.Violations, fmt.Sprintf("%v: ", f.now-time.Second)+fmt.Sprintf(format, args...))
}

// An event happens at an instant.
type event struct {
	at     time.Duration
	do     func()
	seqNum uint64 // Of events at the same instant.
}

// events is a heap of events.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at == e[j].at {
		return e[i].seqNum < e[j].seqNum
	}
	return e[i].at < e[j].at
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) } // The heap holds events.

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
