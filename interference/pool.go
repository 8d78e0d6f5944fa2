package interference

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of findings.
const (
	// agentsToFind is the least number of agents that must see the effect, so that one
	// agent alone creates no finding.
	agentsToFind = 3
	// dropEffect and dropScore are the values below which a finding is dropped. They
	// are well below those that create it, so that a finding does not come and go.
	dropEffect = 0.06
	dropScore  = 2.5
	// findEffect is the least effect that is found: a factor of 1.12.
	findEffect = 0.113
	// findScore is the least ratio of the effect to its standard deviation. With a normal
	// distribution, 1 of 10⁴ estimates exceed it by chance.
	findScore = 3.7
	// findScoreWithout is the same without the agent that contributes most. It is lower, as
	// less evidence is left.
	findScoreWithout = 3
	// maxAgentEffect limits the effect that an agent is taken to see, so that one agent does
	// not hide what the others see.
	maxAgentEffect = 1
	// maxEffect is the largest effect that is not absurd: a factor of 20.
	maxEffect = 3
	// maxRelativeWeight limits the weight of an agent to this multiple of the median
	// weight, so that none dominates the others.
	maxRelativeWeight = 4
	// maxRows is the number of estimates of an agent that are kept.
	maxRows = MaxRoutes * MaxRoutes
	// maxWeight is the largest weight that an agent can have: maxRuns runs, half of
	// them beside the neighbor, with the least variance.
	maxWeight = maxRuns * 0.25 / minVariance
	// minWeight is the weight below which a decayed estimate is removed.
	minWeight = 0.25
	// priorWeight is the weight of the assumption that there is no effect: factors are
	// mostly within 1/1.2 and 1.2.
	priorWeight = 25
)

// Errors of Pool.Add, each for a kind of invalid data.
var (
	ErrEffect  = errors.New("the effect is not in the possible range")
	ErrRoute   = errors.New("the route is not known")
	ErrTooMany = errors.New("there are too many estimates")
	ErrWeight  = errors.New("the weight is not in the possible range")
)

// A Pair is a route and a neighbor that may slow it down.
type Pair struct {
	Neighbor string
	Route    string
}

// A Finding is a pair with a significant effect.
type Finding struct {
	Pair

	// Agents is the number of agents that see the effect.
	Agents int
	// Factor is the factor by which runs of Route take longer beside Neighbor.
	Factor float64
	// Score is the ratio of the effect to its standard deviation.
	Score float64
	// Since is when the pair was found.
	Since time.Duration
}

// A Change is a finding that was made or dropped.
type Change struct {
	Finding

	Dropped bool
}

// A Pool combines the estimates of agents.
type Pool struct {
	agents   map[string]map[Pair]record
	findings map[Pair]Finding
	routes   map[string]bool // routes are the known routes. If it is nil, all are.
}

// A record is an estimate of an agent.
type record struct {
	at             time.Duration
	effect, weight float64
}

// NewPool returns a Pool without evidence.
func NewPool() *Pool {
	return &Pool{agents: make(map[string]map[Pair]record), findings: make(map[Pair]Finding)}
}

// SetRoutes sets the known routes. Estimates for others are invalid.
func (p *Pool) SetRoutes(names []string) {
	p.routes = make(map[string]bool, len(names))
	for _, name := range names {
		p.routes[name] = true
	}
	for _, records := range p.agents {
		maps.DeleteFunc(records, func(pair Pair, _ record) bool { return !p.knownPair(pair) })
	}
}

// Known reports whether a route is known.
func (p *Pool) Known(route string) bool {
	return p.routes == nil || p.routes[route]
}

// knownPair reports whether both routes of a pair are known.
func (p *Pool) knownPair(pair Pair) bool {
	return p.Known(pair.Route) && p.Known(pair.Neighbor)
}

// validate returns an error if an estimate is invalid.
func (p *Pool) validate(e Estimate) error {
	switch {
	case e.Route == "" || e.Neighbor == "" || !p.knownPair(e.pair()):
		return fmt.Errorf("%w: %q beside %q", ErrRoute, e.Route, e.Neighbor)
	case !(math.Abs(e.Effect) <= maxEffect): // This is also so for NaN.
		return fmt.Errorf("%w: %g", ErrEffect, e.Effect)
	case !(e.Weight >= 0 && e.Weight <= maxWeight):
		return fmt.Errorf("%w: %g", ErrWeight, e.Weight)
	}
	return nil
}

