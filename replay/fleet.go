// Package replay simulates a fleet in virtual time: the schedulers and executors
// of the product with models of backend servers and of the network. It replays load
// patterns and faults, checks invariants, and counts how jobs were answered. The same
// settings and seed give the same result.
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
	"github.com/pollenfront/pollenfront/interference"
	"github.com/pollenfront/pollenfront/placement"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Settings describe a fleet.
type Settings struct {
	Agents             int                 // Agents is the number of agents, each with one server.
	CellOnly           bool                // CellOnly keeps agents from linking to overloaded entries beyond their cells.
	CheckCancellations bool                // CheckCancellations records a violation if a job runs on after it was canceled.
	Chooser            pollenfront.Chooser // Chooser is placement.EarliestFinish by default.
	Clairvoyant        bool                // Clairvoyant replaces the schedulers and executors with one queue that has full knowledge.
	// CorruptEstimates changes the updates of an agent on their way. It may be nil.
	CorruptEstimates    func(agent int, update *tasklink.Update)
	DelayedRequestShare float64 // DelayedRequestShare is the share of requests to servers that are carried out seconds later and get no response.
	DropDelayedRequests bool    // DropDelayedRequests drops the delayed requests to a server that has restarted meanwhile.
	DemandShares        bool    // DemandShares makes shares of servers follow demand. They are equal by default.
	Entries             int
	FailShare           float64        // FailShare is the share of all runs that fail on their own, shortly after their start.
	FairShares          bool           // FairShares enables the entries' setting fair-shares.
	FullMesh            bool           // FullMesh makes each agent link to all entries, instead of those of its cell.
	Interference        []Interference // Interference is injected between kinds. A clairvoyant fleet has none.
	InterferenceMode    pollenfront.InterferenceMode
	OneWayDelay         time.Duration // OneWayDelay is the network delay between an entry and an agent. It is 1 ms by default.
	RecordHistory       bool          // RecordHistory fills Result.History.
	RecordStrictness    bool          // RecordStrictness fills Result.Strictness.
	RetryRefused        bool          // RetryRefused makes callers retry a refused job once, after the Retry-After time.
	RunTimeFactors      []float64     // RunTimeFactors are assigned to the servers in turn and multiply the run times there. The default is 1.
	Seed                uint64
	ServerClockRates    []float64 // ServerClockRates are assigned to the servers in turn: how fast their clocks run. The default is 1.
	SlowStops           bool      // SlowStops makes the end of each stopped or expired run take slowStopTime.
	SlowTaskShare       float64   // SlowTaskShare is the share of tasks that take slowTaskFactor times as long as the work of their job.
	Zones               int       // Zones is the number of zones over which entries and agents are spread. It is 1 by default.
}

// Parameters of the model. The network delays are one way.
const (
	agentServerDelay     = time.Millisecond
	announcementInterval = 1500 * time.Millisecond
	callerEntryDelay     = time.Millisecond
	minRequestDelay      = 2 * time.Second // minRequestDelay is the shortest delay of a delayed request.
	redialDelay          = 80 * time.Millisecond
	requestDelayRange    = 10 * time.Second // requestDelayRange is the difference between the longest and the shortest delay.
	resubmitDelay        = 1300 * time.Millisecond
	serverCPU            = 64000       // serverCPU is in thousandths of a core.
	serverMemory         = 131072      // serverMemory is in mebibytes.
	startTime            = time.Second // startTime is the time of the clock at the start of a simulation.
	worstSecondCount     = 3           // worstSecondCount is the number of seconds that ValueShares averages as the worst ones.
)

