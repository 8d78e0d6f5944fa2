package executor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestFormerLeaseOnNextIncarnation guards against a run that ends with the lease of a former
// incarnation of the server, although the next one has started it by a delayed request. A lease on
// the former clock is the longest one that the next incarnation grants.
func TestFormerLeaseOnNextIncarnation(t *testing.T) {
	for _, listed := range []bool{false, true} {
		c := qt.New(t)
		x := newOpenStartExecutor() // A start of task 1 is delayed.
		x.HandleRenewalError(at(50), at(45), errTimeout)
		x.HandleCommands(at(60), testEntry, &tasklink.Commands{EchoedClock: int64(at(60)), Stops: []pollenfront.RunID{runID(1)}})
		for ms := 300; ms <= 600; ms += 150 {
			x.HandleCommands(at(ms), testEntry, &tasklink.Commands{EchoedClock: int64(at(ms))})
			x.HandleRenewalError(at(ms), at(ms-150), errTimeout)
		}
		response := &pollenfront.RenewalResponse{Clock: 5 * time.Millisecond, Incarnation: 2}
		if listed { // The delayed start was carried out.
			response.Running = []pollenfront.RunningRun{{Run: runID(1)}}
		}
		x.HandleRenewal(at(670), at(665), response)
		x.NextRenewal(at(670))
		x.Tick(at(690)) // The lease of the former incarnation has expired at 683.
		_, ended := reportedEndings(x, at(690))[1]
		c.Check(ended, qt.IsFalse, qt.Commentf("listed as running: %v; no stop was confirmed", listed))
	}
}
