// Package expected is the default policy: it chooses by expected completion.
//
// The cost of a server is the time until one of its slots is free plus the run
// time that was learned for it. A task stays queued at its owner when faster
// servers that are full now are expected to finish it earlier than any server
// with room would.
//
// # Usage
//
// Operators select it with `pollenctl set policy expected`. It is the default.
package expected

import (
	"math/rand/v2"
	"time"

	"github.com/pollenfront/pollenfront"
)

var _ pollenfront.Policy = Policy{}

// A Policy chooses the server with the earliest expected completion.
type Policy struct{}

// Choose implements pollenfront.Policy.
func (Policy) Choose(candidates []pollenfront.Candidate, behind int, _ *rand.Rand) int {
	best := -1
	for i, c := range candidates {
		if c.Room <= 0 {
			continue
		}
		if best < 0 || cost(c) < cost(candidates[best]) {
			best = i
		}
	}
	if best < 0 || waitIsBetter(candidates, cost(candidates[best]), behind) {
		return -1
	}
	return best
}

// Name implements pollenfront.Policy.
func (Policy) Name() string { return "expected" }

// cost returns the time until c would have finished the task.
func cost(c pollenfront.Candidate) time.Duration {
	return c.Wait + c.Expected
}

// waitIsBetter reports whether the servers that are full but faster than limit
// are expected to finish the task sooner than limit, given the number of tasks
// queued before it.
func waitIsBetter(candidates []pollenfront.Candidate, limit time.Duration, behind int) bool {
	var rate, weighted float64 // Tasks a second; their run time in seconds times that.
	for _, c := range candidates {
		if c.Room > 0 || c.Expected >= limit {
			continue
		}
		r := float64(c.Slots) / c.Expected.Seconds()
		rate += r
		weighted += r * c.Expected.Seconds()
	}
	if rate == 0 {
		return false
	}
	waiting := float64(behind+1) / rate
	return waiting+weighted/rate < limit.Seconds()
}
