package tasklink_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/tasklink"
)

// TestEvidenceRoundTrip guards against kinds of evidence that have no code in messages, and so
// arrive as none.
func TestEvidenceRoundTrip(t *testing.T) {
	kinds := []tasklink.Evidence{
		"", tasklink.NoStartSent, tasklink.StartRefused, tasklink.EndListed, tasklink.StoppedAndUnlisted, tasklink.LeaseExpired, tasklink.Unlisted,
		tasklink.ConnectionRefused, tasklink.NewIncarnation, tasklink.AgentSilent, tasklink.AgentRestarted, tasklink.NotInHello,
	}
	for _, kind := range kinds {
		t.Run(string(kind), func(t *testing.T) {
			c := qt.New(t)
			sent := tasklink.Update{RunEnds: []tasklink.RunEnd{{Evidence: kind, EvidenceAge: 1234 * time.Millisecond}}}
			data, err := sent.MarshalMsg(nil)
			c.Assert(err, qt.IsNil)
			var got tasklink.Update
			_, err = got.UnmarshalMsg(data)
			c.Assert(err, qt.IsNil)
			c.Assert(got.RunEnds, qt.DeepEquals, sent.RunEnds)
		})
	}
}

// TestEvidenceAgeOutOfRange checks that ages which no process measures are limited, and do not
// arrive as others.
func TestEvidenceAgeOutOfRange(t *testing.T) {
	tests := []struct {
		name      string
		age, want time.Duration
	}{
		{name: "negative", age: -time.Second, want: 0},
		{name: "less than a millisecond", age: 999 * time.Microsecond, want: 0},
		{name: "longest", age: math.MaxInt64, want: math.MaxUint32 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			data, err := (&tasklink.RunEnd{EvidenceAge: test.age}).MarshalMsg(nil)
			c.Assert(err, qt.IsNil)
			var got tasklink.RunEnd
			_, err = got.UnmarshalMsg(data)
			c.Assert(err, qt.IsNil)
			c.Assert(got.EvidenceAge, qt.Equals, test.want)
		})
	}
}
