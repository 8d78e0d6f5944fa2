package scheduler_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// maxEventTime is the time between two probes of an entry, which answers nobody during an event.
const maxEventTime = time.Second

// Extreme numbers that callers, operators and agents can state.
var (
	extremeInts   = rapid.SampledFrom([]int{0, 1, -1, 2, 3, 64000, 1_000_000, math.MaxInt32, math.MinInt32, 1 << 53, math.MaxInt64, math.MinInt64})
	extremeFloats = rapid.SampledFrom([]float64{0, 1, -1, 0.4, 1.6, 1e9, 1e300, math.MaxFloat64, math.SmallestNonzeroFloat64, math.Inf(1), math.Inf(-1), math.NaN()})
	extremeTimes  = rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(extremeInts.Draw(t, "time")) * extremeUnits.Draw(t, "unit")
	})
	extremeUnits = rapid.SampledFrom([]time.Duration{1, time.Millisecond})
)

// drawResources draws an amount of resources.
func drawResources(t *rapid.T) pollenfront.Resources {
	return pollenfront.Resources{CPU: extremeInts.Draw(t, "cpu"), GPU: extremeInts.Draw(t, "gpu"), Memory: extremeInts.Draw(t, "memory")}
}

// drawSubmission draws a job as operators and callers can make it.
func drawSubmission(t *rapid.T, id string) pollenfront.Submission {
	sub := submission(id, rapid.SampledFrom([]int{1, 2, 8, 300}).Draw(t, "tasks"))
	notNegative := func(d time.Duration) time.Duration { return max(0, d) }
	sub.Estimate, sub.TimeLimit = notNegative(extremeTimes.Draw(t, "estimate")), notNegative(extremeTimes.Draw(t, "time-limit"))
	sub.Route.LatencyTarget, sub.Route.Stretch = extremeTimes.Draw(t, "latency-target"), extremeFloats.Draw(t, "stretch")
	sub.Route.MaxAttempts, sub.Route.Priority = extremeInts.Draw(t, "attempts"), extremeInts.Draw(t, "priority")
	if rapid.Bool().Draw(t, "needs") {
		need := drawResources(t)
		sub.Need = pollenfront.Resources{CPU: max(0, need.CPU), GPU: max(0, need.GPU), Memory: max(0, need.Memory)}
	}
	return sub
}

// drawUpdate draws an update of an agent that ends some of the given runs.
func drawUpdate(t *rapid.T, runs []pollenfront.RunID) *tasklink.Update {
	u := update(64)
	u.Clock, u.LastSeqNum = int64(extremeInts.Draw(t, "clock")), uint64(extremeInts.Draw(t, "seq-num"))
	u.CancellationSeqNum, u.Token = uint64(extremeInts.Draw(t, "cancellations")), uint64(extremeInts.Draw(t, "token"))
	if rapid.Bool().Draw(t, "extreme-report") {
		u.Report.Capacity, u.Report.EffectiveCapacity, u.Report.Free = drawResources(t), drawResources(t), drawResources(t)
		u.Report.FailRate, u.Report.RunSeconds, u.Report.Slowness = extremeFloats.Draw(t, "fails"), extremeFloats.Draw(t, "seconds"), extremeFloats.Draw(t, "slowness")
		u.Report.EntryCount, u.Report.Share = extremeInts.Draw(t, "entries"), int32(extremeInts.Draw(t, "share"))
		u.Report.Waits = rapid.SliceOfN(extremeInts, 0, 4).Draw(t, "waits")
	}
	for _, run := range runs {
		if rapid.Bool().Draw(t, "ends") {
			ending := rapid.SampledFrom([]pollenfront.Ending{pollenfront.EndingFailed, pollenfront.EndingDone, pollenfront.EndingLost, pollenfront.EndingNotStarted}).Draw(t, "ending")
			u.RunEnds = append(u.RunEnds, tasklink.RunEnd{
				Ending: ending, EvidenceAge: extremeTimes.Draw(t, "age"), Run: run, Seconds: extremeFloats.Draw(t, "run-seconds"), Superseded: rapid.Bool().Draw(t, "superseded"),
			})
		}
	}
	return u
}

