package executor_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// newOpenStartExecutor returns an executor with task 0 running, and task 1 running after a start
// request that was not answered and may still be carried out.
func newOpenStartExecutor() *executor.Executor {
	x := newExecutor()
	x.HandleCommands(at(0), testEntry, startCommands(at(0), 0, 1))
	x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, nil)
	x.HandleStartResponse(at(35), pollenfront.StartRequest{Incarnation: 1, Run: runID(1)}, 0, errTimeout)
	x.HandleStartResponse(at(40), pollenfront.StartRequest{Incarnation: 1, Run: runID(1)}, 0, nil)
	return x
}

// TestCrashAfterNotice guards against a server that ends after it gave notice and does not count
// as crashed: a run whose start may still be carried out by the next incarnation ends with the
// lease.
func TestCrashAfterNotice(t *testing.T) {
	for _, notice := range []bool{false, true} {
		c := qt.New(t)
		x := newOpenStartExecutor()
		if notice {
			x.HandleDeregistration(at(50))
		}
		x.HandleRenewalError(at(62), at(61), errRefused)
		for _, ms := range []int{400, 800} {
			x.HandleCommands(at(ms), testEntry, &tasklink.Commands{EchoedClock: int64(at(ms))})
			x.Tick(at(ms))
		}
		_, ended := reportedEndings(x, at(800))[1]
		c.Check(ended, qt.IsFalse, qt.Commentf("notice: %v; the next incarnation may carry out the start of task 1", notice))
	}
}
