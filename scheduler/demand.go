package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront/demandshare"
)

// demandInterval is the shortest time between two computations of the demand, which need
// a pass over all jobs.
const demandInterval = 20 * time.Millisecond

// overloadedLifetime is how long an entry is passed on as overloaded after an agent has
// named it. Updates come every 150 ms and name one entry each.
const overloadedLifetime = 500 * time.Millisecond

// A demandState is the demand of the unfinished jobs, as it was when it was computed last.
type demandState struct {
	// capacities are the capacities of the usable servers by service, in thousandths of
	// a core.
	capacities map[string]int
	computedAt time.Duration
	// overloaded holds the times at which agents have named overloaded entries, by name
	// hash.
	overloaded map[uint32]time.Duration
	// overloadedHashes are the keys of overloaded, sorted, when the demand was computed.
	overloadedHashes []uint32
	// wanted is the CPU that the unfinished jobs want by service, in thousandths of a core.
	wanted map[string]int
}

// An InvalidShare is a stated share that was ignored.
type InvalidShare struct {
	Agent string
	// First is whether it is the first one of the agent.
	First bool
	Share int
}

// EnableDemandShares makes the entry state its demand to the agents, and use the shares
// that they state. The driver calls it before the first event.
func (s *Scheduler) EnableDemandShares() {
	s.demand = &demandState{capacities: make(map[string]int), computedAt: -demandInterval, overloaded: make(map[uint32]time.Duration), wanted: make(map[string]int)}
}

// statedDemand returns the demand to state to an agent: what the unfinished jobs of its
// service want, spread over the usable servers by their capacities. It is zero if the
// entry states none.
func (s *Scheduler) statedDemand(a *agent) int32 {
	d := s.demand
	if d == nil {
		return 0
	}
	if s.lastEvent-d.computedAt >= demandInterval {
		s.computeDemand(s.lastEvent)
	}
	capacity := d.capacities[a.service]
	if capacity == 0 || !s.usable(s.lastEvent, a) {
		return 0
	}
	return int32(min(float64(d.wanted[a.service])*float64(a.report.Capacity.CPU)/float64(capacity), math.MaxInt32))
}

// computeDemand computes the demand. The tasks that wait and those that were sent count,
// but not those of canceled jobs.
func (s *Scheduler) computeDemand(now time.Duration) {
	d := s.demand
	d.computedAt = now
	maps.DeleteFunc(d.overloaded, func(_ uint32, at time.Duration) bool { return now-at > overloadedLifetime })
	d.overloadedHashes = slices.AppendSeq(d.overloadedHashes[:0], maps.Keys(d.overloaded))
	slices.Sort(d.overloadedHashes)
	clear(d.capacities)
	clear(d.wanted)
	for _, j := range s.jobs {
		if !j.canceled {
			d.wanted[j.Route.Service] += j.Need.CPU * (len(j.tasks) - j.doneCount)
		}
	}
	for _, a := range s.sortedAgents {
		if s.usable(now, a) {
			d.capacities[a.service] += a.report.Capacity.CPU
		}
	}
}

// recordShare records the share that an agent's newest report states, and the overloaded
// entry that it names. A negative share or one above the server's capacity is ignored.
func (s *Scheduler) recordShare(a *agent, effects *Effects) {
	if s.demand == nil {
		return
	}
	if hash := a.report.Overloaded; hash != 0 && hash != demandshare.NameHash(s.name) {
		s.demand.overloaded[hash] = a.lastUpdate
	}
	share := int(a.report.Share)
	if share < 0 || share > a.report.Capacity.CPU {
		effects.InvalidShares = append(effects.InvalidShares, InvalidShare{Agent: a.Name, First: !a.invalidShare, Share: share})
		a.invalidShare = true
		share = 0
	}
	a.share = share
}

// overloadedEntry returns the name hash of an overloaded entry to pass on in commands, or
// zero if there is none.
func (s *Scheduler) overloadedEntry() uint32 {
	if s.demand == nil {
		return 0
	}
	return demandshare.SelectOverloaded(s.demand.overloadedHashes, int(s.lastEvent/CommandsInterval), 0)
}

// SharedCapacity returns the sum of the shares that usable agents have stated, in
// thousandths of a core.
func (s *Scheduler) SharedCapacity(now time.Duration) int {
	sum := 0
	for _, a := range s.sortedAgents {
		if s.usable(now, a) {
			sum += a.share
		}
	}
	return sum
}
