// Package leastoutstanding is the baseline policy that sends a task to the
// server with the fewest outstanding tasks.
//
// # Usage
//
// Operators select it with `pollenctl set policy least-outstanding`.
package leastoutstanding

import (
	"math/rand/v2"

	"github.com/pollenfront/pollenfront"
)

var _ pollenfront.Policy = Policy{}

// A Policy chooses the server with the fewest outstanding tasks, and among
// equals any.
type Policy struct{}

// Choose implements pollenfront.Policy.
func (Policy) Choose(candidates []pollenfront.Candidate, random *rand.Rand) int {
	chosen, equals := -1, 0
	for i, c := range candidates {
		if c.Room <= 0 {
			continue
		}
		switch {
		case chosen < 0 || c.Outstanding() < candidates[chosen].Outstanding():
			chosen, equals = i, 1
		case c.Outstanding() == candidates[chosen].Outstanding():
			equals++
			if random.IntN(equals) == 0 {
				chosen = i
			}
		}
	}
	return chosen
}

// Name implements pollenfront.Policy.
func (Policy) Name() string { return "least-outstanding" }
