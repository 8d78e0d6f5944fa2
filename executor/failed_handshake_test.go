package executor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestRunsOutliveFailedHandshakes guards against an agent that counts an entry as heard from
// because it could dial it, although its own hello does not reach the entry. The entry counts the
// agent as lost 1.3 s after its last update and starts the task on another server.
func TestRunsOutliveFailedHandshakes(t *testing.T) {
	tests := []struct {
		name string
		// dials are the times at which the agent dials the entry and receives its hello.
		dials []int
	}{
		{name: "no dial", dials: nil},
		{name: "one dial, stops are not answered", dials: []int{700}},
		{name: "two dials", dials: []int{700, 1250}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			s := scheduler.New(at(-10_000), testEntry.Name, "west")
			report := tasklink.Report{Capacity: pollenfront.Resources{CPU: 12000}, RunSeconds: 1, Slowness: 1, State: tasklink.StateReady, Waits: []int{0, 0, 0}}
			for _, name := range []string{"agent-1", "agent-2"} {
				s.LinkAgent(at(0), &tasklink.Hello{Incarnation: 1, Name: name, Service: "service", Zone: "west"})
			}
			updateOther := func(ms, cpu int) *scheduler.Effects {
				report.Free.CPU = cpu
				return s.HandleUpdate(at(ms), "agent-2", &tasklink.Update{Clock: 1, LastSeqNum: 1 << 40, Report: report})
			}
			update, _ := x.NextUpdate(at(0), testEntry.Name)
			s.HandleUpdate(at(0), "agent-1", &update)
			updateOther(0, 0)
			effects := s.Submit(at(10), pollenfront.Submission{
				Estimate: time.Second, ID: "0a", Need: pollenfront.Resources{CPU: 6000}, TaskCount: 1, TimeLimit: 5 * time.Second,
				Route: pollenfront.Route{LatencyTarget: 200 * time.Millisecond, MaxAttempts: 2, Name: "r", Service: "service", Stretch: 2},
			})
			starts := x.HandleCommands(at(11), testEntry, effects.Commands["agent-1"]).Starts
			c.Assert(starts, qt.HasLen, 1)
			x.HandleStartResponse(at(12), pollenfront.StartRequest{Incarnation: 1, Run: runID(0)}, serverClock(at(12)), nil)

			expiry, startedElsewhere, stopSent, expired := time.Duration(0), time.Duration(0), time.Duration(0), false
			record := func(now time.Duration, effects executor.Effects) {
				if len(effects.Stops) > 0 && stopSent == 0 {
					stopSent = now
				}
			}
			for ms := 25; ms <= 2500 && startedElsewhere == 0; ms += 25 {
				record(at(ms), x.Tick(at(ms)))
				if ms <= 200 { // The link is reset afterwards.
					update, _ := x.NextUpdate(at(ms), testEntry.Name)
					s.HandleUpdate(at(ms), "agent-1", &update)
					record(at(ms), x.HandleCommands(at(ms), testEntry, &tasklink.Commands{EchoedClock: update.Clock}))
				} else {
					x.UnlinkEntry(testEntry)
					s.UnlinkAgent("agent-1", 1)
				}
				for _, dialed := range test.dials {
					if ms == dialed {
						_, effects := x.LinkEntry(at(ms), testEntry)
						record(at(ms), effects)
					}
				}
				if request := x.NextRenewal(at(ms)); request.LeaseExpiry > 0 && !expired {
					expiry = max(expiry, request.LeaseExpiry-serverClock(at(0))+at(0))
				}
				if expired = expired || expiry > 0 && at(ms) >= expiry; !expired {
					record(at(ms), x.HandleRenewal(at(ms+1), at(ms), &pollenfront.RenewalResponse{
						Clock: serverClock(at(ms)), Incarnation: 1, Running: []pollenfront.RunningRun{{Percent: ms / 25, Run: runID(0)}},
					}))
				}
				for _, effects := range []*scheduler.Effects{updateOther(ms, 12000), s.Tick(at(ms))} {
					if commands := effects.Commands["agent-2"]; commands != nil && len(commands.Starts) > 0 {
						startedElsewhere = at(ms)
					}
				}
			}
			c.Assert(startedElsewhere > 0, qt.IsTrue)
			c.Assert(expiry < startedElsewhere, qt.IsTrue, qt.Commentf("the lease lasts until %v, the task was started elsewhere at %v, and the first stop was sent at %v",
				expiry-at(0), startedElsewhere-at(0), stopSent-at(0)))
		})
	}
}