// A Fleet is a simulated fleet. Its clock starts at startTime.
type Fleet struct {
	activeRuns       map[pollenfront.TaskID]*serverRun
	agents           []*agentNode
	centralQueue     *centralQueue // centralQueue is nil unless the fleet is clairvoyant.
	crashCounts      map[pollenfront.TaskID]*crashCount
	earlyCancelShare float64 // earlyCancelShare is the share of new jobs whose callers leave before the answer is due.
	entries          []*entryNode
	entryWeight      func(now time.Duration, entry int) float64 // entryWeight is the weight of an entry when callers choose one, or nil if all are alike.
	events           events
	faultyServers    int                 // faultyServers is the number of servers with a failure rate.
	heldMessages     map[[2]int][]func() // heldMessages are the messages held up by a partition, by entry and agent.
	jobs             map[string]*callerJob
	lastSeqNum       uint64     // lastSeqNum numbers events and link epochs.
	loadRandom       *rand.Rand // loadRandom is used only for the load, so that all fleets with the same seed get the same jobs.
	now              time.Duration
	partitions       map[[2]int]int // partitions counts the faults that partition an entry from an agent.
	random           *rand.Rand
	result           Result
	settings         Settings
	storeOutages     int               // storeOutages counts the faults that make calls to the store fail.
	tokens           map[string]uint64 // tokens are the fencing tokens that agents have recorded in the store, by name.
}

// A Result counts how a fleet answered its jobs. Jobs that always fail and jobs whose
// callers leave early count only in Starts and the core-seconds. Maps of counts are
// keyed by the name of the job's kind, maps of values by the second in which the job
// arrived.
type Result struct {
	CancelOutcomes      map[pollenfront.CancelOutcome]int // CancelOutcomes counts the acknowledged requests to cancel a job.
	CapacityRegained    []time.Duration                   // CapacityRegained lists how long after its return the capacity of each shrunk server was used again.
	ChangeTimes         []time.Duration                   // ChangeTimes are the times of InterferenceChanges.
	Classes             map[Class]ClassCounts
	Crashes             int                                 // Crashes is the number of servers that crashed under tasks.
	EarnedValue         map[int]float64                     // EarnedValue is the value of the answers.
	Entries             map[int]*EntryCounts                // Entries counts by the index of the entry to which the caller submitted a job first.
	Failed              map[string]int                      // Failed counts the jobs answered as failed, with those that always fail. Unknown includes the others.
	FailedWait          time.Duration                       // FailedWait is the sum of the times after which jobs that always fail were answered as failed.
	FaultyStarts        int                                 // FaultyStarts is the number of starts on servers with a failure rate.
	FirstFindings       map[interference.Pair]time.Duration // FirstFindings holds when each pair was found first.
	History             []HistoryEvent                      // History lists what callers and servers have seen, in order, if it is recorded.
	InterferenceChanges []interference.Change
	InvalidEstimates    int // InvalidEstimates is the number of invalid estimates that entries received.
	Late                map[string]int
	MaxCrashes          int             // MaxCrashes is the largest number of servers that crashed under one task.
	MaxRejectedStarts   int             // MaxRejectedStarts is the largest number of starts that one server rejected because they did not fit.
	Messages            int             // Messages is the number of messages between entries and agents.
	OfferedValue        map[int]float64 // OfferedValue is the value of the answers if all jobs were answered on time.
	OnTime              map[string]int
	RefusalWait         time.Duration // RefusalWait is the sum of the times after which refused jobs were answered.
	Refused             map[string]int
	RefusedDespiteRoom  int                  // RefusedDespiteRoom is the number of refused jobs whose tasks would all have fitted on the servers.
	RejectedStarts      int                  // RejectedStarts is the number of starts that servers rejected because they did not fit.
	RepeatedStarts      int                  // RepeatedStarts counts starts on a server with a failure rate where the task had failed, while another one could run it in time.
	Starts              int                  // Starts is the number of runs that were started.
	StartsInFaults      int                  // StartsInFaults is the number of runs that were started while some server had a failure rate.
	Strictness          map[string][]float64 // Strictness holds the strictness of the first entry's admission limits every strictnessInterval, by route.
	Submitted           map[string]int
	Unknown             map[string]int // Unknown counts the jobs that failed, conflicted or were not answered within their time limit.
	UnfoundJobs         int            // UnfoundJobs is the number of jobs that were reported as not existing, at a request to cancel them, while their callers waited.
	UsefulCoreSeconds   float64        // UsefulCoreSeconds is the CPU time of the runs that ended as done.
	Violations          []string       // Violations are the violated invariants, each with its time.
	WastedCoreSeconds   float64        // WastedCoreSeconds is the CPU time of the runs that ended in any other way.
}

