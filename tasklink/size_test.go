package tasklink_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestDemandShareSize guards against fields for demand and shares that cost more than the
// ten bytes allowed in an update or in commands, whatever their values.
func TestDemandShareSize(t *testing.T) {
	size := func(c *qt.C, message interface{ MarshalMsg([]byte) ([]byte, error) }) int {
		data, err := message.MarshalMsg(nil)
		c.Assert(err, qt.IsNil)
		return len(data)
	}
	report := tasklink.Report{
		Capacity: pollenfront.Resources{CPU: 64000, Memory: 131072}, EntryCount: 6, FailRate: 0.01, Free: pollenfront.Resources{CPU: 32000, Memory: 65536},
		Labels: []string{"rack-1"}, RunSeconds: 0.2, Slowness: 1.2, State: tasklink.StateReady, Waits: []int{0, 0, 0},
	}
	for _, value := range []int32{0, 10_667, 64_000, 400_000, math.MaxInt32, math.MinInt32} {
		c := qt.New(t)
		update, commands := tasklink.Update{Clock: 1 << 50, Report: report}, tasklink.Commands{AgentCount: 50, EchoedClock: 1 << 50}
		// Version 5 had none of these fields, which take one byte each if they are zero.
		updateBefore, commandsBefore := size(c, &update)-2, size(c, &commands)-2
		update.Report.Share, commands.Demand = value, value
		if value != 0 {
			update.Report.Overloaded, commands.Overloaded = math.MaxUint32, math.MaxUint32
		}
		t.Logf("value %d: update %d to %d bytes, commands %d to %d bytes", value, updateBefore, size(c, &update), commandsBefore, size(c, &commands))
		c.Check(size(c, &update)-updateBefore <= 10, qt.IsTrue)
		c.Check(size(c, &commands)-commandsBefore <= 10, qt.IsTrue)
	}
}

// TestInterferenceSize guards against summaries of interference that are larger than the
// design note states: the largest message has 48 pairs of 30 routes.
func TestInterferenceSize(t *testing.T) {
	size := func(update *tasklink.Update) int {
		data, err := update.MarshalMsg(nil)
		qt.Assert(t, err, qt.IsNil)
		return len(data)
	}
	message := &tasklink.Interference{}
	for i := range 30 {
		message.Routes = append(message.Routes, fmt.Sprintf("route-%04d", i))
	}
	for i := range 48 {
		message.Pairs = append(message.Pairs, tasklink.InterferencePair{Effect: 0.1, Neighbor: i % 30, Route: i * 7 % 30, Weight: 10})
	}
	off := size(&tasklink.Update{})
	summary := size(&tasklink.Update{Interference: message}) - off
	counts := size(&tasklink.Update{RouteCounts: []tasklink.RouteCount{{Count: 3, Route: "route-0001"}, {Count: 8, Route: "route-0002"}, {Count: 2, Route: "route-0003"}}}) - off
	t.Logf("summary %d bytes, counts of three routes %d bytes", summary, counts)
	qt.Check(t, summary < 1024, qt.IsTrue)
	qt.Check(t, counts < 64, qt.IsTrue)
}

// TestEvidenceSize guards against ends of runs that grow by more than two bytes if the run has
// succeeded, and by more than four otherwise.
func TestEvidenceSize(t *testing.T) {
	tests := []struct {
		name     string
		evidence tasklink.Evidence
		age      time.Duration
		want     int
	}{
		{name: "done", want: 2},
		{name: "age of 1.3 s", evidence: tasklink.AgentSilent, age: 1300 * time.Millisecond, want: 4},
		{name: "age of a minute", evidence: tasklink.LeaseExpired, age: time.Minute, want: 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			data, err := (&tasklink.RunEnd{Evidence: test.evidence, EvidenceAge: test.age}).MarshalMsg(nil)
			c.Assert(err, qt.IsNil)
			const sizeBefore = 19 // The size of an empty RunEnd in version 6.
			c.Assert(len(data)-sizeBefore <= test.want, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
		})
	}
}
