package executor

import (
	"time"

	"github.com/pollenfront/pollenfront/tasklink"
)

// Evidence is what shows that a run is over, or that it will never start.
type Evidence = tasklink.Evidence

// The kinds of evidence that an executor takes, as described in package tasklink.
const (
	NoStartSent        = tasklink.NoStartSent
	StartRefused       = tasklink.StartRefused
	EndListed          = tasklink.EndListed
	StoppedAndUnlisted = tasklink.StoppedAndUnlisted
	LeaseExpired       = tasklink.LeaseExpired
	Unlisted           = tasklink.Unlisted
	ConnectionRefused  = tasklink.ConnectionRefused
	NewIncarnation     = tasklink.NewIncarnation
)

// A proof is evidence with the time as of which it holds.
type proof struct {
	asOf time.Duration
	kind Evidence
}
