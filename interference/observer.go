// Package interference detects pairs of routes whose tasks slow each other down on one
// server. It has no clock and no network.
//
// An agent has an Observer, which is told of the starts and ends of runs. For each run it
// takes the logarithm of the ratio of actual to expected time, corrected for the server's
// slowness, and the share of the run's time in which a run of each other route was on the
// server. Runs of a route are compared only with runs of the same route on the same server
// within a few seconds (a block), so that slow changes cancel out: of the server's speed, of
// the errors of a route's estimates, and of loads that rise and fall together. A regression
// over the blocks separates the neighbors from each other and from the server's load.
//
// An entry has a Pool, which combines the estimates of its agents. A pair is found when the
// combined estimate is significant, also without the agent that contributes most to it. A
// Model turns the findings into the additional time that placement takes into account.
//
// # Usage
//
//	observer.Start(now, interference.Run{Job: job, Key: key, Route: route, CPU: need.CPU})
//	observer.End(now, key, ratio)
//	pool.Add(now, agent, observer.Estimates(now))
//	changes := pool.Evaluate(now)
package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// MaxRoutes is the number of routes that an Observer distinguishes. Runs of further routes
// count only as load.
const MaxRoutes = 32

// An Estimate is what one agent knows of the effect of a neighbor on a route.
type Estimate struct {
	// Effect is the logarithm of the factor by which a run of Route takes longer while a run
	// of Neighbor is on the server.
	Effect   float64
	Neighbor string
	Route    string
	// Weight is the inverse of the variance of Effect.
	Weight float64
}

// pair returns the pair that the estimate is about.
func (e Estimate) pair() Pair {
	return Pair{Neighbor: e.Neighbor, Route: e.Route}
}

// A Run is a run that starts on the server.
type Run struct {
	// CPU is the need of the run in thousandths of a core.
	CPU int
	// Job is the ID of the job. The runs of a job share the error of its estimate, so
	// they count together as one observation.
	Job string
	// Key identifies the run among those on the server.
	Key   any
	Route string
}

// An Observer measures the runs of one server.
type Observer struct {
	active map[any]*activeRun
	// capacity is the CPU capacity of the server in thousandths of a core.
	capacity int
	// cpu is the CPU in use.
	cpu int
	// indexes maps the name of each route to its index in routes.
	indexes map[string]int
	jobs    map[string]*jobRuns
	// lastEvent is the time up to which load and the integrals of the routes are computed.
	lastEvent time.Duration
	// load is the integral of the CPU in use over the time, as a share of the capacity.
	load   float64
	routes []*routeState
}

// A routeState is what an Observer keeps of a route.
type routeState struct {
	// count is the number of runs of the route on the server.
	count int
	// crowded is the time in seconds in which at least two runs were on the server.
	crowded float64
	name    string
	// present is the time in seconds in which at least one run was on the server.
	present    float64
	regression *regression
}

// An activeRun is a run on the server, with the integrals at its start.
type activeRun struct {
	Run

	load     float64
	presence []float64
	route    int // route is the index of the route, or -1.
	started  time.Duration
}

// A jobRuns counts the runs of a job on the server: active those that have not ended, total
// all since the job last had none.
type jobRuns struct {
	active, total int
}

// NewObserver returns an Observer for a server without runs.
func NewObserver() *Observer {
	return &Observer{active: make(map[any]*activeRun), indexes: make(map[string]int), jobs: make(map[string]*jobRuns)}
}

// SetCapacity sets the CPU capacity of the server in thousandths of a core.
func (o *Observer) SetCapacity(cpu int) {
	o.capacity = cpu
}

// advance brings the integrals up to now.
func (o *Observer) advance(now time.Duration) {
	seconds := (now - o.lastEvent).Seconds()
	o.lastEvent = now
	if seconds <= 0 {
		return
	}
	o.load += seconds * float64(o.cpu) / float64(max(1, o.capacity))
	for _, r := range o.routes {
		if r.count >= 1 {
			r.present += seconds
		}
		if r.count >= 2 {
			r.crowded += seconds
		}
	}
}