// newResult returns a result without jobs.
func newResult() Result {
	return Result{
		CancelOutcomes: make(map[pollenfront.CancelOutcome]int),
		Classes:        make(map[Class]ClassCounts), EarnedValue: make(map[int]float64), Entries: make(map[int]*EntryCounts), Failed: make(map[string]int),
		FirstFindings: make(map[interference.Pair]time.Duration), Late: make(map[string]int), OfferedValue: make(map[int]float64), OnTime: make(map[string]int),
		Refused: make(map[string]int), Submitted: make(map[string]int), Unknown: make(map[string]int),
	}
}

// Add adds the counts, values and violations of another result, but neither its history
// nor its findings of interference and strictness. The zero Result can be added to.
func (r *Result) Add(other Result) {
	if r.OnTime == nil {
		*r = newResult()
	}
	for _, counts := range [][2]map[string]int{
		{r.Failed, other.Failed}, {r.OnTime, other.OnTime}, {r.Late, other.Late}, {r.Refused, other.Refused}, {r.Submitted, other.Submitted}, {r.Unknown, other.Unknown},
	} {
		for kind, n := range counts[1] {
			counts[0][kind] += n
		}
	}
	for _, values := range [][2]map[int]float64{{r.EarnedValue, other.EarnedValue}, {r.OfferedValue, other.OfferedValue}} {
		for second, value := range values[1] {
			values[0][second] += value
		}
	}
	for class, counts := range other.Classes {
		sum := r.Classes[class]
		sum.Add(counts)
		r.Classes[class] = sum
	}
	r.addEntries(other)
	for outcome, n := range other.CancelOutcomes {
		r.CancelOutcomes[outcome] += n
	}
	r.CapacityRegained = append(r.CapacityRegained, other.CapacityRegained...)
	r.Crashes += other.Crashes
	r.UnfoundJobs += other.UnfoundJobs
	r.FailedWait += other.FailedWait
	r.FaultyStarts += other.FaultyStarts
	r.InvalidEstimates += other.InvalidEstimates
	r.MaxCrashes = max(r.MaxCrashes, other.MaxCrashes)
	r.MaxRejectedStarts = max(r.MaxRejectedStarts, other.MaxRejectedStarts)
	r.Messages += other.Messages
	r.RefusalWait += other.RefusalWait
	r.RefusedDespiteRoom += other.RefusedDespiteRoom
	r.RejectedStarts += other.RejectedStarts
	r.RepeatedStarts += other.RepeatedStarts
	r.Starts += other.Starts
	r.StartsInFaults += other.StartsInFaults
	r.UsefulCoreSeconds += other.UsefulCoreSeconds
	r.WastedCoreSeconds += other.WastedCoreSeconds
	r.Violations = append(r.Violations, other.Violations...)
}

// KindOnTimeShare returns the share of the jobs of a kind that were answered on time.
func (r *Result) KindOnTimeShare(kind string) float64 {
	return float64(r.OnTime[kind]) / max(1, float64(r.Submitted[kind]))
}

