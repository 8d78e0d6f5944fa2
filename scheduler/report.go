package scheduler

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Largest values of a report. Larger ones are not possible and would overflow a
// time.Duration when they are multiplied by a run time.
const (
	// maxRunSeconds is the mean run time at which estimates are limited, in seconds.
	maxRunSeconds = float64(maxEstimate) / 1e9
	// maxWait is the longest time that a task may wait at a server, in milliseconds.
	maxWait = int(maxEstimate / time.Millisecond)
	// maxSlowness is far above the factor to which agents limit the ratio of a run time.
	maxSlowness = 1000
)

// An InvalidReport is a report of an agent with numbers that are not in the possible range.
type InvalidReport struct {
	Agent string
	// Fields are the names of the fields that were replaced.
	Fields []string
	// First is set for the first such report on a link.
	First bool
}

// validReport returns a report in which numbers that are not in the possible range count as
// not stated: no failed runs, a slowness of 1, a run time of 0, no capacity, the announced
// capacity as the effective one, no free resources and no waits. It also returns the names of the fields that it replaced.
func validReport(r tasklink.Report) (valid tasklink.Report, replaced []string) {
	if !(r.FailRate >= 0 && r.FailRate <= 1) { // Also if it is not a number.
		r.FailRate, replaced = 0, append(replaced, "FailRate")
	}
	if !(r.Slowness >= 0 && r.Slowness <= maxSlowness) {
		r.Slowness, replaced = 1, append(replaced, "Slowness")
	}
	if !(r.RunSeconds >= 0 && r.RunSeconds <= maxRunSeconds) {
		r.RunSeconds, replaced = 0, append(replaced, "RunSeconds")
	}
	if !r.Capacity.Covers(pollenfront.Resources{}) || !pollenfront.MaxCapacity.Covers(r.Capacity) {
		r.Capacity, replaced = pollenfront.Resources{}, append(replaced, "Capacity")
	}
	if !r.Capacity.Covers(r.EffectiveCapacity) || !r.EffectiveCapacity.Covers(pollenfront.Resources{}) {
		r.EffectiveCapacity, replaced = pollenfront.Resources{}, append(replaced, "EffectiveCapacity")
	}
	if !pollenfront.MaxCapacity.Covers(r.Free) || !r.Free.Add(pollenfront.MaxCapacity).Covers(pollenfront.Resources{}) {
		r.Free, replaced = pollenfront.Resources{}, append(replaced, "Free")
	}
	if slices.ContainsFunc(r.Waits, func(ms int) bool { return ms < 0 || ms > maxWait }) {
		r.Waits, replaced = nil, append(replaced, "Waits")
	}
	return r, replaced
}

// recordReport replaces the report of an agent by a newer one.
func (a *agent) recordReport(report tasklink.Report, effects *Effects) {
	var replaced []string
	a.report, replaced = validReport(report)
	if len(replaced) > 0 {
		effects.InvalidReports = append(effects.InvalidReports, InvalidReport{Agent: a.Name, Fields: replaced, First: !a.invalidReport})
		a.invalidReport = true
	}
}
