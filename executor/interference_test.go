package executor_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestInterferenceMessages guards against anything about interference in updates while the
// setting is off, and against more than one message with estimates in 3 s while it is on.
func TestInterferenceMessages(t *testing.T) {
	for _, mode := range []pollenfront.InterferenceMode{"", pollenfront.InterferenceOff, pollenfront.InterferenceObserve, pollenfront.InterferenceAvoid} {
		x := executor.New("agent", "service", "zone", 1)
		x.SetInterference(mode)
		ref := pollenfront.EntryRef{Incarnation: 1, Name: "entry"}
		now := time.Second
		x.LinkEntry(now, ref)
		x.HandleRenewal(now, now, &pollenfront.RenewalResponse{Clock: now, Incarnation: 1})
		effects := x.HandleAnnouncement(now, pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: 64000, Memory: 1000}, Clock: now, Incarnation: 1, SeqNum: 1})
		qt.Assert(t, effects.Announced, qt.HasLen, 1)
		counted, estimated := 0, 0
		var seqNum uint64
		for i := range 300 {
			now += 40 * time.Millisecond
			job := fmt.Sprint(i)
			effects := x.HandleCommands(now, ref, &tasklink.Commands{EchoedClock: int64(now), Starts: []tasklink.StartCommand{{
				ExpectedRunTime: int64(100 * time.Millisecond), Job: job, Need: pollenfront.Resources{CPU: 6000}, Route: fmt.Sprint("route-", i%3), Service: "service",
				Slack: int64(time.Second), Tasks: []tasklink.StartTask{{Run: 1, SeqNum: seqNum + 1}},
			}}})
			seqNum++
			for _, start := range effects.Starts {
				x.HandleStartResponse(now, start, now, nil)
			}
			response := &pollenfront.RenewalResponse{Clock: now, Incarnation: 1}
			if i >= 3 {
				id := pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Job: fmt.Sprint(i - 3)}}
				response.Ended = []pollenfront.EndedRun{{Ending: pollenfront.EndingDone, Run: id, SeqNum: uint64(i)}}
			}
			for running := max(0, i-2); running <= i; running++ {
				id := pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Job: fmt.Sprint(running)}}
				response.Running = append(response.Running, pollenfront.RunningRun{Percent: 40 * (i - running), Run: id})
			}
			x.HandleRenewal(now, now, response)
			update, ok := x.NextUpdate(now, "entry")
			qt.Assert(t, ok, qt.IsTrue)
			if len(update.RouteCounts) > 0 {
				counted++
			}
			if update.Interference != nil {
				estimated++
			}
		}
		if !mode.Enabled() {
			qt.Check(t, counted+estimated, qt.Equals, 0)
			continue
		}
		qt.Check(t, counted, qt.Equals, 300)
		qt.Check(t, estimated > 0 && estimated <= 4, qt.IsTrue, qt.Commentf("%d messages in 12 s", estimated))
	}
}
