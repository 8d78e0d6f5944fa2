package replay

import (
	"math/rand/v2"

	"github.com/pollenfront/pollenfront"
)

// Random chooses any server that has room.
type Random struct {
	*rand.Rand
}

// TwoChoices draws two servers that have room and chooses the one with more of
// it.
type TwoChoices struct {
	*rand.Rand
}

// LeastLoaded chooses the server with the most room, as a balancer does.
type LeastLoaded struct{}

var (
	_ pollenfront.Chooser = Random{}
	_ pollenfront.Chooser = TwoChoices{}
	_ pollenfront.Chooser = LeastLoaded{}
)

// Choose implements pollenfront.Chooser.
func (r Random) Choose(_ pollenfront.TaskTiming, servers []pollenfront.ServerCandidate) int {
	usable := availableServers(servers)
	if len(usable) == 0 {
		return -1
	}
	return usable[r.IntN(len(usable))]
}

// Choose implements pollenfront.Chooser.
func (t TwoChoices) Choose(_ pollenfront.TaskTiming, servers []pollenfront.ServerCandidate) int {
	usable := availableServers(servers)
	if len(usable) == 0 {
		return -1
	}
	first, second := usable[t.IntN(len(usable))], usable[t.IntN(len(usable))]
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

// availableServers returns the indexes of the servers that would soon start a task.
func availableServers(servers []pollenfront.ServerCandidate) []int {
	var usable []int
	for i := range servers {
		if servers[i].Available {
			usable = append(usable, i)
		}
	}
	return usable
}
