package executor_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/fencing"
	"github.com/pollenfront/pollenfront/tasklink"
)

// maxEventTime is far below the time after which entries take an agent for lost, which says nothing
// during an event.
const maxEventTime = time.Second

// Extreme numbers that entries and the backend server can state.
var (
	extremeInts  = rapid.SampledFrom([]int{0, 1, -1, 2, 6000, 64000, math.MaxInt32, math.MinInt32, 1 << 53, math.MaxInt64, math.MinInt64})
	extremeTimes = rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(extremeInts.Draw(t, "time")) })
)

// drawCommands draws the commands of an entry.
func drawCommands(t *rapid.T, now time.Duration) *tasklink.Commands {
	commands := startCommands(now)
	if rapid.Bool().Draw(t, "extreme-echo") {
		commands.EchoedClock = int64(extremeInts.Draw(t, "echo"))
	}
	commands.AgentCount, commands.Demand = extremeInts.Draw(t, "agents"), int32(extremeInts.Draw(t, "demand"))
	commands.CancellationSeqNum, commands.TokenFloor = uint64(extremeInts.Draw(t, "cancellations")), uint64(extremeInts.Draw(t, "floor"))
	start := &commands.Starts[0]
	if rapid.Bool().Draw(t, "extreme-start") {
		start.ExpectedRunTime, start.Slack = int64(extremeInts.Draw(t, "run-time")), int64(extremeInts.Draw(t, "slack"))
		start.Need = pollenfront.Resources{CPU: extremeInts.Draw(t, "cpu"), GPU: extremeInts.Draw(t, "gpu"), Memory: extremeInts.Draw(t, "memory")}
		start.Priority, start.Step = extremeInts.Draw(t, "priority"), extremeInts.Draw(t, "step")
	}
	for range rapid.IntRange(0, 3).Draw(t, "tasks") {
		start.Tasks = append(start.Tasks, tasklink.StartTask{
			Index: extremeInts.Draw(t, "index"), Rerun: rapid.Bool().Draw(t, "rerun"), Run: extremeInts.Draw(t, "run"), SeqNum: uint64(extremeInts.Draw(t, "seq-num")),
		})
	}
	return commands
}

// drawRenewal draws an answer of the backend server that lists some of the given runs.
func drawRenewal(t *rapid.T, runs []pollenfront.RunID) *pollenfront.RenewalResponse {
	response := &pollenfront.RenewalResponse{Clock: max(0, extremeTimes.Draw(t, "clock")), Incarnation: uint64(rapid.IntRange(1, 2).Draw(t, "incarnation"))}
	for _, run := range runs {
		switch rapid.IntRange(0, 2).Draw(t, "listed") {
		case 0:
			response.Running = append(response.Running, pollenfront.RunningRun{Percent: extremeInts.Draw(t, "percent"), Run: run})
		case 1:
			response.Ended = append(response.Ended, pollenfront.EndedRun{Ending: pollenfront.EndingFailed, Run: run, SeqNum: uint64(extremeInts.Draw(t, "end"))})
		}
	}
	return response
}

// TestExtremeNumbers guards against an agent that says nothing for a second or ends, whatever numbers
// entries and the backend server state. Its fencing token must never get lower, nor so high
// that the next incarnation can't begin above it.
func TestExtremeNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newExecutor()
		now := at(0)
		var starts []pollenfront.StartRequest
		var runs []pollenfront.RunID
		handle := func(event func() executor.Effects) {
			now += 5 * time.Millisecond
			before := x.ReservedToken()
			effects := make(chan executor.Effects, 1)
			go func() { effects <- event() }()
			select {
			case e := <-effects:
				starts = append(starts, e.Starts...)
				for i := range e.Starts {
					runs = append(runs, e.Starts[i].Run)
				}
			case <-time.After(maxEventTime):
				t.Fatalf("no answer within %v", maxEventTime)
			}
			if token := x.ReservedToken(); token < before || token > fencing.MaxToken {
				t.Fatalf("token %d after %d", token, before)
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				commands := drawCommands(t, now)
				handle(func() executor.Effects { return x.HandleCommands(now, testEntry, commands) })
			case 2:
				response := drawRenewal(t, runs)
				handle(func() executor.Effects { return x.HandleRenewal(now, now-time.Millisecond, response) })
			case 3:
				handle(func() executor.Effects { return x.Tick(now) })
			case 4:
				if len(starts) == 0 {
					continue
				}
				request, err := starts[0], rapid.SampledFrom([]error{nil, pollenfront.ErrFenced, pollenfront.ErrNoCapacity, errTimeout}).Draw(t, "error")
				starts = starts[1:]
				clock := extremeTimes.Draw(t, "start-clock")
				handle(func() executor.Effects { return x.HandleStartResponse(now, request, clock, err) })
			}
			if update, linked := x.NextUpdate(now, testEntry.Name); !linked || update.Clock != int64(now) {
				t.Fatalf("no update")
			}
		}
	})
}