// routeIndex returns the index of a route, or -1 if there are too many.
func (o *Observer) routeIndex(name string) int {
	i, ok := o.indexes[name]
	if ok {
		return i
	}
	if len(o.routes) == MaxRoutes {
		return -1
	}
	o.indexes[name] = len(o.routes)
	o.routes = append(o.routes, &routeState{name: name, regression: newRegression()})
	return len(o.routes) - 1
}

// Start records that a run starts. It does nothing if the run is known.
func (o *Observer) Start(now time.Duration, run Run) {
	if _, ok := o.active[run.Key]; ok {
		return
	}
	o.advance(now)
	a := &activeRun{Run: run, load: o.load, route: o.routeIndex(run.Route), started: now}
	a.presence = o.presence(a.route)
	o.active[run.Key] = a
	o.cpu += run.CPU
	if a.route >= 0 {
		o.routes[a.route].count++
	}
	job, ok := o.jobs[run.Job]
	if !ok {
		job = &jobRuns{}
		o.jobs[run.Job] = job
	}
	job.active++
	job.total++
}

// presence returns the integrals of the presence of each route as a run of the route with
// the given index sees them: of its own route, there must be another run.
func (o *Observer) presence(route int) []float64 {
	values := make([]float64, len(o.routes))
	for i, r := range o.routes {
		values[i] = r.present
		if i == route {
			values[i] = r.crowded
		}
	}
	return values
}

// End records that a run ends. ratio is that of its actual to its expected time on this
// server, or zero if the run tells nothing, as it did not complete.
func (o *Observer) End(now time.Duration, key any, ratio float64) {
	a, ok := o.active[key]
	if !ok {
		return
	}
	o.advance(now)
	delete(o.active, key)
	o.cpu -= a.CPU
	if a.route >= 0 {
		o.routes[a.route].count--
	}
	job := o.jobs[a.Job]
	job.active--
	if job.active == 0 {
		delete(o.jobs, a.Job)
	}
	if a.route < 0 || now <= a.started || !(ratio > 0) || math.IsInf(ratio, 1) {
		return
	}
	o.routes[a.route].regression.add(now, observation{value: math.Log(ratio), weight: 1 / float64(job.total), x: o.covariates(now, a)})
}

// covariates returns the covariates of a run that ends. The integrals must be advanced to now.
func (o *Observer) covariates(now time.Duration, a *activeRun) []float64 {
	seconds := (now - a.started).Seconds()
	x := make([]float64, covariateCount)
	for i, value := range o.presence(a.route) {
		if i < len(a.presence) {
			value -= a.presence[i]
		}
		x[i] = min(1, value/seconds)
	}
	others := (o.load-a.load)/seconds - float64(a.CPU)/float64(max(1, o.capacity))
	x[loadCovariate], x[loadSquareCovariate] = others, others*others
	return x
}

// A RouteCount is the number of runs of a route on a server.
type RouteCount struct {
	Count int
	Route string
}

// Counts returns the number of runs on the server by route, sorted by name.
func (o *Observer) Counts() []RouteCount {
	var counts []RouteCount
	for _, r := range o.routes {
		if r.count > 0 {
			counts = append(counts, RouteCount{Count: r.count, Route: r.name})
		}
	}
	slices.SortFunc(counts, func(a, b RouteCount) int { return cmp.Compare(a.Route, b.Route) })
	return counts
}

// Estimates returns the estimates for all pairs for which there is evidence, sorted by pair.
func (o *Observer) Estimates(now time.Duration) []Estimate {
	var estimates []Estimate
	for _, r := range o.routes {
		for i, effect := range r.regression.solve(now, len(o.routes)) {
			if effect.weight > 0 {
				estimates = append(estimates, Estimate{Effect: effect.effect, Neighbor: o.routes[i].name, Route: r.name, Weight: effect.weight})
			}
		}
	}
	slices.SortFunc(estimates, func(a, b Estimate) int { return comparePairs(a.pair(), b.pair()) })
	return estimates
}
