package pollenfront

import (
	"math/rand/v2"
	"time"
)

// A Candidate is a backend server that a task could be sent to.
type Candidate struct {
	Expected time.Duration // Run time of the task on this server, learned.
	Name     string
	Others   int           // Tasks of other owners on the server, as last reported.
	Own      int           // Tasks of this owner on the server.
	Room     int           // Tasks that may be sent to the server now.
	Wait     time.Duration // Time until a slot is free for the task, expected.
}

// Cost returns the time until the server would have finished the task.
func (c Candidate) Cost() time.Duration {
	return c.Wait + c.Expected
}

// Outstanding returns the number of tasks known to be on the server.
func (c Candidate) Outstanding() int {
	return c.Others + c.Own
}

// A Policy chooses a backend server for a task.
type Policy interface {
	// Choose returns the index of the candidate to send the task to. If the
	// chosen one has no room, the task waits for it at its owner. It returns
	// -1 if no candidate will do.
	Choose(candidates []Candidate, random *rand.Rand) int

	// Name returns the name that settings use for the policy.
	Name() string
}
