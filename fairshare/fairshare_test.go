package fairshare_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pollenfront/pollenfront/fairshare"
)

// arrive adds n jobs of a size at now, of which the given share is served.
func arrive(a *fairshare.Accounts, now time.Duration, route string, size float64, n int, share float64) {
	for i := range n {
		f, counted := a.Arrive(now, route, size)
		if float64(i) < share*float64(n) {
			f.Serve(now, now, counted)
		}
	}
}

// TestLaggingOrder guards against a route that is served less than the others and does not
// go first, and against one that keeps its place when it has caught up.
func TestLaggingOrder(t *testing.T) {
	c := qt.New(t)
	a := fairshare.New()
	arrive(a, 0, "well", 100, 100, 1)
	arrive(a, 0, "poor", 100, 100, 0.4)
	arrive(a, 0, "poorest", 100, 100, 0.1)
	lagging := a.Lagging(0)
	c.Assert(lagging, qt.HasLen, 1, qt.Commentf("poor has 0.8 of the share of the whole, the floor is 0.7"))
	c.Assert(lagging[0].Route().Name, qt.Equals, "poorest")
	c.Assert(lagging[0].Starves(), qt.IsTrue)
	arrive(a, time.Minute, "poorest", 100, 100, 1)
	arrive(a, time.Minute, "well", 100, 100, 1)
	c.Assert(a.Lagging(time.Minute), qt.HasLen, 0)
}

// TestAbsurdSizes guards against one absurd estimate or need that distorts the account of its
// route: the served share of the flows stays within a hundredth, and no value is not a number.
func TestAbsurdSizes(t *testing.T) {
	for _, size := range []float64{math.Inf(1), math.MaxFloat64, math.NaN(), 0, -1, math.Inf(-1), 1e30} {
		c := qt.New(t)
		a := fairshare.New()
		arrive(a, 0, "route", 1e12, 1000, 0.8)
		flow, _ := a.Arrive(0, "route", 1e12)
		before := flow.ServedShare(0)
		_, counted := a.Arrive(0, "route", size)
		c.Assert(counted > 0 && counted <= 1e12*math.Exp(2)*1.1, qt.IsTrue, qt.Commentf("%v counts as %v", size, counted))
		flow, _ = a.Arrive(0, "route", 1e12)
		c.Assert(math.Abs(flow.ServedShare(0)-before) < 0.01, qt.IsTrue)
	}
}

// TestLateEvents guards against jobs that count with another size when they are served or
// withdrawn than when they arrived, since their arrival has faded meanwhile: a flow that waits
// long would look better served than others.
func TestLateEvents(t *testing.T) {
	const wait = 4 * time.Second
	tests := []struct {
		name             string
		served, withdrew int // served and withdrew count the jobs of 40 to which that happens after wait.
		want             float64
	}{
		{name: "all served", served: 40, want: 1},
		{name: "half served", served: 20, want: 0.5},
		{name: "half served, the others withdrawn", served: 20, withdrew: 20, want: 1},
		{name: "a quarter served, half withdrawn", served: 10, withdrew: 20, want: 0.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := fairshare.New()
			var flow *fairshare.Flow
			var size float64
			for range 40 {
				flow, size = a.Arrive(0, "route", 100)
			}
			for range test.served {
				flow.Serve(wait, 0, size)
			}
			for range test.withdrew {
				flow.Withdraw(wait, 0, size)
			}
			qt.Assert(t, math.Abs(flow.ServedShare(wait)-test.want) < 1e-9, qt.IsTrue, qt.Commentf("%v", flow.ServedShare(wait)))
		})
	}
}

// TestSharesStayValid guards against accounts that become negative, infinite or not a number
// in any order of events.
func TestSharesStayValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := fairshare.New()
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "wait"))
			f, counted := a.Arrive(now, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"), rapid.Float64().Draw(t, "size"))
			switch rapid.IntRange(0, 2).Draw(t, "fate") {
			case 0:
				f.Serve(now, now, counted)
			case 1:
				f.Withdraw(now, now, counted)
			}
			a.Lagging(now)
			for _, r := range a.Routes() {
				for _, f := range r.Flows() {
					if share := f.ServedShare(now); !(share >= 0) || math.IsInf(share, 0) {
						t.Fatalf("served share %v", share)
					}
				}
			}
		}
	})
}

// TestLimitBounds guards against a limit that leaves its bounds, or that one outcome moves far.
func TestLimitBounds(t *testing.T) {
	c := qt.New(t)
	var l fairshare.Limit
	first := l.Strictness(0)
	l.Late(0)
	c.Assert(l.Strictness(0)-first < 0.2, qt.IsTrue)
	for range 10_000 {
		l.Late(0)
	}
	c.Assert(l.Strictness(0) <= fairshare.MaxStrictness && l.Strictness(0) > 0.95*fairshare.MaxStrictness, qt.IsTrue)
	for range 10_000_000 {
		l.Refused(0)
	}
	c.Assert(l.Strictness(0) >= fairshare.MinStrictness, qt.IsTrue)
	c.Assert(math.Abs(l.Strictness(time.Hour)-first) < 0.01, qt.IsTrue)
}

// TestLimitStep guards against an oscillating limit. The shares of late and refused jobs
// react to the strictness after a second. After a step of the load the strictness turns at
// most once by more than 0.1, and stays within 0.1 of its final value after 10 s.
func TestLimitStep(t *testing.T) {
	const step, second = 10 * time.Millisecond, 100
	for _, load := range []float64{0.5, 1, 1.3, 2, 5} {
		c := qt.New(t)
		var l fairshare.Limit
		var values []float64
		for i := range 30 * second {
			now := time.Duration(i) * step
			seen := l.Strictness(now)
			if len(values) >= second {
				seen = values[len(values)-second]
			}
			overload := 0.2
			if i > 5*second {
				overload = load
			}
			for range int(10 * overload / seen) { // A strict limit refuses more and has fewer late jobs.
				l.Late(now)
			}
			for range int(10 * overload * seen) {
				l.Refused(now)
			}
			values = append(values, l.Strictness(now))
		}
		final := values[len(values)-1]
		c.Check(turns(values[5*second:], 0.1) <= 1, qt.IsTrue, qt.Commentf("load %v: %d turns", load, turns(values[5*second:], 0.1)))
		for _, v := range values[15*second:] {
			c.Assert(math.Abs(v-final) <= 0.1, qt.IsTrue, qt.Commentf("load %v", load))
		}
	}
}

// turns returns how often the values change their direction by more than a threshold.
func turns(values []float64, threshold float64) int {
	n, direction, extreme := 0, 0.0, values[0]
	for _, v := range values {
		switch {
		case direction == 0 && math.Abs(v-extreme) > threshold:
			direction, extreme = math.Copysign(1, v-extreme), v
		case direction != 0 && (v-extreme)*direction > 0:
			extreme = v
		case direction != 0 && (extreme-v)*direction > threshold:
			n, direction, extreme = n+1, -direction, v
		}
	}
	return n
}
