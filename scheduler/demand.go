package scheduler

import "time"

// demandInterval is the shortest time between two computations of the demand, which need
// a pass over all jobs.
const demandInterval = 20 * time.Millisecond

// A demandState is the demand of the unfinished jobs, as it was when it was computed last.
type demandState struct {
	// capacities are the capacities of the usable servers by service, in thousandths of
	// a core.
	capacities map[string]int
	computedAt time.Duration
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
	s.demand = &demandState{capacities: make(map[string]int), computedAt: -demandInterval, wanted: make(map[string]int)}
}

// statedDemand returns the demand to state to an agent: what the unfinished jobs of its
// service want, spread over the usable servers by their capacities. It is zero if the
// entry states none.
func (s *Scheduler) statedDemand(a *agent) int {
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
	return int(float64(d.wanted[a.service]) * float64(a.report.Capacity.CPU) / float64(capacity))
}

// computeDemand computes the demand. The tasks that wait and those that were sent count,
// but not those of canceled jobs.
func (s *Scheduler) computeDemand(now time.Duration) {
	d := s.demand
	d.computedAt = now
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

// recordShare records the share that an agent's newest report states. A negative one or
// one above the server's capacity is ignored.
func (s *Scheduler) recordShare(a *agent, effects *Effects) {
	if s.demand == nil {
		return
	}
	share := a.report.Share
	if share < 0 || share > a.report.Capacity.CPU {
		effects.InvalidShares = append(effects.InvalidShares, InvalidShare{Agent: a.Name, First: !a.invalidShare, Share: share})
		a.invalidShare = true
		share = 0
	}
	a.share = share
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
