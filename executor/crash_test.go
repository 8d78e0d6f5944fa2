package executor_test

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// errTimeout is the error of a request that was not answered.
var errTimeout = errors.New("timeout")

// errRefused is the error of a request to a server whose process has ended.
var errRefused = fmt.Errorf("dial: %w", pollenfront.ErrUnreachable)

// crashedTasks returns the indexes of the tasks that were on the server in the crashes
// of effects, by their age in milliseconds.
func crashedTasks(effects executor.Effects) map[int]int64 {
	tasks := make(map[int]int64)
	for _, crash := range effects.Crashes {
		for _, r := range crash.Runs {
			tasks[r.Run.Index] = r.Age.Milliseconds()
		}
	}
	return tasks
}

// TestCrashNamesRuns checks that a crash of the server is reported once, with the runs
// that were on it, whether a refused connection or the next incarnation reveals it.
func TestCrashNamesRuns(t *testing.T) {
	tests := []struct {
		name   string
		detect func(x *executor.Executor) executor.Effects
	}{
		{name: "connection refused", detect: func(x *executor.Executor) executor.Effects {
			x.HandleRenewalError(at(40), at(40), errTimeout)
			return x.HandleRenewalError(at(90), at(90), errRefused)
		}},
		{name: "next incarnation announces itself", detect: func(x *executor.Executor) executor.Effects {
			x.HandleRenewalError(at(40), at(40), errTimeout)
			x.HandleAnnouncement(at(90), pollenfront.Announcement{Clock: time.Second, Incarnation: 2, SeqNum: 1})
			return x.HandleRenewal(at(92), at(91), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 2})
		}},
		{name: "next incarnation answers", detect: func(x *executor.Executor) executor.Effects {
			x.HandleRenewalError(at(40), at(40), errTimeout)
			return x.HandleRenewal(at(90), at(80), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 2})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
			x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, nil)
			x.HandleCommands(at(30), testEntry, startCommands(at(30), 1, 2))
			c.Assert(crashedTasks(test.detect(x)), qt.DeepEquals, map[int]int64{0: 40, 1: 10}, qt.Commentf("task 2 is queued"))
			effects := x.HandleRenewalError(at(95), at(95), errRefused)
			c.Assert(crashedTasks(effects), qt.HasLen, 0, qt.Commentf("the runs were on one incarnation only"))
		})
	}
}

// TestRunsEndWithServer checks that the runs on a server end with the lease that was granted
// before connections to it were refused, and not only when it is back. They must not end
// sooner, since its process may go on, whether or not the renewal in progress was cut off. A
// run whose start was not answered must wait, since the next incarnation of the server may
// still carry out the request.
func TestRunsEndWithServer(t *testing.T) {
	for _, first := range []error{errTimeout, io.ErrUnexpectedEOF} {
		t.Run(first.Error(), func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			x.HandleCommands(at(0), testEntry, startCommands(at(0), 0, 1))
			x.HandleStartResponse(at(1), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, nil)
			x.HandleStartResponse(at(35), pollenfront.StartRequest{Incarnation: 1, Run: runID(1)}, 0, errTimeout)
			x.HandleStartResponse(at(40), pollenfront.StartRequest{Incarnation: 1, Run: runID(1)}, 0, nil)
			x.HandleRenewalError(at(50), at(45), first)
			x.HandleRenewalError(at(60), at(55), errRefused)
			for ms := 110; ms < 703; ms += 50 {
				c.Assert(x.NextRenewal(at(ms)).LeaseExpiry, qt.Equals, time.Duration(0))
				x.HandleCommands(at(ms), testEntry, &tasklink.Commands{EchoedClock: int64(at(ms))})
				x.Tick(at(ms))
				c.Assert(reportedEndings(x, at(ms)), qt.HasLen, 0)
			}
			x.Tick(at(704)) // The last start was sent at 35, and the lease lasts for 668 ms at most.
			c.Assert(reportedEndings(x, at(704)), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingLost})
			x.HandleAnnouncement(at(3000), pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: 12000}, Clock: time.Second, Incarnation: 2, SeqNum: 1, Zone: "west"})
			c.Assert(reportedEndings(x, at(3000)), qt.HasLen, 0)
			x.HandleRenewal(at(3006), at(3005), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 2})
			x.HandleStopResponse(at(3010), executor.StopRequest{Incarnation: 2, Run: runID(1)}, 0, nil)
			x.HandleRenewal(at(3030), at(3020), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 2})
			c.Assert(reportedEndings(x, at(3030)), qt.DeepEquals, map[int]pollenfront.Ending{1: pollenfront.EndingStopped})
		})
	}
}

// TestRefusalBeforeIncarnation checks that a renewal which was refused before an incarnation
// of the server was known does not count as the crash of that incarnation.
func TestRefusalBeforeIncarnation(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.HandleRenewalError(at(10), at(5), errRefused)
	x.HandleAnnouncement(at(3000), pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: 12000}, Clock: time.Second, Incarnation: 2, SeqNum: 1, Zone: "west"})
	x.HandleRenewalError(at(3001), at(2999), errRefused)
	x.HandleRenewal(at(3010), at(3005), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 2})
	x.LinkEntry(at(3010), testEntry)
	x.HandleCommands(at(3011), testEntry, startCommands(at(3011), 0))
	x.HandleStartResponse(at(3012), pollenfront.StartRequest{Incarnation: 2, Run: runID(0)}, 0, nil)
	effects := x.HandleRenewalError(at(3020), at(3015), errRefused)
	c.Assert(crashedTasks(effects), qt.DeepEquals, map[int]int64{0: 9})
}