// ValueShares returns the earned value as a share of the offered value: overall, and
// as the mean over the seconds with the lowest shares.
func (r *Result) ValueShares() (all, worst float64) {
	earned, offered := 0.0, 0.0
	var shares []float64
	for _, second := range slices.Sorted(maps.Keys(r.OfferedValue)) {
		earned += r.EarnedValue[second]
		offered += r.OfferedValue[second]
		shares = append(shares, r.EarnedValue[second]/r.OfferedValue[second])
	}
	slices.Sort(shares)
	shares = shares[:min(worstSecondCount, len(shares))]
	for _, share := range shares {
		worst += share / float64(len(shares))
	}
	return earned / max(offered, math.SmallestNonzeroFloat64), worst
}

// OnTimeShare returns the share of all jobs that were answered on time.
func (r *Result) OnTimeShare() float64 {
	onTime, submitted := 0, 0
	for kind, n := range r.Submitted {
		onTime += r.OnTime[kind]
		submitted += n
	}
	return float64(onTime) / max(1, float64(submitted))
}

// NewFleet returns a fleet whose processes start at once.
func NewFleet(s Settings) *Fleet {
	s.Chooser = cmp.Or[pollenfront.Chooser](s.Chooser, placement.EarliestFinish{})
	s.OneWayDelay = cmp.Or(s.OneWayDelay, time.Millisecond)
	s.Zones = cmp.Or(s.Zones, 1)
	if len(s.RunTimeFactors) == 0 {
		s.RunTimeFactors = []float64{1}
	}
	if len(s.ServerClockRates) == 0 {
		s.ServerClockRates = []float64{1}
	}
	f := &Fleet{
		activeRuns: make(map[pollenfront.TaskID]*serverRun), crashCounts: make(map[pollenfront.TaskID]*crashCount),
		heldMessages: make(map[[2]int][]func()), jobs: make(map[string]*callerJob),
		loadRandom: rand.New(rand.NewPCG(s.Seed, 2)), now: startTime, partitions: make(map[[2]int]int), //nolint:gosec // A seed makes runs reproducible.
		random: rand.New(rand.NewPCG(s.Seed, 1)), result: newResult(), settings: s, tokens: make(map[string]uint64), //nolint:gosec // A seed makes runs reproducible.
	}
	if s.Clairvoyant {
		f.centralQueue = newCentralQueue(f)
	}
	if s.RecordStrictness {
		f.scheduleAt(0, f.recordStrictness)
	}
	for i := range s.Entries {
		f.entries = append(f.entries, newEntryNode(f, i))
	}
	for i := range s.Agents {
		f.agents = append(f.agents, newAgentNode(f, i, s.RunTimeFactors[i%len(s.RunTimeFactors)], s.ServerClockRates[i%len(s.ServerClockRates)]))
	}
	return f
}

// Run simulates the fleet until the given time after the start and returns the result
// up to then.
func (f *Fleet) Run(until time.Duration) Result {
	until += startTime
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event) // The heap holds only events.
		f.now = e.at
		e.do()
	}
	f.result.Classes = f.countClasses()
	return f.result
}

// schedule schedules a call of do after the given delay.
func (f *Fleet) schedule(d time.Duration, do func()) {
	f.lastSeqNum++
	heap.Push(&f.events, event{at: f.now + d, do: do, seqNum: f.lastSeqNum})
}

// elapsed returns the time since the start of the simulation.
func (f *Fleet) elapsed() time.Duration {
	return f.now - startTime
}

// scheduleAt schedules a call of do at the given time after the start of the simulation.
func (f *Fleet) scheduleAt(at time.Duration, do func()) {
	f.schedule(at+startTime-f.now, do)
}

// recordViolation records that an invariant was violated.
func (f *Fleet) recordViolation(format string, args ...any) {
	f.result.Violations = append(f.result.Violations, fmt.Sprintf("%v: ", f.elapsed())+fmt.Sprintf(format, args...))
}

// An event is a call at a time. Events at the same time run in the order of their
// sequence numbers.
type event struct {
	at     time.Duration
	do     func()
	seqNum uint64
}

// events is a heap of events with the next one at its root.
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
func (e *events) Push(x any) { *e = append(*e, x.(event)) } // The heap holds only events.

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