// Add replaces the estimates of an agent for the given pairs. It ignores invalid ones, and
// returns how many these are and the error of the first.
func (p *Pool) Add(now time.Duration, agent string, estimates []Estimate) (invalid int, err error) {
	if len(estimates) > maxRows {
		return len(estimates), ErrTooMany
	}
	records, ok := p.agents[agent]
	if !ok {
		records = make(map[Pair]record)
		p.agents[agent] = records
	}
	for _, e := range estimates {
		rowErr := p.validate(e)
		pair := e.pair()
		if _, known := records[pair]; rowErr == nil && !known && len(records) == maxRows {
			rowErr = ErrTooMany
		}
		if rowErr != nil {
			invalid++
			if err == nil {
				err = rowErr
			}
			continue
		}
		records[pair] = record{at: now, effect: e.Effect, weight: e.Weight}
	}
	return invalid, err
}

// Remove removes the evidence of an agent, which has restarted or left.
func (p *Pool) Remove(agent string) {
	delete(p.agents, agent)
}

// decayedWeight returns the weight of a record by its age.
func (r record) decayedWeight(now time.Duration) float64 {
	return r.weight * math.Exp2(-(now-r.at).Seconds()/halfLife.Seconds())
}

// Evaluate makes and drops findings by the present evidence, and returns the changes
// sorted by pair.
func (p *Pool) Evaluate(now time.Duration) []Change {
	byPair := make(map[Pair][]record)
	for _, agent := range slices.Sorted(maps.Keys(p.agents)) {
		for pair, r := range p.agents[agent] {
			r.weight = r.decayedWeight(now)
			if r.weight < minWeight {
				delete(p.agents[agent], pair)
				continue
			}
			byPair[pair] = append(byPair[pair], r)
		}
	}
	var changes []Change
	for pair, finding := range p.findings {
		if len(byPair[pair]) == 0 {
			delete(p.findings, pair)
			finding.Agents, finding.Score = 0, 0
			changes = append(changes, Change{Dropped: true, Finding: finding})
		}
	}
	for pair, records := range byPair {
		if change, ok := p.judge(now, pair, combine(records)); ok {
			changes = append(changes, change)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return comparePairs(a.Pair, b.Pair) })
	return changes
}

// judge updates, makes or drops the finding for a pair. It returns false if it neither made
// nor dropped one.
func (p *Pool) judge(now time.Duration, pair Pair, c combined) (Change, bool) {
	finding, found := p.findings[pair]
	if !found {
		if c.effect < findEffect || c.score < findScore || c.scoreWithout < findScoreWithout || c.agents < agentsToFind {
			return Change{}, false
		}
		finding = Finding{Pair: pair, Since: now}
	}
	finding.Agents, finding.Factor, finding.Score = c.agents, math.Exp(c.effect), c.score
	if found && (c.effect < dropEffect || c.score < dropScore || c.scoreWithout <= 0) {
		delete(p.findings, pair)
		return Change{Dropped: true, Finding: finding}, true
	}
	p.findings[pair] = finding
	return Change{Finding: finding}, !found
}

// A combined is the evidence of all agents for a pair.
type combined struct {
	agents              int
	effect              float64 // effect is shrunk towards zero by priorWeight.
	score, scoreWithout float64 // scoreWithout is the score without the agent that contributes most.
}

// combine returns the combined evidence of agents, of which there must be at least one.
func combine(records []record) combined {
	weights := make([]float64, 0, len(records))
	for _, r := range records {
		weights = append(weights, r.weight)
	}
	slices.Sort(weights)
	limit := maxRelativeWeight * weights[(len(weights)-1)/2]
	var c combined
	sum, total, largest, largestWeight := 0.0, 0.0, math.Inf(-1), 0.0
	for _, r := range records {
		weight := min(r.weight, limit)
		contribution := weight * min(max(r.effect, -maxAgentEffect), maxAgentEffect)
		if r.effect > 0 {
			c.agents++
		}
		sum += contribution
		total += weight
		if contribution > largest {
			largest, largestWeight = contribution, weight
		}
	}
	c.effect = sum / (total + priorWeight)
	c.score = sum / math.Sqrt(total)
	if rest := total - largestWeight; rest > 0 {
		c.scoreWithout = (sum - largest) / math.Sqrt(rest)
	}
	return c
}

// Findings returns the findings, sorted by pair.
func (p *Pool) Findings() []Finding {
	return slices.SortedFunc(maps.Values(p.findings), func(a, b Finding) int { return comparePairs(a.Pair, b.Pair) })
}

// Factor returns the factor by which runs of a route take longer beside a neighbor. It is 1
// if the pair is not found.
func (p *Pool) Factor(route, neighbor string) float64 {
	if f, ok := p.findings[Pair{Neighbor: neighbor, Route: route}]; ok {
		return f.Factor
	}
	return 1
}

// comparePairs orders pairs by the name of the route, then by that of the neighbor.
func comparePairs(a, b Pair) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Neighbor, b.Neighbor))
}

// AgentCount returns the number of agents with evidence.
func (p *Pool) AgentCount() int {
	count := 0
	for _, records := range p.agents {
		if len(records) > 0 {
			count++
		}
	}
	return count
}
