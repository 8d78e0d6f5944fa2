package main

import (
	"math/rand/v2"
	"sync"

	"github.com/pollenfront/pollenfront/compare/internal/table"
	"github.com/pollenfront/pollenfront/replay"
)

// A policy is a placement policy, given as a change to the settings of a fleet.
type policy struct {
	configure func(s *replay.Settings)
	name      string
}

// newRandom returns the source of randomness of a policy.
func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 4)) //nolint:gosec // A seed makes runs reproducible.
}

// policies are the policies that are compared, in the order of the table and the chart.
var policies = []policy{
	{name: "random", configure: func(s *replay.Settings) { s.Chooser = replay.Random{Rand: newRandom(s.Seed)} }},
	{name: "two choices", configure: func(s *replay.Settings) { s.Chooser = replay.TwoChoices{Rand: newRandom(s.Seed)} }},
	{name: "least loaded", configure: func(s *replay.Settings) { s.Chooser = replay.LeastLoaded{} }},
	{name: "pollenfront", configure: func(*replay.Settings) {}},
	{name: "clairvoyant", configure: func(s *replay.Settings) { s.Clairvoyant = true }},
}

// simulateAll simulates all patterns with all policies concurrently. The results are
// ordered by pattern, then by policy.
func simulateAll(seedCount int) []table.Result {
	results := make([]table.Result, 0, len(replay.Patterns)*len(policies))
	for _, pattern := range replay.Patterns {
		for _, p := range policies {
			results = append(results, table.Result{Pattern: pattern.Name, Policy: p.name})
		}
	}
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() {
			results[i].Result = simulatePattern(replay.Patterns[i/len(policies)], policies[i%len(policies)], seedCount)
		})
	}
	group.Wait()
	return results
}

// simulatePattern simulates a pattern with a policy and the seeds from 1 to seedCount,
// and returns the sum of the results.
func simulatePattern(pattern replay.Pattern, p policy, seedCount int) replay.Result {
	var sum replay.Result
	for i := range seedCount {
		sum.Add(pattern.Run(uint64(i)+1, p.configure)) //nolint:gosec // Not negative.
	}
	return sum
}
