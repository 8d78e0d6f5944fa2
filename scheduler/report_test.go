package scheduler_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestInvalidReport guards against a server that attracts tasks, or hides the capacity of
// others, because its agent reports numbers that are not in the possible range.
func TestInvalidReport(t *testing.T) {
	tests := []struct {
		name       string
		invalidate func(r *tasklink.Report)
	}{
		{"slowness is not a number", func(r *tasklink.Report) { r.Slowness = math.NaN() }},
		{"slowness is huge", func(r *tasklink.Report) { r.Slowness = 1e300 }},
		{"slowness is negative", func(r *tasklink.Report) { r.Slowness = -5 }},
		{"share of failed runs is not a number", func(r *tasklink.Report) { r.FailRate = math.NaN() }},
		{"share of failed runs is above 1", func(r *tasklink.Report) { r.FailRate = 7 }},
		{"run time is not a number", func(r *tasklink.Report) { r.RunSeconds = math.NaN() }},
		{"run time is huge", func(r *tasklink.Report) { r.RunSeconds = 1e300 }},
		{"capacity is negative", func(r *tasklink.Report) { r.Capacity.CPU = -1 << 40 }},
		{"capacity is huge", func(r *tasklink.Report) { r.Capacity.CPU = math.MaxInt64 }},
		{"effective capacity is negative", func(r *tasklink.Report) { r.EffectiveCapacity.CPU = -1 << 40 }},
		{"effective capacity is above the announced one", func(r *tasklink.Report) { r.EffectiveCapacity.CPU = 1 << 40 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSchedulerWithAgents(2)
			invalid := fleetUpdate(0, 100, 0)
			test.invalidate(&invalid.Report)
			first, second := s.HandleUpdate(at(1), "agent-1", invalid), s.HandleUpdate(at(1), "agent-1", invalid)
			c.Assert(first.InvalidReports, qt.HasLen, 1)
			c.Assert(first.InvalidReports[0].First, qt.IsTrue)
			c.Assert(second.InvalidReports, qt.HasLen, 1)
			c.Assert(second.InvalidReports[0].First, qt.IsFalse)
			c.Assert(s.HandleUpdate(at(1), "agent-2", fleetUpdate(0, 100, 0)).InvalidReports, qt.HasLen, 0)
			refused := 0
			for i := range 400 {
				sub := submission(fmt.Sprintf("%03x", i), 1)
				sub.Route.LatencyTarget = 300 * time.Millisecond
				refused += len(s.Submit(at(2), sub).Results)
			}
			c.Assert(refused > 0 && refused < 400, qt.IsTrue, qt.Commentf("%d of 400 jobs refused", refused))
			for _, a := range s.Dump(at(3)).Agents {
				r := a.Report
				c.Assert(r.Slowness > 0 && r.Slowness < 1e6 && r.RunSeconds >= 0 && r.RunSeconds < 1e6, qt.IsTrue, qt.Commentf("%+v", r))
				c.Assert(r.FailRate >= 0 && r.FailRate <= 1, qt.IsTrue)
				c.Assert(r.EffectiveCapacity == pollenfront.Resources{} || r.Capacity.Covers(r.EffectiveCapacity), qt.IsTrue)
				c.Assert(r.EffectiveCapacity.CPU >= 0, qt.IsTrue)
			}
		})
	}
}
