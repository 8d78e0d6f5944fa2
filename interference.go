package pollenfront

import "time"

// An InterferenceMode is what a process does about tasks that slow each other down on one
// server.
type InterferenceMode string

// Modes. An empty mode counts as InterferenceOff.
const (
	InterferenceAvoid   InterferenceMode = "avoid"   // Servers with a conflicting neighbor get a penalty.
	InterferenceObserve InterferenceMode = "observe" // Pairs are detected, and reported, but placement is not affected.
	InterferenceOff     InterferenceMode = "off"     // Nothing is measured or sent.
)

// Enabled reports whether run times are measured and evidence is sent.
func (m InterferenceMode) Enabled() bool {
	return m == InterferenceObserve || m == InterferenceAvoid
}

// A RouteLoad is the runs of one route on a server.
type RouteLoad struct {
	// Count is the expected number of runs.
	Count float64
	Route string
	// RunTime is the expected run time of one of them.
	RunTime time.Duration
}

// An InterferenceDecision is a task for which interference changes the choice of the
// server.
type InterferenceDecision struct {
	// Avoided is the name of the agent beside the server that is chosen if interference
	// is not taken into account.
	Avoided string
	// AvoidedTime is the added time on that server.
	AvoidedTime time.Duration
	// Chosen is the name of the agent beside the server that is chosen otherwise.
	Chosen string
	// ChosenTime is the added time on the latter server.
	ChosenTime time.Duration
	Route      string
}

// An InterferenceModel estimates how much tasks slow each other down, and decides whether
// placement takes that into account.
type InterferenceModel interface {
	// AddedTime returns the additional time that is expected if a task of a route runs
	// beside the given runs: for the task itself, and for those that it slows down.
	AddedTime(route string, runTime time.Duration, neighbors []RouteLoad) time.Duration
	// Avoid reports whether the decision is to be carried out.
	Avoid(decision InterferenceDecision) bool
}
