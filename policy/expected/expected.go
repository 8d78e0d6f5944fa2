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

// equalShare is the inverse of the difference up to which costs count as equal.
const equalShare = 30

var _ pollenfront.Policy = Policy{}

// A Policy chooses the server with the earliest expected completion.
type Policy struct{}

// Choose implements pollenfront.Policy. Among servers that are about equal, it
// chooses any, so that several owners do not all choose the same one.
func (Policy) Choose(candidates []pollenfront.Candidate, random *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	least := candidates[0].Cost()
	for _, c := range candidates[1:] {
		least = min(least, c.Cost())
	}
	limit := least + least/equalShare
	chosen, equals := -1, 0
	for i, c := range candidates {
		if c.Cost() > limit {
			continue
		}
		equals++
		if random.IntN(equals) == 0 {
			chosen = i
		}
	}
	return chosen
}

// Name implements pollenfront.Policy.
func (Policy) Name() string { return "expected" }
