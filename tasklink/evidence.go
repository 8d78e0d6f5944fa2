package tasklink

import (
	"math"
	"slices"
	"time"
)

// Evidence is what shows that a run is over, or that it will never start.
type Evidence string

// Evidence that agents take.
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

// Evidence that entries take themselves, without a report of the agent.
const (
	// AgentSilent means that the agent's newest update is so old that the lease must have expired.
	AgentSilent Evidence = "agent-silent"
	// AgentRestarted means that a later incarnation of the agent has linked, which does not know
	// the run.
	AgentRestarted Evidence = "agent-restarted"
	// NotInHello means that the agent linked again and does not know the run, so that the start
	// command has not reached it.
	NotInHello Evidence = "not-in-hello"
)

// evidenceByCode lists the evidence by its code in messages. Code 0 stands for none.
var evidenceByCode = []Evidence{
	"", NoStartSent, StartRefused, EndListed, StoppedAndUnlisted, LeaseExpired, Unlisted, ConnectionRefused, NewIncarnation, AgentSilent, AgentRestarted, NotInHello,
}

// encodeEvidence returns the code of evidence, or 0 if it has none.
func encodeEvidence(e Evidence) uint8 {
	return uint8(max(slices.Index(evidenceByCode, e), 0)) //nolint:gosec // Bounded by the length of the list.
}

// decodeEvidence returns the evidence with a code, or "" if there is none.
func decodeEvidence(code uint8) Evidence {
	if int(code) >= len(evidenceByCode) {
		return ""
	}
	return evidenceByCode[code]
}

// encodeAge returns an age in whole milliseconds, which take at most three bytes up to a minute.
func encodeAge(age time.Duration) uint32 {
	return uint32(min(max(age.Milliseconds(), 0), math.MaxUint32)) //nolint:gosec // Bounded.
}

// decodeAge returns the age of the given number of milliseconds.
func decodeAge(milliseconds uint32) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}
