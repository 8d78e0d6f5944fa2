package scheduler

import (
	"math"
	"time"
)

// Parameters of estimates.
const (
	// estimateTrust is how much of a caller's estimate is believed. The rest
	// is taken from the mean of its route.
	estimateTrust = 0.45
	// routeWeight is the weight of a new job in the mean of its route.
	routeWeight = 0.02
	minEstimate = time.Millisecond
)

// estimates are the means of the callers' estimates, by route, as logarithms
// of seconds. Estimates are far off by a factor, so their mean is geometric.
type estimates map[string]float64

// expect returns the expected run time of a route's task on a server of
// slowness 1, and learns from the caller's estimate.
func (e estimates) expect(route string, estimate time.Duration) time.Duration {
	value := math.Log(max(estimate, minEstimate).Seconds())
	mean, ok := e[route]
	if !ok {
		mean = value
	}
	e[route] = mean + (value-mean)*routeWeight
	return time.Duration(math.Exp(mean+(value-mean)*estimateTrust) * float64(time.Second))
}
