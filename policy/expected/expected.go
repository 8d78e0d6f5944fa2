// Package expected is the default policy: it chooses by expected completion.
//
// The cost of a server is the time until one of its slots is free for the task
// plus the run time that was learned for it. A task waits at its owner when a
// server that is full now is expected to finish it earlier than any server
// with room.
//
// # Usage
//
// Operators select it with `pollenctl set policy expected`. It is the default.
package expected

import (
	"math/rand/v2"

	"github.com/pollenfront/pollenfront"
)

var _ pollenfront.Policy = Policy{}

// A Policy chooses the server with the earliest expected completion.
type Policy struct{}

// Choose implements pollenfront.Policy.
func (Policy) Choose(candidates []pollenfront.Candidate, _ *rand.Rand) int {
	best := -1
	for i := range candidates {
		if best < 0 || candidates[i].Cost() < candidates[best].Cost() {
			best = i
		}
	}
	return best
}

// Name implements pollenfront.Policy.
func (Policy) Name() string { return "expected" }
