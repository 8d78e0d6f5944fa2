// Package random is the baseline policy that sends a task to any server with
// room.
//
// # Usage
//
// Operators select it with `pollenctl set policy random`.
package random

import (
	"math/rand/v2"

	"github.com/pollenfront/pollenfront"
)

var _ pollenfront.Policy = Policy{}

// A Policy chooses uniformly among the servers with room.
type Policy struct{}

// Choose implements pollenfront.Policy.
func (Policy) Choose(candidates []pollenfront.Candidate, random *rand.Rand) int {
	chosen, seen := -1, 0
	for i, c := range candidates {
		if c.Room <= 0 {
			continue
		}
		seen++
		if random.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen
}

// Name implements pollenfront.Policy.
func (Policy) Name() string { return "random" }
