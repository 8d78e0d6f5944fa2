package fencing_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pollenfront/pollenfront/fencing"
)

// TestHandleRefusal guards against a token that runs ahead of the time of day, at which the next
// process starts, since requests were refused that a newer one of the same process had overtaken.
func TestHandleRefusal(t *testing.T) {
	tests := []struct {
		name   string
		before int // before is how often the sequence, which begins with 100, advances.
		token  uint64
		raised bool
	}{
		{name: "overtaken by the next one", before: 1, token: 100},
		{name: "overtaken by a much later one", before: 50, token: 120},
		{name: "the newest one", before: 1, token: 101, raised: true},
		{name: "the only one", token: 100, raised: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := fencing.NewSequence(100)
			for range test.before {
				s.Advance()
			}
			current := s.Current()
			c.Assert(s.HandleRefusal(test.token), qt.Equals, test.raised)
			c.Assert(s.Current() > current, qt.Equals, test.raised)
		})
	}
}

// TestRefusalsReachToken guards against a process that is refused for seconds, as it gets nearer
// to the token of its predecessor by a fixed step each time.
func TestRefusalsReachToken(t *testing.T) {
	for _, test := range []struct {
		ahead      uint64
		atMost     int
		overshoots uint64
	}{{ahead: 2000, atMost: 2, overshoots: 2000}, {ahead: 6000, atMost: 3, overshoots: 6000}, {ahead: 1_200_000, atMost: 11, overshoots: 1_200_000}} {
		c := qt.New(t)
		s := fencing.NewSequence(1)
		n := 0
		for ; s.Current() < test.ahead; n++ {
			c.Assert(s.HandleRefusal(s.Current()), qt.IsTrue)
		}
		c.Assert(n <= test.atMost, qt.IsTrue, qt.Commentf("%d refusals for %d", n, test.ahead))
		c.Assert(s.Current() <= test.ahead+test.overshoots, qt.IsTrue, qt.Commentf("%d for %d", s.Current(), test.ahead))
	}
}

// TestSequenceIsOrdered guards against a token that gets lower, passes what was reserved, or
// overflows, whatever others state.
func TestSequenceIsOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.OneOf(rapid.Uint64(), rapid.Uint64Range(0, 5000), rapid.Uint64Range(fencing.MaxToken-600, fencing.MaxToken+600))
		s := fencing.NewSequence(tokens.Draw(t, "first"))
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			before, reserved := s.Current(), s.Reserved()
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				s.Advance()
			case 1:
				floor := tokens.Draw(t, "floor")
				s.RaiseAbove(floor)
				if floor < fencing.MaxToken && s.Current() <= floor {
					t.Fatalf("%d is not above %d", s.Current(), floor)
				}
			case 2:
				s.HandleRefusal(rapid.SampledFrom([]uint64{before, before - 1, tokens.Draw(t, "token")}).Draw(t, "refused"))
			}
			if s.Current() < before || s.Current() > s.Reserved() || s.Reserved() < reserved || s.Reserved() > fencing.MaxToken {
				t.Fatalf("%d of %d after %d of %d", s.Current(), s.Reserved(), before, reserved)
			}
		}
	})
}
