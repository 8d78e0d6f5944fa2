// Package yardstick calculates what response times are compared with.
//
// Ideal is the response time of a job alone on an idle fleet. Clairvoyant is
// that of one central queue in the order of arrival that knows all run times
// and speeds and pays no messages. Both send each task, the longest of a job
// first, to the slot that finishes it earliest.
//
// # Usage
//
//	y := yardstick.New(speedsOfAllSlots)
//	ideal := y.Ideal(work)
//	clairvoyant := y.Clairvoyant(arrivals)
package yardstick

import (
	"cmp"
	"slices"
	"time"
)

// An Arrival is a job at the instant of its submission.
type Arrival struct {
	At   time.Time
	Work []time.Duration // Of each task, at speed 1.
}

// A Yardstick calculates for a fleet.
type Yardstick struct {
	speeds []float64 // Of each slot.
}

// New returns a Yardstick for slots of the given speeds.
func New(speeds []float64) *Yardstick {
	return &Yardstick{speeds: speeds}
}

// Ideal returns the response time of a job alone on an idle fleet.
func (y *Yardstick) Ideal(work []time.Duration) time.Duration {
	return y.schedule(make([]time.Duration, len(y.speeds)), 0, work)
}

// Clairvoyant returns the response times of jobs, which must be in the order of
// arrival.
func (y *Yardstick) Clairvoyant(arrivals []Arrival) []time.Duration {
	if len(arrivals) == 0 {
		return nil
	}
	free := make([]time.Duration, len(y.speeds))
	responses := make([]time.Duration, 0, len(arrivals))
	for _, a := range arrivals {
		at := a.At.Sub(arrivals[0].At)
		responses = append(responses, y.schedule(free, at, a.Work)-at)
	}
	return responses
}

// schedule places the tasks of a job that arrives at the given time, and
// returns the time when the last one ends. Free holds the time from which each
// slot is free.
func (y *Yardstick) schedule(free []time.Duration, at time.Duration, work []time.Duration) time.Duration {
	sorted := slices.SortedFunc(slices.Values(work), func(a, b time.Duration) int { return cmp.Compare(b, a) })
	var last time.Duration
	for _, w := range sorted {
		best, bestEnd := 0, time.Duration(-1)
		for i, speed := range y.speeds {
			end := max(free[i], at) + time.Duration(float64(w)/speed)
			if bestEnd < 0 || end < bestEnd {
				best, bestEnd = i, end
			}
		}
		free[best] = bestEnd
		last = max(last, bestEnd)
	}
	return last
}
