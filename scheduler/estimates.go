package scheduler

import (
	"math"
	"time"
)

// Parameters of the correction of estimates. Estimates are compared as logarithms
// of seconds, since their errors are factors.
const (
	// errorVariance is the assumed variance of the callers' errors: most estimates
	// are between half and double the actual run time.
	errorVariance = 0.16
	// firstVariance is the variance that is assumed for a route before its first
	// estimate.
	firstVariance = 0.29
	// maxDeviation limits the deviation of an estimate from the mean of its route in the
	// statistics, so that a single absurd estimate does not change those of later jobs.
	maxDeviation = 2
	// maxEstimate is the longest estimate; longer ones are lowered to it.
	maxEstimate = time.Hour
	// minEstimate is the shortest estimate; shorter ones are raised to it.
	minEstimate = time.Millisecond
	// routeWeight is the weight of a new estimate in the statistics of its route.
	routeWeight = 0.02
)

// A routeStats holds the moving mean and variance of the logarithms of a route's
// estimates.
type routeStats struct {
	mean     float64
	variance float64
}

// An estimateCorrector corrects the callers' estimates of run times. It holds the
// statistics of each route by its name.
type estimateCorrector map[string]*routeStats

// correct returns the expected run time of a route's task on a server of slowness
// 1, and adds the caller's estimate to the route's statistics. It moves the
// estimate towards the mean of the route: the less the estimates of a route vary,
// the larger the share of the variance that is due to errors, and the closer to the
// mean the expected run time is.
func (e estimateCorrector) correct(route string, estimate time.Duration) time.Duration {
	value := math.Log(min(max(estimate, minEstimate), maxEstimate).Seconds())
	stats, ok := e[route]
	if !ok {
		stats = &routeStats{mean: value, variance: firstVariance}
		e[route] = stats
	}
	weight := max(0, stats.variance-errorVariance) / stats.variance
	deviation := value - stats.mean
	expected := stats.mean + weight*deviation
	deviation = min(max(deviation, -maxDeviation), maxDeviation)
	stats.mean += deviation * routeWeight
	stats.variance += (deviation*deviation - stats.variance) * routeWeight
	return time.Duration(math.Exp(expected) * float64(time.Second))
}
