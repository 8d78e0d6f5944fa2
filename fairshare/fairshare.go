// Package fairshare keeps the accounts by which an entry divides scarce capacity among
// its routes, and among the size classes of the jobs of a route. It also decides how
// strictly each route admits jobs. It has no clock: callers pass the time.
//
// A flow is the jobs of a route in a size class. Its served share is the work that was
// sent to servers as a share of the work that arrived; both fade. A flow lags while its
// served share is below a floor, which is a multiple of the served share of the whole. The
// jobs of lagging flows go first, the flow with the lowest share before the others. Flows
// that do not lag use what is left, so no capacity is reserved.
//
// # Usage
//
//	accounts := fairshare.New()
//	flow, counted := accounts.Arrive(now, "route", size)
//	lagging := accounts.Lagging(now)
//	flow.Serve(now, arrived, counted)
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the accounts. The comparisons are in docs/design/11-fair-shares.md.
const (
	// fadeTime is the time in which an entry in an account fades to 1/e.
	fadeTime = 4 * time.Second
	// firstVariance is the assumed variance of the logarithms of sizes of a new route.
	firstVariance = 0.4
	// firstSizes is the number of sizes of a new route whose mean counts equally.
	firstSizes = 20
	// floor is the served share below which a flow lags, as a multiple of the share of
	// the whole.
	floor = 0.7
	// largestFloor replaces floor for ClassLargest. It is above 1 because estimates are
	// off, so that only a part of the largest jobs is known to be large.
	largestFloor = 1.3
	// maxDeviation limits the deviation of the logarithm of a size from the mean of its
	// route, so that an absurd estimate or need does not distort the accounts.
	maxDeviation = 2
	// starvingFloor is the floor below which a flow is far behind, so that room is held
	// for its first job.
	starvingFloor = 0.5
	// maxSize and minSize bound the sizes, in thousandths of a core times nanoseconds: from
	// a nanosecond of a thousandth of a core to an hour of a million cores.
	maxSize = 3.6e21
	minSize = 1
	// routeWeight is the weight of a new size in the statistics of its route.
	routeWeight = 0.02
)

// A Class is a size class within a route.
type Class int

// Size classes.
const (
	// ClassRest is for the jobs that are in none of the other classes.
	ClassRest Class = iota
	// ClassLarge is for about a fifth of the jobs, below those of ClassLargest.
	ClassLarge
	// ClassLargest is for about a tenth of the jobs.
	ClassLargest
)

// Lower bounds of the classes, in standard deviations above the mean of the logarithms.
const (
	largeBound   = 0.52
	largestBound = 1.28
)

// String implements fmt.Stringer.
func (c Class) String() string {
	return [...]string{"rest", "large", "largest"}[c]
}

// A Flow is the account of the jobs of a route in a size class.
type Flow struct {
	Class Class

	// arrived and served are the sizes of the jobs that have arrived and that were sent to
	// servers, faded up to updated.
	arrived, served float64
	// rank is the position among the lagging flows, or -1.
	rank    int
	route   *Route
	starves bool // starves is set if the flow was below starvingFloor in the last call of Lagging.
	updated time.Duration
}

// A Route holds the flows and the admission limit of a route.
type Route struct {
	Limit Limit
	Name  string

	// count is the number of sizes in mean, up to firstSizes.
	count int
	flows [ClassLargest + 1]*Flow
	// mean and variance are those of the logarithms of the sizes.
	mean, variance float64
}

// Accounts are the accounts of an entry. Each entry accounts for its own jobs only.
type Accounts struct {
	routes map[string]*Route
	sorted []*Route
}

// New returns Accounts without routes.
func New() *Accounts {
	return &Accounts{routes: make(map[string]*Route)}
}

// Routes returns the routes, sorted by name.
func (a *Accounts) Routes() []*Route {
	return a.sorted
}

// route returns the route with a name, and creates it if there is none yet. mean is the mean
// logarithm of sizes with which it is created.
func (a *Accounts) route(name string, mean float64) *Route {
	r, ok := a.routes[name]
	if !ok {
		r = &Route{Name: name, mean: mean, variance: firstVariance}
		for class := range r.flows {
			r.flows[class] = &Flow{Class: Class(class), rank: -1, route: r}
		}
		a.routes[name] = r
		a.sorted = append(a.sorted, r)
		slices.SortFunc(a.sorted, func(a, b *Route) int { return cmp.Compare(a.Name, b.Name) })
	}
	return r
}

// RemoveRoutes removes the routes that the given function reports. Flows of removed routes
// that jobs still refer to do not lag.
func (a *Accounts) RemoveRoutes(removed func(name string) bool) {
	a.sorted = slices.DeleteFunc(a.sorted, func(r *Route) bool {
		if !removed(r.Name) {
			return false
		}
		delete(a.routes, r.Name)
		for _, f := range r.flows {
			f.rank, f.starves = -1, false
		}
		return true
	})
}

