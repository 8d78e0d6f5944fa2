package main

import (
	"math/rand/v2"
	"sync"

	"github.com/pollenfront/pollenfront/compare/internal/table"
	"github.com/pollenfront/pollenfront/replay"
)

// A way is a way of placing tasks.
type way struct {
	name string
	set  func(s *replay.Settings)
}

// random returns the random numbers of a way.
func random(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 4)) //nolint:gosec // A comparison needs a seed.
}

// ways are the ways that are compared.
var ways = []way{
	{name: "random", set: func(s *replay.Settings) { s.Chooser = replay.Random{Rand: random(s.Seed)} }},
	{name: "two choices", set: func(s *replay.Settings) { s.Chooser = replay.TwoChoices{Rand: random(s.Seed)} }},
	{name: "least loaded", set: func(s *replay.Settings) { s.Chooser = replay.LeastLoaded{} }},
	{name: "pollenfront", set: func(*replay.Settings) {}},
	{name: "clairvoyant", set: func(s *replay.Settings) { s.Clairvoyant = true }},
}

// play plays all patterns in all ways, several at a time.
func play(draws int) []table.Result {
	results := make([]table.Result, 0, len(replay.Patterns)*len(ways))
	for _, p := range replay.Patterns {
		for _, w := range ways {
			results = append(results, table.Result{Pattern: p.Name, Way: w.name})
		}
	}
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() {
			results[i].Result = playOne(replay.Patterns[i/len(ways)], ways[i%len(ways)], draws)
		})
	}
	group.Wait()
	return results
}

// playOne plays a pattern in one way.
func playOne(p replay.Pattern, w way, draws int) replay.Result {
	var sum replay.Result
	for i := range draws {
		sum.Add(p.Run(uint64(i)+1, w.set)) //nolint:gosec // Not negative.
	}
	return sum
}
