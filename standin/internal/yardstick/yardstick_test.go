package yardstick_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/standin/internal/yardstick"
)

func TestYardstick(t *testing.T) {
	const ms = time.Millisecond
	y := yardstick.New([]float64{2, 1})
	tests := []struct {
		name string
		work []time.Duration
		want time.Duration
	}{
		{name: "one task takes the fast slot", work: []time.Duration{100 * ms}, want: 50 * ms},
		{name: "the longest goes first", work: []time.Duration{40 * ms, 100 * ms}, want: 50 * ms},
		{name: "waiting for the fast slot can be better", work: []time.Duration{100 * ms, 100 * ms}, want: 100 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, y.Ideal(test.work), qt.Equals, test.want)
		})
	}
	start := time.Unix(1000, 0)
	arrivals := []yardstick.Arrival{
		{At: start, Work: []time.Duration{100 * ms, 100 * ms}},
		{At: start.Add(10 * ms), Work: []time.Duration{100 * ms}},
	}
	// The first job takes the fast slot twice; the second one the slow slot, from 10 to 110 ms.
	qt.Assert(t, y.Clairvoyant(arrivals), qt.DeepEquals, []time.Duration{100 * ms, 100 * ms})
}
