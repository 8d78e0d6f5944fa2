package refusal_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/refusal"
)

func TestErrorNamesTheRemedy(t *testing.T) {
	err := refusal.New(refusal.OverQuota, "team %s has %d tasks in flight", "bars", 7).After(time.Second).At(3)
	qt.Assert(t, err.Error(), qt.Equals, "over-quota: team bars has 7 tasks in flight (submit again when earlier jobs have finished)")
	qt.Assert(t, err.Status(), qt.Equals, http.StatusTooManyRequests)
}

func TestKindSurvives(t *testing.T) {
	err := refusal.New(refusal.Conflict, "zone west was changed").At(7)
	encoded, encodeErr := json.Marshal(err)
	qt.Assert(t, encodeErr, qt.IsNil)
	var decoded refusal.Error
	qt.Assert(t, json.Unmarshal(encoded, &decoded), qt.IsNil)
	tests := []struct {
		name string
		err  error
		want bool
	}{
		{name: "as it is", err: err, want: true},
		{name: "with context", err: refusal.Wrap(err, "take out zone west"), want: true},
		{name: "joined with another", err: errors.Join(errors.New("x"), err), want: true},
		{name: "encoded and decoded", err: &decoded, want: true},
		{name: "another error", err: errors.New("conflict")},
		{name: "no error"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, refusal.Is(test.err, refusal.Conflict), qt.Equals, test.want)
		})
	}
	qt.Assert(t, decoded.Version, qt.Equals, uint64(7))
	qt.Assert(t, refusal.From(errors.New("x")).Kind, qt.Equals, refusal.Internal)
}
