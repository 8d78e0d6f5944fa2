package executor

import "time"

// Evidence is what shows that a run is over, or that it will never start.
type Evidence string

// Kinds of evidence. The first ones are statements of the server, or follow from its
// lease. The others are inferred.
const (
	// NoStartSent means that no start request was sent for the run.
	NoStartSent Evidence = "no-start-sent"
	// StartRefused means that the server refused the only start request.
	StartRefused Evidence = "start-refused"
	// EndListed means that the server listed the run as ended.
	EndListed Evidence = "end-listed"
	// StoppedAndUnlisted means that the server confirmed a stop and does not list the run.
	StoppedAndUnlisted Evidence = "stopped-and-unlisted"
	// LeaseExpired means that the lease has expired even on the slowest clock.
	LeaseExpired Evidence = "lease-expired"
	// Unlisted means that the server does not list a run that it had started.
	Unlisted Evidence = "unlisted"
	// ProcessEnded means that a request in progress was cut off, and that nothing listened at
	// the server's address then.
	ProcessEnded Evidence = "process-ended"
	// NewIncarnation means that a later incarnation of the server has shown up.
	NewIncarnation Evidence = "new-incarnation"
)

// A proof is evidence with the time as of which it holds.
type proof struct {
	asOf time.Duration
	kind Evidence
}
