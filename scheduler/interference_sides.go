package scheduler

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pollenfront/pollenfront/interference"
)

// Parameters of the division of servers.
const (
	// defaultNeed is the assumed CPU need of the tasks of a route of which the entry has
	// placed none.
	defaultNeed = 6000
	// demandWeight is the least weight of the newest count of a route's runs in its mean,
	// which is updated every evaluateInterval. It is low, since routes mix on the servers
	// between an earlier and a later border.
	demandWeight = 0.05
	// needWeight is the weight of the newest task in the mean need of its route.
	needWeight = 0.01
)

// updateDemand updates the mean numbers of runs by route.
func (i *interferenceState) updateDemand() {
	counts := make(map[string]float64)
	for _, mix := range i.mixes {
		for _, r := range mix.reported {
			counts[r.Route] += float64(r.Count)
		}
	}
	for route := range i.demand {
		counts[route] += 0 // The mean of a route without runs falls.
	}
	i.demandUpdates++
	weight := max(demandWeight, 1/float64(i.demandUpdates))
	for route, count := range counts {
		i.demand[route] += (count - i.demand[route]) * weight
	}
}

// updateSides computes the runs that are expected on the servers by the findings.
//
// Two routes that slow each other down must meet on as few servers as possible. At most loads
// every server has runs of both, so that no server is better than another, and tasks that
// follow the present runs only would stay mixed. The servers are therefore ordered by a hash
// of their names. One route is expected on the servers at one end, the other at the other end,
// each on a share that corresponds to its runs. All entries have the same order. What is
// expected there counts like runs that are there, so a task can still be sent to any server.
func (i *interferenceState) updateSides(s *Scheduler) {
	for _, mix := range i.mixes {
		mix.expected, mix.stale = nil, true
	}
	done := make(map[interference.Pair]bool)
	for _, f := range i.pool.Findings() {
		pair := f.Pair
		if pair.Route > pair.Neighbor {
			pair.Route, pair.Neighbor = pair.Neighbor, pair.Route
		}
		if pair.Route == pair.Neighbor || done[pair] {
			continue
		}
		done[pair] = true
		i.divide(s, pair)
	}
}

// divide divides the servers between the two routes of a pair. The servers of all services
// take part.
func (i *interferenceState) divide(s *Scheduler, pair interference.Pair) {
	first, second := i.demand[pair.Route], i.demand[pair.Neighbor]
	if first <= 0 || second <= 0 {
		return
	}
	agents := slices.Clone(s.sortedAgents)
	hash := func(a *agent) uint64 {
		return xxhash.Sum64String(a.Name + "\x00" + pair.Route + "\x00" + pair.Neighbor)
	}
	slices.SortFunc(agents, func(a, b *agent) int { return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a.Name, b.Name)) })
	total := 0.0
	for _, a := range agents {
		total += a.sideCapacity()
	}
	first, second = first*i.meanNeed(pair.Route), second*i.meanNeed(pair.Neighbor)
	border := total * first / (first + second)
	used := 0.0
	for _, a := range agents {
		route, width := pair.Route, border
		if used+a.sideCapacity()/2 > border {
			route, width = pair.Neighbor, total-border
		}
		used += a.sideCapacity()
		mix := i.mix(a)
		if mix.expected == nil {
			mix.expected = make(map[string]float64)
		}
		mix.expected[route] = max(mix.expected[route], i.demand[route]*a.sideCapacity()/width)
	}
}

// meanNeed returns the mean CPU need of the tasks of a route, in thousandths of a core.
func (i *interferenceState) meanNeed(route string) float64 {
	if need, ok := i.needs[route]; ok {
		return need
	}
	return defaultNeed
}

// recordNeed adds the CPU need of a task to the mean of its route.
func (i *interferenceState) recordNeed(route string, cpu int) {
	mean := i.meanNeed(route)
	i.needs[route] = mean + needWeight*(float64(cpu)-mean)
}

// sideCapacity returns the CPU of an agent's server, in thousandths of a core of a server of
// slowness 1.
func (a *agent) sideCapacity() float64 {
	return float64(a.report.Capacity.CPU) / a.boundedSlowness()
}
