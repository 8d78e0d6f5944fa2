package demandshare_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pollenfront/pollenfront/demandshare"
)

// tolerance covers rounding errors of sums, in thousandths of a core.
const tolerance = 1e-6

// TestMaxMin guards against a wrong order of filling: a small demand must be met before
// large ones share the rest, and what nobody demands must be lent out equally.
func TestMaxMin(t *testing.T) {
	tests := []struct {
		name    string
		demands []float64
		want    []float64
	}{
		{name: "no entries", demands: nil, want: []float64{}},
		{name: "one entry gets all", demands: []float64{0}, want: []float64{64}},
		{name: "no demand", demands: []float64{0, 0}, want: []float64{32, 32}},
		{name: "equal overload", demands: []float64{100, 100}, want: []float64{32, 32}},
		{name: "the quiet one keeps the floor", demands: []float64{100, 0}, want: []float64{48, 16}},
		{name: "small demands first", demands: []float64{60, 10, 60, 20}, want: []float64{18, 10, 18, 18}},
		{name: "the rest is lent", demands: []float64{20, 28}, want: []float64{28, 36}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := demandshare.MaxMin(64, test.demands)
			qt.Assert(t, len(got), qt.Equals, len(test.want))
			for i, want := range test.want {
				qt.Check(t, math.Abs(got[i]-want) < tolerance, qt.IsTrue, qt.Commentf("entry %d: got %v, want %v", i, got[i], want))
			}
		})
	}
}

// TestMaxMinProperties guards against shares that exceed the capacity, leave a part of it
// unused, or give an entry more than it demands at the cost of another.
func TestMaxMinProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(1, 200_000).Draw(t, "capacity")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 400_000), 1, 60).Draw(t, "demands")
		shares := demandshare.MaxMin(capacity, demands)
		n := float64(len(demands))
		floor := capacity / n / 2
		sum, wanted := 0.0, 0.0
		for i, share := range shares {
			sum += share
			wanted += max(floor, min(capacity, demands[i]))
			if share < floor-tolerance {
				t.Fatalf("entry %d got %v, below the floor %v", i, share, floor)
			}
		}
		if math.Abs(sum-capacity) > tolerance {
			t.Fatalf("shares add up to %v of %v", sum, capacity)
		}
		lent := max(0, capacity-wanted) / n
		for i, share := range shares {
			limit := max(floor, min(capacity, demands[i]))
			if share > limit+lent+tolerance {
				t.Fatalf("entry %d got %v, its demand is %v and %v is lent to each", i, share, limit, lent)
			}
			if share > limit-tolerance {
				continue
			}
			for other, o := range shares {
				if o > share+tolerance {
					t.Fatalf("entry %d wants %v and got %v, entry %d got %v", i, limit, share, other, o)
				}
			}
		}
	})
}

// TestStatements guards against statements that must count as none or be limited.
func TestStatements(t *testing.T) {
	low, high := 64000.0*0.99/4, 64000.0*0.99*3/4
	tests := []struct {
		name   string
		demand float64
		age    time.Duration
		valid  bool
		want   float64
	}{
		{name: "valid", demand: 64000, valid: true, want: high},
		{name: "above the capacity", demand: 1e12, valid: true, want: high},
		{name: "just young enough", demand: 64000, age: 1300 * time.Millisecond, valid: true, want: high},
		{name: "too old", demand: 64000, age: 1301 * time.Millisecond, valid: true, want: 64000 * 0.99 / 2},
		{name: "negative", demand: -1, want: 64000 * 0.99 / 2},
		{name: "not a number", demand: math.NaN(), want: 64000 * 0.99 / 2},
		{name: "infinite", demand: math.Inf(1), want: 64000 * 0.99 / 2},
		{name: "negatively infinite", demand: math.Inf(-1), want: 64000 * 0.99 / 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := demandshare.NewLedger()
			l.Add("a")
			l.Add("b")
			err := l.Record(time.Minute, "a", test.demand)
			c.Assert(err == nil, qt.Equals, test.valid)
			shares := l.Shares(time.Minute+test.age, 64000)
			c.Check(math.Abs(shares["a"].Target-test.want) < tolerance, qt.IsTrue, qt.Commentf("got %v, want %v", shares["a"].Target, test.want))
			if test.want == high {
				c.Check(math.Abs(shares["b"].Target-low) < tolerance, qt.IsTrue)
			}
		})
	}
}

