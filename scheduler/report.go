package scheduler

import (
	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Largest values of a report. Larger ones are not possible and would overflow a
// time.Duration when they are multiplied by a run time.
const (
	// maxRunSeconds is the mean run time at which estimates are limited, in seconds.
	maxRunSeconds = float64(maxEstimate) / 1e9
	// maxSlowness is far above the factor to which agents limit the ratio of a run time.
	maxSlowness = 1000
)

// validReport returns a report in which numbers that are not in the possible range count as
// not stated: a slowness of 1, a run time of 0, no capacity, and the announced capacity as the
// effective one.
func validReport(r tasklink.Report) tasklink.Report {
	if !(r.Slowness >= 0 && r.Slowness <= maxSlowness) { // Also if it is not a number.
		r.Slowness = 1
	}
	if !(r.RunSeconds >= 0 && r.RunSeconds <= maxRunSeconds) {
		r.RunSeconds = 0
	}
	if !r.Capacity.Covers(pollenfront.Resources{}) {
		r.Capacity = pollenfront.Resources{}
	}
	if !r.Capacity.Covers(r.EffectiveCapacity) || !r.EffectiveCapacity.Covers(pollenfront.Resources{}) {
		r.EffectiveCapacity = pollenfront.Resources{}
	}
	return r
}
