package executor_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestListFromBeforeAnsweredStart guards against a run that ends as lost since a list does not
// contain it, although the list was requested before its start was answered. A slow agent may send
// the start long after it decided to.
func TestListFromBeforeAnsweredStart(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	c.Assert(x.HandleCommands(at(0), testEntry, startCommands(at(0), 0)).Starts, qt.HasLen, 1)
	x.HandleCommands(at(300), testEntry, &tasklink.Commands{EchoedClock: int64(at(300))})
	x.NextRenewal(at(310)) // Its list is made at 312.
	// The start is written at 320, as its goroutine did not run before, and answered at 325.
	x.HandleStartResponse(at(325), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, serverClock(at(321)), nil)
	x.HandleRenewal(at(326), at(310), &pollenfront.RenewalResponse{Clock: serverClock(at(312)), Incarnation: 1})
	c.Assert(reportedEndings(x, at(326)), qt.HasLen, 0)
}
