// Package policy lists the dispatch policies by name.
//
// # Usage
//
//	chosen := policy.New(v.Policy())
package policy

import (
	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/policy/expected"
	"github.com/pollenfront/pollenfront/policy/leastoutstanding"
	"github.com/pollenfront/pollenfront/policy/random"
	"github.com/pollenfront/pollenfront/policy/roundrobin"
	"github.com/pollenfront/pollenfront/policy/twochoices"
)

// New returns the policy with the given name, and the default one if no policy
// has that name.
func New(name string) pollenfront.Policy {
	policies := []pollenfront.Policy{
		leastoutstanding.Policy{},
		random.Policy{},
		&roundrobin.Policy{},
		twochoices.Policy{},
	}
	for _, p := range policies {
		if p.Name() == name {
			return p
		}
	}
	return expected.Policy{}
}
