package executor

import "time"

// Evidence is what shows that a run is over, or that it will never start.
type Evidence string

// Kinds of evidence.
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
	// ConnectionRefused means that nothing listened at the server's address. It shows that the
	// server has crashed, but not that a run is over.
	ConnectionRefused Evidence = "connection-refused"
	// NewIncarnation means that a later incarnation of the server has answered.
	NewIncarnation Evidence = "new-incarnation"
)

// A proof is evidence with the time as of which it holds.
type proof struct {
	asOf time.Duration
	kind Evidence
}
