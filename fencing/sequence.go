// Package fencing keeps the order of the requests that the processes of an agent send to its
// backend server, one process after the other.
//
// A server rejects a request with a fencing token lower than the highest one that it has seen.
// Within one process that makes earlier requests lose their effect. Across processes it does so
// only if the tokens of a process are above those of every earlier one, also for a server that was
// restarted and has seen none of them. A process starts at the time of day, which is above the
// tokens of its predecessor unless a clock was set back, or ahead. Whoever knows of higher tokens
// therefore tells the process of them: the store and the entries (see package tokenlog).
//
// # Usage
//
//	tokens := fencing.NewSequence(startedAt)
//	request.Token = tokens.Current()
//	tokens.Advance() // Earlier requests lose their effect.
//	tokens.RaiseAbove(floor) // Another process has used the tokens up to floor.
//	raised := tokens.HandleRefusal(request.Token)
package fencing

// MaxToken is the highest token. JSON implementations carry whole numbers exactly up to it.
const MaxToken = 1 << 53

const (
	// BlockSize is the number of tokens that are reserved at a time, so that others need not be
	// told of each one. A process that starts at the time of day in milliseconds is above the
	// block of a predecessor that started a quarter of a second earlier.
	BlockSize = 256
	// minStep and maxStep limit by how much a refusal raises the token.
	minStep = 1 << 10
	maxStep = 1 << 20
)

// A Sequence holds the fencing token of an agent's process. It is not safe for concurrent use.
type Sequence struct {
	current  uint64
	reserved uint64
	// step is by how much the next refusal raises the token.
	step uint64
}

// NewSequence returns a Sequence that begins with the given token.
func NewSequence(first uint64) *Sequence {
	s := &Sequence{step: minStep}
	s.set(first)
	return s
}

// Current returns the token of the next request.
func (s *Sequence) Current() uint64 {
	return s.current
}

// Reserved returns the highest token that the process may use without telling others of a higher
// one.
func (s *Sequence) Reserved() uint64 {
	return s.reserved
}

// Advance raises the token by one, so that earlier requests have no effect once a later one has
// arrived.
func (s *Sequence) Advance() {
	s.set(s.current + 1)
}

// RaiseAbove raises the token above floor, which another process may have used. It reports
// whether the token was not above it.
func (s *Sequence) RaiseAbove(floor uint64) bool {
	if s.current > floor || floor >= MaxToken {
		return false
	}
	s.set(floor + 1)
	return true
}

// HandleRefusal handles the refusal of a request with the given token, since the server has seen a
// higher one. It raises the token and returns true if no request of this process had a higher one,
// so that the server has seen another process's. A request with a lower token than the current one
// may just as well have been overtaken by a newer request of this process. How far the other
// process is ahead is not known, so the step doubles each time.
func (s *Sequence) HandleRefusal(token uint64) bool {
	if token < s.current || s.current == MaxToken {
		return false
	}
	s.set(s.current + s.step)
	s.step = min(2*s.step, maxStep)
	return true
}

// set sets the token, which never gets lower, and reserves the next block if it is beyond the last
// one.
func (s *Sequence) set(token uint64) {
	s.current = min(token, MaxToken)
	if s.current > s.reserved {
		s.reserved = min(s.current+BlockSize-1, MaxToken)
	}
}
