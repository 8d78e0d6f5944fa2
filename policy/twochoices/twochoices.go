// Package twochoices is the baseline policy that draws two servers and takes
// the one with fewer outstanding tasks.
//
// # Usage
//
// Operators select it with `pollenctl set policy two-choices`.
package twochoices

import (
	"math/rand/v2"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/policy/random"
)

var _ pollenfront.Policy = Policy{}

// A Policy draws two servers with room and chooses the less loaded one.
type Policy struct {
	draw random.Policy
}

// Choose implements pollenfront.Policy.
func (p Policy) Choose(candidates []pollenfront.Candidate, random *rand.Rand) int {
	first := p.draw.Choose(candidates, random)
	second := p.draw.Choose(candidates, random)
	if first < 0 || second < 0 {
		return -1
	}
	if candidates[second].Outstanding() < candidates[first].Outstanding() {
		return second
	}
	return first
}

// Name implements pollenfront.Policy.
func (Policy) Name() string { return "two-choices" }
