package scheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/interference"
	"github.com/pollenfront/pollenfront/tasklink"
)

// recordLink forgets what an earlier incarnation of an agent has reported.
func (i *interferenceState) recordLink(a *agent) {
	if i == nil {
		return
	}
	if i.incarnations[a.Name] != a.Incarnation {
		i.incarnations[a.Name] = a.Incarnation
		i.pool.Remove(a.Name)
	}
	delete(i.mixes, a.Name)
}

// recordUpdate records the runs on a server and the estimates of its agent.
func (i *interferenceState) recordUpdate(now time.Duration, a *agent, update *tasklink.Update, effects *Effects) {
	if i == nil {
		return
	}
	mix := i.mix(a)
	mix.stale = true
	mix.reported = slices.DeleteFunc(update.RouteCounts, func(r tasklink.RouteCount) bool { return !i.pool.Known(r.Route) })
	for n := range mix.reported {
		mix.reported[n].Count = min(max(0, mix.reported[n].Count), maxRouteCount)
	}
	if update.Interference == nil {
		return
	}
	estimates, invalid, err := decodeEstimates(update.Interference)
	rejected, addErr := i.pool.Add(now, a.Name, estimates)
	if err == nil {
		err = addErr
	}
	if err != nil {
		effects.InvalidEstimates = append(effects.InvalidEstimates, InvalidEstimates{Agent: a.Name, Count: invalid + rejected, Err: err})
	}
}

// decodeEstimates returns the estimates of a message, the number of those that refer to
// routes that it does not name, and the fault of the first of these.
func decodeEstimates(message *tasklink.Interference) (estimates []interference.Estimate, invalid int, err error) {
	for _, pair := range message.Pairs {
		if min(pair.Route, pair.Neighbor) < 0 || max(pair.Route, pair.Neighbor) >= len(message.Routes) {
			invalid++
			if err == nil {
				err = fmt.Errorf("%w: routes %d and %d of %d", interference.ErrRoute, pair.Route, pair.Neighbor, len(message.Routes))
			}
			continue
		}
		estimates = append(estimates, interference.Estimate{
			Effect: float64(pair.Effect), Neighbor: message.Routes[pair.Neighbor], Route: message.Routes[pair.Route], Weight: float64(pair.Weight),
		})
	}
	return estimates, invalid, err
}

// tick evaluates the evidence at regular intervals, and forgets agents that are gone.
func (i *interferenceState) tick(s *Scheduler, now time.Duration, effects *Effects) {
	if i == nil || now-i.evaluatedAt < evaluateInterval {
		return
	}
	i.evaluatedAt = now
	for name := range i.incarnations {
		if _, ok := s.agents[name]; !ok {
			delete(i.incarnations, name)
			delete(i.mixes, name)
			i.pool.Remove(name)
		}
	}
	effects.InterferenceChanges = append(effects.InterferenceChanges, i.pool.Evaluate(now)...)
	i.updateDemand()
	i.updateSides(s)
}

// mix returns the mix of an agent's server.
func (i *interferenceState) mix(a *agent) *routeMix {
	mix, ok := i.mixes[a.Name]
	if !ok {
		mix = &routeMix{stale: true}
		i.mixes[a.Name] = mix
	}
	return mix
}

// loads returns the runs on a server by route. A run of this entry that the newest report
// does not cover yet counts too.
func (i *interferenceState) loads(s *Scheduler, a *agent) []pollenfront.RouteLoad {
	mix := i.mix(a)
	if !mix.stale && mix.lastSeqNum == a.lastSeqNum && mix.tasks == len(a.tasks) {
		return mix.loads
	}
	mix.stale, mix.lastSeqNum, mix.tasks = false, a.lastSeqNum, len(a.tasks)
	counts := make(map[string]int)
	for _, t := range a.tasks {
		counts[t.job.Route.Name]++
	}
	for _, r := range mix.reported {
		counts[r.Route] = max(counts[r.Route], r.Count)
	}
	for route := range mix.expected {
		counts[route] += 0 // Routes without runs are listed too.
	}
	mix.loads = mix.loads[:0]
	for _, route := range slices.Sorted(maps.Keys(counts)) {
		mix.loads = append(mix.loads, pollenfront.RouteLoad{Count: max(float64(counts[route]), mix.expected[route]), Route: route, RunTime: s.meanRunTime(route, a)})
	}
	return mix.loads
}

// meanRunTime returns the expected run time of an average task of a route on a server.
func (s *Scheduler) meanRunTime(route string, a *agent) time.Duration {
	stats, ok := s.corrector[route]
	if !ok {
		return time.Duration(a.report.RunSeconds * float64(time.Second))
	}
	return time.Duration(math.Exp(stats.mean) * a.boundedSlowness() * float64(time.Second))
}

// setRoutes sets the names of the configured routes. Estimates and numbers of runs of others
// are ignored.
func (i *interferenceState) setRoutes(names []string) {
	if i == nil {
		return
	}
	i.pool.SetRoutes(names)
	maps.DeleteFunc(i.demand, func(name string, _ float64) bool { return !i.pool.Known(name) })
	maps.DeleteFunc(i.needs, func(name string, _ float64) bool { return !i.pool.Known(name) })
}

// dump returns the state for operators, or nil if the setting is off.
func (i *interferenceState) dump(now time.Duration) *InterferenceDump {
	if i == nil {
		return nil
	}
	d := &InterferenceDump{Agents: i.pool.AgentCount(), Mode: string(i.mode), Pairs: []FindingDump{}}
	for _, f := range i.pool.Findings() {
		d.Pairs = append(d.Pairs, FindingDump{
			Age: (now - f.Since).Round(time.Second).String(), Agents: f.Agents, Factor: f.Factor, Neighbor: f.Neighbor, Route: f.Route, Score: f.Score,
		})
	}
	return d
}