// TestInvalidAfterValid guards against an earlier valid demand that stays in force when
// the entry states an invalid one.
func TestInvalidAfterValid(t *testing.T) {
	c := qt.New(t)
	l := demandshare.NewLedger()
	l.Add("a")
	c.Assert(l.Record(time.Minute, "a", 64000), qt.IsNil)
	c.Assert(l.Record(time.Minute, "a", math.NaN()), qt.ErrorIs, demandshare.ErrInvalidDemand)
	c.Assert(l.Shares(time.Minute, 64000)["a"].Demand, qt.Equals, 0.0)
}

// TestSmoothing guards against shares that drop with every job that ends, and against ones
// that rise late: a fall covers 63 % of the way in 200 ms and 99 % within a second.
func TestSmoothing(t *testing.T) {
	c := qt.New(t)
	l := demandshare.NewLedger()
	l.Add("a")
	c.Assert(l.Record(0, "a", 500), qt.IsNil)
	c.Assert(l.Record(0, "a", 1000), qt.IsNil)
	demand := func(now time.Duration) float64 { return l.Shares(now, 64000)["a"].Demand }
	c.Assert(demand(0), qt.Equals, 1000.0)
	for now := 20 * time.Millisecond; now <= time.Second; now += 20 * time.Millisecond {
		c.Assert(l.Record(now, "a", 0), qt.IsNil)
		if now == 200*time.Millisecond {
			c.Check(math.Abs(demand(now)-368) < 1, qt.IsTrue, qt.Commentf("%v", demand(now)))
		}
	}
	c.Check(demand(time.Second) < 10, qt.IsTrue)
}

// TestGrants guards against shares that together exceed the capacity while they change:
// whatever entries come, leave and state, the newest shares of all linked entries must
// fit, and each must be at least one, since zero means that none is stated.
func TestGrants(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 64000
		l := demandshare.NewLedger()
		held := make(map[string]int)
		linked := make(map[string]bool)
		now := time.Minute
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			name := rapid.SampledFrom(names).Draw(t, "entry")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				l.Add(name)
				linked[name] = true
			case 1:
				l.Remove(name)
				delete(held, name)
				delete(linked, name)
			case 2, 3:
				_ = l.Record(now, name, rapid.Float64().Draw(t, "demand"))
			default:
				share := l.Grant(now, name, capacity)
				if (share >= 1) != linked[name] {
					t.Fatalf("entry %s: linked %v, share %d", name, linked[name], share)
				}
				if linked[name] {
					held[name] = share
				}
			}
			sum := 0
			for _, share := range held {
				sum += share
			}
			if sum > capacity {
				t.Fatalf("shares add up to %d of %d: %v", sum, capacity, held)
			}
		}
	})
}

// TestGrantsSettle guards against a share that stays lower than it should after the other
// entries were told theirs.
func TestGrantsSettle(t *testing.T) {
	c := qt.New(t)
	l := demandshare.NewLedger()
	for _, name := range []string{"a", "b", "c"} {
		l.Add(name)
		l.Grant(time.Minute, name, 64000)
	}
	c.Assert(l.Record(time.Minute, "c", 64000), qt.IsNil)
	for range 2 {
		for _, name := range []string{"c", "a", "b"} {
			l.Grant(time.Minute, name, 64000)
		}
	}
	for name, share := range l.Shares(time.Minute, 64000) {
		c.Check(share.Granted, qt.Equals, int(share.Target), qt.Commentf("entry %s", name))
	}
}

// TestNoCapacity guards against a share of a server that has not announced itself.
func TestNoCapacity(t *testing.T) {
	c := qt.New(t)
	l := demandshare.NewLedger()
	l.Add("a")
	c.Assert(l.Grant(0, "a", 0), qt.Equals, 0)
	c.Assert(l.Grant(0, "b", 64000), qt.Equals, 0)
	c.Assert(l.Record(0, "b", 1), qt.IsNil)
}

// TestSelectOverloaded guards against overloaded entries that are never named because others
// are, and against a message that names its receiver.
func TestSelectOverloaded(t *testing.T) {
	tests := []struct {
		name     string
		hashes   []uint32
		receiver uint32
		want     []uint32 // want has the selected hash for each turn.
	}{
		{name: "none", want: []uint32{0, 0}},
		{name: "turns", hashes: []uint32{7, 8, 9}, want: []uint32{7, 8, 9, 7}},
		{name: "the receiver is left out", hashes: []uint32{7, 8, 9}, receiver: 8, want: []uint32{7, 9, 9, 7}},
		{name: "only the receiver", hashes: []uint32{8}, receiver: 8, want: []uint32{0, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for turn, want := range test.want {
				qt.Check(t, demandshare.SelectOverloaded(test.hashes, turn, test.receiver), qt.Equals, want, qt.Commentf("turn %d", turn))
			}
		})
	}
}
