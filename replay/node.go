package replay

import "time"

// A node is a process that can be killed and suspended.
type node struct {
	deferred   []func() // deferred are the events that arrived while the process was suspended.
	fleet      *Fleet
	generation int // generation is the number of kills. Events of earlier generations are dropped.
	suspended  bool
	up         bool
}

// handleEvent handles an event that was scheduled for a generation of the process. It
// drops the event if that generation was killed. If the process is suspended, the event
// waits until it resumes.
func (n *node) handleEvent(generation int, event func()) {
	switch {
	case generation != n.generation || !n.up:
	case n.suspended:
		n.deferred = append(n.deferred, func() { n.handleEvent(generation, event) })
	default:
		event()
	}
}

// schedule schedules an event for the current generation of the process.
func (n *node) schedule(d time.Duration, event func()) {
	generation := n.generation
	n.fleet.schedule(d, func() { n.handleEvent(generation, event) })
}

// suspend suspends the process for some time.
func (n *node) suspend(d time.Duration) {
	n.suspended = true
	n.fleet.schedule(d, func() {
		n.suspended = false
		deferred := n.deferred
		n.deferred = nil
		for _, event := range deferred {
			event()
		}
	})
}
