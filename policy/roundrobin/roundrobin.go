// Package roundrobin is the baseline policy that takes the servers in turn.
//
// # Usage
//
// Operators select it with `pollenctl set policy round-robin`.
package roundrobin

import (
	"math/rand/v2"

	"github.com/pollenfront/pollenfront"
)

var _ pollenfront.Policy = &Policy{}

// A Policy chooses the next server with room after the last one chosen.
type Policy struct {
	last int
}

// Choose implements pollenfront.Policy.
func (p *Policy) Choose(candidates []pollenfront.Candidate, _ *rand.Rand) int {
	for step := 1; step <= len(candidates); step++ {
		i := (p.last + step) % len(candidates)
		if candidates[i].Room > 0 {
			p.last = i
			return i
		}
	}
	return -1
}

// Name implements pollenfront.Policy.
func (*Policy) Name() string { return "round-robin" }
