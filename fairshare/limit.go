package fairshare

import (
	"math"
	"time"
)

// Parameters of the admission limit.
const (
	// firstStrictness is the strictness of a new route, and of one without recent outcomes.
	firstStrictness = 1.5
	// limitFadeTime is the time in which an outcome fades to 1/e. It is longer than the
	// time from the admission of a job to its outcome, so that the limit does not react
	// to its own last change before its effect is seen.
	limitFadeTime = 3 * time.Second
	// MaxStrictness and MinStrictness bound the strictness. Bounds of 4 and 1 served fewer
	// jobs in the replay: 0.791 and 0.705 at 130 and 160 %, 0.800 and 0.712 with these.
	MaxStrictness = 3
	MinStrictness = 0.5
	// priorOutcomes is the number of outcomes for which firstStrictness counts, so that
	// few outcomes change the limit little.
	priorOutcomes = 10
)

// A Limit decides how strictly a route admits jobs. Its strictness is the factor by which the
// expected delay by the jobs ahead is multiplied before it is compared with the time that a
// job has. It is usually above 1, since with the spread of the estimates some jobs are late whose
// mean expected delay is short enough. It is below 1 where the mean work ahead overstates the
// delay, as other entries leave more of the servers than the entry's share.
//
// The strictness is a function of the faded numbers of late and refused jobs, not an integral:
// late jobs raise it, refused ones lower it, and it stays between its bounds. With a single
// lag it approaches its new value from one side after a change of the load. The zero value
// is a limit without outcomes.
type Limit struct {
	late    float64
	refused float64
	updated time.Duration
}

// Late counts a job that was answered late.
func (l *Limit) Late(now time.Duration) {
	l.fade(now)
	l.late++
}

// Refused counts a job that was refused because of the load.
func (l *Limit) Refused(now time.Duration) {
	l.fade(now)
	l.refused++
}

// fade fades the outcomes up to now.
func (l *Limit) fade(now time.Duration) {
	if now <= l.updated {
		return
	}
	factor := math.Exp(-(now - l.updated).Seconds() / limitFadeTime.Seconds())
	l.late *= factor
	l.refused *= factor
	l.updated = now
}

// Strictness returns the factor by which the expected delay of a job is multiplied.
func (l *Limit) Strictness(now time.Duration) float64 {
	l.fade(now)
	const prior = float64(firstStrictness-MinStrictness) / (MaxStrictness - MinStrictness)
	share := (l.late + prior*priorOutcomes) / (l.late + l.refused + priorOutcomes)
	return MinStrictness + (MaxStrictness-MinStrictness)*share
}
