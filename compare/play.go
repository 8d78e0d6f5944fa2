package main

import (
	"math/rand/v2"
	"sync"

	"github.com/pollenfront/pollenfront/compare/internal/table"
	"github.com/pollenfront/pollenfront/replay"
)

// A policy is a policy of placing tasks.
type policy struct {
	configure func(s *replay.Settings)
	name      string
}

// newRandom returns the newRandom numbers of a way.
func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 4)) //nolint:gosec // A comparison needs a seed.
}

// ways are the ways that are compared.
var policies = []policy{
	{name: "random", configure: func(s *replay.Settings) { s.Chooser = replay.Random{Rand: newRandom(s.Seed)} }},
	{name: "two choices", configure: func(s *replay.Settings) { s.Chooser = replay.TwoChoices{Rand: newRandom(s.Seed)} }},
	{name: "least loaded", configure: func(s *replay.Settings) { s.Chooser = replay.LeastLoaded{} }},
	{name: "pollenfront", configure: func(*replay.Settings) {}},
	{name: "clairvoyant", configure: func(s *replay.Settings) { s.Clairvoyant = true }},
}

// playAll plays all patterns in all ways, several at a time.
func playAll(draws int) []table.Result {
	results := make([]table.Result, 0, len(replay.Patterns)*len(policies))
	for _, p := range replay.Patterns {
		for _, w := range policies {
			results = append(results, table.Result{Pattern: p.Name, Policy: w.name})
		}
	}
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() {
			results[i].Result = playPattern(replay.Patterns[i/len(policies)], policies[i%len(policies)], draws)
		})
	}
	group.Wait()
	return results
}

// playPattern plays a pattern in one way.
func playPattern(p replay.Pattern, w policy, draws int) replay.Result {
	var sum replay.Result
	for i := range draws {
		sum.Add(p.Run(uint64(i)+1, w.configure)) //nolint:gosec // Not negative.
	}
	return sum
}
