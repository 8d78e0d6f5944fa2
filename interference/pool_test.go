package interference_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/interference"
)

// estimate returns an estimate for route a beside neighbor b.
func estimate(effect, weight float64) interference.Estimate {
	return interference.Estimate{Effect: effect, Neighbor: "b", Route: "a", Weight: weight}
}

// TestFindAndDrop guards against a finding that a single agent creates, and against one that
// stays although the evidence is gone.
func TestFindAndDrop(t *testing.T) {
	p := interference.NewPool()
	for i := range 4 {
		_, err := p.Add(0, fmt.Sprint(i), []interference.Estimate{estimate(0.4, 40)})
		qt.Assert(t, err, qt.IsNil)
		changes := p.Evaluate(0)
		qt.Assert(t, len(changes) > 0, qt.Equals, i == 2, qt.Commentf("%d agents", i+1))
	}
	findings := p.Findings()
	qt.Assert(t, findings, qt.HasLen, 1)
	qt.Check(t, findings[0].Agents, qt.Equals, 4)
	qt.Check(t, findings[0].Factor > 1.3 && findings[0].Factor < 1.5, qt.IsTrue)
	qt.Check(t, p.Factor("a", "b"), qt.Equals, findings[0].Factor)
	qt.Check(t, p.Factor("b", "a"), qt.Equals, 1.0)

	for i := range 4 {
		_, _ = p.Add(time.Minute, fmt.Sprint(i), []interference.Estimate{estimate(0.01, 400)})
	}
	changes := p.Evaluate(time.Minute)
	qt.Assert(t, changes, qt.HasLen, 1)
	qt.Check(t, changes[0].Dropped, qt.IsTrue)
	qt.Check(t, p.Findings(), qt.HasLen, 0)
}

// TestEvidenceDecays guards against evidence that is kept for hours, or lost in a minute while
// routes are kept apart.
func TestEvidenceDecays(t *testing.T) {
	p := interference.NewPool()
	for i := range 4 {
		_, _ = p.Add(0, fmt.Sprint(i), []interference.Estimate{estimate(0.4, 40)})
	}
	p.Evaluate(0)
	p.Evaluate(2 * time.Minute)
	qt.Check(t, p.Findings(), qt.HasLen, 1)
	p.Evaluate(time.Hour)
	qt.Check(t, p.Findings(), qt.HasLen, 0)
}

// TestExtremeAgent guards against one agent that hides or creates a finding by a large weight.
func TestExtremeAgent(t *testing.T) {
	for _, effect := range []float64{3, -3} {
		p := interference.NewPool()
		_, err := p.Add(0, "extreme", []interference.Estimate{estimate(effect, 6000)})
		qt.Assert(t, err, qt.IsNil)
		for i := range 5 {
			_, _ = p.Add(0, fmt.Sprint(i), []interference.Estimate{estimate(0.01, 40)})
		}
		qt.Check(t, p.Evaluate(0), qt.HasLen, 0)
	}
	p := interference.NewPool()
	for i := range 40 {
		_, _ = p.Add(0, fmt.Sprint(i), []interference.Estimate{estimate(0.4, 40)})
	}
	_, _ = p.Add(0, "extreme", []interference.Estimate{estimate(-3, 6000)})
	qt.Check(t, p.Evaluate(0), qt.HasLen, 1)
}

// TestInvalidEstimates guards against invalid estimates that are used.
func TestInvalidEstimates(t *testing.T) {
	p := interference.NewPool()
	p.SetRoutes([]string{"a", "b"})
	tests := []struct {
		estimate interference.Estimate
		want     error
	}{
		{estimate: estimate(math.NaN(), 1), want: interference.ErrEffect},
		{estimate: estimate(math.Inf(1), 1), want: interference.ErrEffect},
		{estimate: estimate(-4, 1), want: interference.ErrEffect},
		{estimate: estimate(0.1, -1), want: interference.ErrWeight},
		{estimate: estimate(0.1, math.NaN()), want: interference.ErrWeight},
		{estimate: estimate(0.1, 1e9), want: interference.ErrWeight},
		{estimate: interference.Estimate{Neighbor: "c", Route: "a", Weight: 1}, want: interference.ErrRoute},
		{estimate: interference.Estimate{Route: "a", Weight: 1}, want: interference.ErrRoute},
	}
	for _, test := range tests {
		invalid, err := p.Add(0, "agent", []interference.Estimate{test.estimate, estimate(0.1, 1)})
		qt.Check(t, invalid, qt.Equals, 1)
		qt.Check(t, err, qt.ErrorIs, test.want)
	}
	invalid, err := p.Add(0, "agent", make([]interference.Estimate, 5000))
	qt.Check(t, invalid, qt.Equals, 5000)
	qt.Check(t, err, qt.ErrorIs, interference.ErrTooMany)
}

// TestAgentCount guards against agents that count as having evidence although all of their
// estimates were invalid or have decayed.
func TestAgentCount(t *testing.T) {
	p := interference.NewPool()
	_, _ = p.Add(0, "valid", []interference.Estimate{estimate(0.1, 1)})
	_, _ = p.Add(0, "invalid", []interference.Estimate{estimate(math.NaN(), 1)})
	qt.Check(t, p.AgentCount(), qt.Equals, 1)
	p.Evaluate(time.Hour)
	qt.Check(t, p.AgentCount(), qt.Equals, 0)
}

// TestAddedTime guards against a penalty that ignores the neighbors, or one without findings.
func TestAddedTime(t *testing.T) {
	p := interference.NewPool()
	m := interference.NewModel(p)
	neighbors := func(count float64) []pollenfront.RouteLoad {
		return []pollenfront.RouteLoad{{Count: count, Route: "b"}, {Count: 3, Route: "c"}}
	}
	qt.Check(t, m.AddedTime("a", time.Second, neighbors(2)), qt.Equals, time.Duration(0))
	for i := range 4 {
		_, _ = p.Add(0, fmt.Sprint(i), []interference.Estimate{estimate(0.4, 40)})
	}
	p.Evaluate(0)
	one, four := m.AddedTime("a", time.Second, neighbors(1)), m.AddedTime("a", time.Second, neighbors(4))
	qt.Check(t, one > 0, qt.IsTrue)
	qt.Check(t, four > one, qt.IsTrue)
	qt.Check(t, m.AddedTime("c", time.Second, neighbors(4)), qt.Equals, time.Duration(0))
	qt.Check(t, m.AddedTime("a", time.Second, nil), qt.Equals, time.Duration(0))
}
