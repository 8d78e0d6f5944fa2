package pollenfront

import (
	"math/rand/v2"
	"time"
)

// A Candidate is a backend server that a task could be sent to now.
type Candidate struct {
	Expected time.Duration // Run time of the task on this server, learned.
	Name     string
	Others   int           // Tasks of other owners on the server, as last reported.
	Own      int           // Tasks of this owner on the server.
	Room     int           // Tasks that may still be sent to the server.
	Slots    int           // Tasks that the server runs at once.
	Wait     time.Duration // Time until a slot is free, expected.
}

// Outstanding returns the number of tasks known to be on the server.
func (c Candidate) Outstanding() int {
	return c.Others + c.Own
}

// A Policy chooses a backend server for a task.
type Policy interface {
	// Choose returns the index of the candidate to send the next task to, or
	// -1 to keep the task queued. Candidates without room are listed too, so
	// that a policy can wait for one; they must not be chosen. Behind is the
	// number of tasks queued before the next one.
	Choose(candidates []Candidate, behind int, random *rand.Rand) int

	// Name returns the name that settings use for the policy.
	Name() string
}