// Arrive adds a new job to the account of its flow and to the statistics of its route. It
// returns the flow, and the size for which the job counts there: absurd sizes are limited.
func (a *Accounts) Arrive(now time.Duration, route string, size float64) (*Flow, float64) {
	if !(size >= minSize) { // Also if it is not a number.
		size = minSize
	}
	value := math.Log(min(size, maxSize))
	r := a.route(route, value)
	deviation := r.deviation(value)
	f, counted := r.flows[r.class(deviation)], math.Exp(r.mean+deviation)
	r.recordSize(value)
	f.fade(now)
	f.arrived += counted
	return f, counted
}

// deviation returns the limited deviation of the logarithm of a size from the mean.
func (r *Route) deviation(value float64) float64 {
	return min(max(value-r.mean, -maxDeviation), maxDeviation)
}

// class returns the class of sizes whose logarithms have a deviation from the mean.
func (r *Route) class(deviation float64) Class {
	switch spread := math.Sqrt(r.variance); {
	case deviation > largestBound*spread:
		return ClassLargest
	case deviation > largeBound*spread:
		return ClassLarge
	}
	return ClassRest
}

// recordSize adds the logarithm of a size to the statistics. The first sizes count equally,
// so that an absurd first one fades quickly.
func (r *Route) recordSize(value float64) {
	if r.count < firstSizes {
		r.count++
		r.mean += (value - r.mean) / float64(r.count)
		return
	}
	deviation := r.deviation(value)
	r.mean += deviation * routeWeight
	r.variance += (deviation*deviation - r.variance) * routeWeight
}

// Serve adds a job that is sent to servers, with the size that Arrive returned for it at the
// time arrived.
func (f *Flow) Serve(now, arrived time.Duration, counted float64) {
	f.fade(now)
	f.served += counted * fading(now-arrived)
}

// Withdraw takes back the arrival of a job whose caller has left before it was served, with the
// size that Arrive returned for it at the time arrived.
func (f *Flow) Withdraw(now, arrived time.Duration, counted float64) {
	f.fade(now)
	f.arrived = max(0, f.arrived-counted*fading(now-arrived))
}

// fading returns the factor by which an entry in an account fades in a time.
func fading(d time.Duration) float64 {
	return math.Exp(-d.Seconds() / fadeTime.Seconds())
}

// Starves reports whether the flow was far behind, below starvingFloor, in the last call of
// Lagging.
func (f *Flow) Starves() bool {
	return f.starves
}

// Route returns the route of the flow.
func (f *Flow) Route() *Route {
	return f.route
}

// fade fades the account up to now.
func (f *Flow) fade(now time.Duration) {
	if now <= f.updated {
		return
	}
	factor := fading(now - f.updated)
	f.arrived *= factor
	f.served *= factor
	f.updated = now
}

// ServedShare returns the served share of the flow. It is 1 if nothing has arrived.
func (f *Flow) ServedShare(now time.Duration) float64 {
	f.fade(now)
	return servedShare(f.served, f.arrived)
}

// servedShare returns the share of arrived work that was served.
func servedShare(served, arrived float64) float64 {
	if arrived < minSize {
		return 1
	}
	return served / arrived
}

// Lagging returns the lagging flows, the one with the lowest served share first. It also
// sets what Rank and Starves return.
func (a *Accounts) Lagging(now time.Duration) []*Flow {
	arrived, served := 0.0, 0.0
	for _, r := range a.sorted {
		for _, f := range r.flows {
			f.fade(now)
			arrived += f.arrived
			served += f.served
		}
	}
	whole := servedShare(served, arrived)
	var lagging []*Flow
	for _, r := range a.sorted {
		for _, f := range r.flows {
			limit := floor
			if f.Class == ClassLargest {
				limit = largestFloor
			}
			share := servedShare(f.served, f.arrived)
			f.rank, f.starves = -1, share < starvingFloor*whole
			if f.arrived >= minSize && share < limit*whole {
				lagging = append(lagging, f)
			}
		}
	}
	slices.SortStableFunc(lagging, func(a, b *Flow) int {
		return cmp.Compare(servedShare(a.served, a.arrived), servedShare(b.served, b.arrived))
	})
	for i, f := range lagging {
		f.rank = i
	}
	return lagging
}

// Rank returns the position that the flow had among the lagging flows in the last call of
// Lagging, or -1.
func (f *Flow) Rank() int {
	return f.rank
}

// Flows returns the flows of the route, by class.
func (r *Route) Flows() []*Flow {
	return r.flows[:]
}
