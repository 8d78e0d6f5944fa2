package replay

import (
	"math/rand/v2"

	"github.com/pollenfront/pollenfront"
)

// Random chooses an available server at random.
type Random struct {
	*rand.Rand
}

// TwoChoices draws two available servers at random and chooses the one with more free
// CPU.
type TwoChoices struct {
	*rand.Rand
}

// LeastLoaded chooses the available server with the most free CPU, as a load balancer
// does.
type LeastLoaded struct{}

var (
	_ pollenfront.Chooser = Random{}
	_ pollenfront.Chooser = TwoChoices{}
	_ pollenfront.Chooser = LeastLoaded{}
)

// Choose implements pollenfront.Chooser.
func (r Random) Choose(_ pollenfront.TaskTiming, servers []pollenfront.ServerCandidate) int {
	available := availableServers(servers)
	if len(available) == 0 {
		return -1
	}
	return available[r.IntN(len(available))]
}

// Choose implements pollenfront.Chooser.
func (t TwoChoices) Choose(_ pollenfront.TaskTiming, servers []pollenfront.ServerCandidate) int {
	available := availableServers(servers)
	if len(available) == 0 {
		return -1
	}
	first, second := available[t.IntN(len(available))], available[t.IntN(len(available))]
	if servers[second].Free.CPU > servers[first].Free.CPU {
		return second
	}
	return first
}

// Choose implements pollenfront.Chooser.
func (LeastLoaded) Choose(_ pollenfront.TaskTiming, servers []pollenfront.ServerCandidate) int {
	best := -1
	for _, i := range availableServers(servers) {
		if best < 0 || servers[i].Free.CPU > servers[best].Free.CPU {
			best = i
		}
	}
	return best
}

// availableServers returns the indexes of the servers that have capacity for a task
// now, or will have it when the task arrives.
func availableServers(servers []pollenfront.ServerCandidate) []int {
	var available []int
	for i := range servers {
		if servers[i].Available {
			available = append(available, i)
		}
	}
	return available
}