// TestExtremeNumbers guards against an entry that answers nothing for a second or ends, whatever
// numbers operators, callers and agents state. Afterwards it must start a plain job on a server of
// another service, whose agent states plain numbers.
func TestExtremeNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScheduler(64)
		s.LinkAgent(at(0), &tasklink.Hello{Incarnation: 1, Name: "agent-2", Service: "service", Zone: "west"})
		s.HandleUpdate(at(0), "agent-2", update(64))
		runs := make(map[string][]pollenfront.RunID)
		now := at(0)
		handle := func(event func() *scheduler.Effects) {
			now += 10 * time.Millisecond
			effects := make(chan *scheduler.Effects, 1)
			go func() { effects <- event() }()
			select {
			case e := <-effects:
				for name, commands := range e.Commands {
					for _, start := range commands.Starts {
						for _, task := range start.Tasks {
							runs[name] = append(runs[name], pollenfront.RunID{Number: task.Run, TaskID: pollenfront.TaskID{Index: task.Index, Job: start.Job, Step: start.Step}})
						}
					}
				}
			case <-time.After(maxEventTime):
				t.Fatalf("no answer within %v", maxEventTime)
			}
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				sub := drawSubmission(t, string(rune('a'+i)))
				handle(func() *scheduler.Effects { return s.Submit(now, sub) })
			case 2:
				name := rapid.SampledFrom([]string{"agent-1", "agent-2"}).Draw(t, "agent")
				u := drawUpdate(t, runs[name])
				runs[name] = nil
				handle(func() *scheduler.Effects { return s.HandleUpdate(now, name, u) })
			case 3:
				handle(func() *scheduler.Effects { return s.Tick(now) })
			}
		}
		s.LinkAgent(now, &tasklink.Hello{Incarnation: 1, Name: "agent-3", Service: "plain", Zone: "west"})
		plain := submission("0f", 1)
		plain.Route.Name, plain.Route.Service = "plain", "plain"
		var started bool
		handle(func() *scheduler.Effects { return s.HandleUpdate(now, "agent-3", update(64)) })
		handle(func() *scheduler.Effects { return s.Submit(now, plain) })
		for _, list := range runs {
			for _, run := range list {
				started = started || run.Job == plain.ID
			}
		}
		if !started {
			t.Fatalf("a plain job was not started")
		}
	})
}

// TestUnlimitedAttemptsOfRoute guards against an entry that answers nothing since a task has failed on
// one of two failing servers, and operators have set no limit of attempts (review case 12).
func TestUnlimitedAttemptsOfRoute(t *testing.T) {
	for _, attempts := range []int{3, math.MaxInt32, math.MaxInt64} {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			s := newScheduler(64)
			failing := update(64)
			failing.Report.FailRate = 0.4
			s.LinkAgent(at(0), &tasklink.Hello{Incarnation: 1, Name: "agent-2", Service: "service", Zone: "west"})
			s.HandleUpdate(at(0), "agent-2", failing)
			s.HandleUpdate(at(0), "agent-1", failing)
			sub := submission("0a", 1)
			sub.Route.MaxAttempts = attempts
			commands := s.Submit(at(10), sub).Commands
			started := make(chan int, 1)
			go func() {
				ends := update(64, tasklink.RunEnd{Ending: pollenfront.EndingFailed, Run: firstRun()})
				ends.Report.FailRate = 0.4
				for name := range commands {
					started <- startedTasks(s.HandleUpdate(at(20), name, ends))
				}
			}()
			select {
			case n := <-started:
				qt.Assert(t, n, qt.Equals, 1)
			case <-time.After(maxEventTime):
				t.Fatalf("no answer within %v", maxEventTime)
			}
		})
	}
}

// TestLongestTimeLimit guards against jobs that are taken for past their deadline, since their
// callers state the longest time as a limit.
func TestLongestTimeLimit(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	sub := submission("0a", 1)
	sub.TimeLimit = math.MaxInt64
	c.Assert(startedTasks(s.Submit(at(10), sub)), qt.Equals, 1)
	effects := s.Tick(at(20))
	c.Assert(effects.Results, qt.HasLen, 0)
	if commands := effects.Commands["agent-1"]; commands != nil {
		c.Assert(commands.Stops, qt.HasLen, 0)
	}
}
