package executor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestStartOnUnseenIncarnation guards against a run that ends with the lease which the agent has
// asked for, while the server has granted its longest one: it was restarted under the same ID
// since it answered the last renewal, and the end of the lease is a time on its former clock, which
// was ahead. Only the clock in the answer to the start shows that. The agent gets no further answers.
func TestStartOnUnseenIncarnation(t *testing.T) {
	const granted = 1000 * 102 / 100 // The longest lease on a slow clock, in milliseconds.
	formerClock, nextClock := serverClock(at(3)), 5*time.Millisecond
	tests := []struct {
		name   string
		answer func(x *executor.Executor)
	}{
		{name: "answer of the next incarnation", answer: func(x *executor.Executor) {
			x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
			x.HandleStartResponse(at(3), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, nextClock, nil)
		}},
		{name: "and then a late one of the former incarnation", answer: func(x *executor.Executor) {
			stop := executor.StopRequest{Incarnation: 1, Run: runID(1), Token: 10}
			x.HandleStopResponse(at(-1), stop, nextClock, nil)
			x.HandleStopResponse(at(0), stop, formerClock, nil)
			x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
			x.HandleStartResponse(at(3), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, 0, nil)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			test.answer(x)
			for ms := 25; ms < granted+50; ms += 25 {
				x.HandleCommands(at(ms), testEntry, &tasklink.Commands{EchoedClock: int64(at(ms))})
				x.Tick(at(ms))
				c.Assert(reportedEndings(x, at(ms)), qt.HasLen, 0, qt.Commentf("%d ms after the start", ms))
			}
			x.Tick(at(granted + 70))
			c.Assert(reportedEndings(x, at(granted+70)), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingLost})
		})
	}
}

// TestLateClockReading checks that the answer to a request which took its longest time does not
// make the end of a run wait for a lease that the server can't have granted.
func TestLateClockReading(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
	x.HandleStartResponse(at(200), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, serverClock(at(0)), nil)
	x.Tick(at(669))
	c.Assert(reportedEndings(x, at(669)), qt.DeepEquals, map[int]pollenfront.Ending{0: pollenfront.EndingLost})
}
