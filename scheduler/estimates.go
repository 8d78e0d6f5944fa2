package scheduler

import (
	"math"
	"time"
)

// Parameters of estimates, which are reckoned with as logarithms of seconds,
// since they are off by a factor.
const (
	// errorVariance is the variance of callers' errors: mostly within half and
	// double the real run time.
	errorVariance = 0.16
	// firstVariance is the variance of a route's estimates before any is known.
	firstVariance = 0.29
	minEstimate   = time.Millisecond
	// routeWeight is the weight of a new job in what is known of its route.
	routeWeight = 0.02
)

// A routeStats is what is known of the callers' estimates of a route.
type routeStats struct {
	mean     float64
	variance float64
}

// estimateCorrector are what is known of the callers' estimateCorrector, by route.
type estimateCorrector map[string]*routeStats

// correct returns the expected run time of a route's task on a server of
// slowness 1, and learns from the caller's estimate. The less the estimates of
// a route differ, the more of the difference is error, and the nearer the
// expected time is to their mean.
func (e estimateCorrector) correct(route string, estimate time.Duration) time.Duration {
	value := math.Log(max(estimate, minEstimate).Seconds())
	known, ok := e[route]
	if !ok {
		known = &routeStats{mean: value, variance: firstVariance}
		e[route] = known
	}
	trust := max(0, known.variance-errorVariance) / known.variance
	difference := value - known.mean
	expected := known.mean + trust*difference
	known.mean += difference * routeWeight
	known.variance += (difference*difference - known.variance) * routeWeight
	return time.Duration(math.Exp(expected) * float64(time.Second))
}
