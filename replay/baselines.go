package replay

import (
	"math/rand/v2"

	"github.com/pollenfront/pollenfront"
)

// Random chooses at random among the servers that can start the task.
type Random struct {
	*rand.Rand
}

// TwoChoices draws two of the servers that can start the task at random and chooses
// the one with more free CPU.
type TwoChoices struct {
	*rand.Rand
}

// LeastLoaded chooses the server with the most free CPU among those that can start
// the task, as a load balancer does.
type LeastLoaded struct{}

var (
	_ pollenfront.Chooser = Random{}
	_ pollenfront.Chooser = TwoChoices{}
	_ pollenfront.Chooser = LeastLoaded{}
)

// Choose implements pollenfront.Chooser.
func (r Random) Choose(_ pollenfront.TaskTiming, servers []pollenfront.ServerCandidate) int {
	startable := startableServers(servers)
	if len(startable) == 0 {
		return -1
	}
	return startable[r.IntN(len(startable))]
}

// Choose implements pollenfront.Chooser.
func (t TwoChoices) Choose(_ pollenfront.TaskTiming, servers []pollenfront.ServerCandidate) int {
	startable := startableServers(servers)
	if len(startable) == 0 {
		return -1
	}
	first, second := startable[t.IntN(len(startable))], startable[t.IntN(len(startable))]
	if servers[second].Free.CPU > servers[first].Free.CPU {
		return second
	}
	return first
}

// Choose implements pollenfront.Chooser.
func (LeastLoaded) Choose(_ pollenfront.TaskTiming, servers []pollenfront.ServerCandidate) int {
	best := -1
	for _, i := range startableServers(servers) {
		if best < 0 || servers[i].Free.CPU > servers[best].Free.CPU {
			best = i
		}
	}
	return best
}

// startableServers returns the indexes of the servers that have free resources for
// a task, or will have them when the task arrives.
func startableServers(servers []pollenfront.ServerCandidate) []int {
	var startable []int
	for i := range servers {
		if servers[i].CanStart {
			startable = append(startable, i)
		}
	}
	return startable
}
