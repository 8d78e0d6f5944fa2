package dispatch

import (
	"fmt"
	"time"

	"github.com/pollenfront/pollenfront"
)

// A Choice says why a server was chosen for a task.
type Choice struct {
	Expected     time.Duration // Run time that was expected on the server.
	Policy       string
	RunnerUp     string // The best of the other servers with room, or empty.
	RunnerUpCost time.Duration
	Server       string
	Wait         time.Duration // Time that was expected until a slot is free.
	WithRoom     int           // Number of servers that had room.
}

// newChoice returns the reasons for the choice of candidates[chosen].
func newChoice(policy string, candidates []pollenfront.Candidate, chosen int) Choice {
	c := candidates[chosen]
	choice := Choice{Expected: c.Expected, Policy: policy, Server: c.Name, Wait: c.Wait}
	for i, other := range candidates {
		if other.Room <= 0 {
			continue
		}
		choice.WithRoom++
		cost := other.Cost()
		if i != chosen && (choice.RunnerUp == "" || cost < choice.RunnerUpCost) {
			choice.RunnerUp, choice.RunnerUpCost = other.Name, cost
		}
	}
	return choice
}

// String describes the choice to an operator.
func (c Choice) String() string {
	if c.Server == "" {
		return ""
	}
	text := fmt.Sprintf("policy %s chose %s: expected wait %v, run time %v; %d servers had room",
		c.Policy, c.Server, c.Wait.Round(time.Millisecond), c.Expected.Round(time.Millisecond), c.WithRoom)
	if c.RunnerUp != "" {
		text += fmt.Sprintf("; next best %s at %v", c.RunnerUp, c.RunnerUpCost.Round(time.Millisecond))
	}
	return text
}
