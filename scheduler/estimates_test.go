package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestExpect checks that the expected run times are nearer to the real ones
// than the callers' estimates are, and near them where a route is mixed.
func TestExpect(t *testing.T) {
	tests := []struct {
		name   string
		spread float64 // Of real run times, as the deviation of their logarithm.
		gain   float64 // Greatest error as a share of the estimates' error.
	}{
		{name: "a route of similar jobs", spread: 0.35, gain: 0.8},
		{name: "a route of very different jobs", spread: 1.2, gain: 1.02},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			e := make(estimateCorrector)
			var estimateError, expectedError float64
			for range 2000 {
				actual := -1.6 + random.NormFloat64()*test.spread
				estimate := actual + random.NormFloat64()*0.4
				expected := e.correct("route", time.Duration(math.Exp(estimate)*float64(time.Second)))
				estimateError += (estimate - actual) * (estimate - actual)
				expectedError += math.Pow(math.Log(expected.Seconds())-actual, 2)
			}
			qt.Assert(t, math.Sqrt(expectedError/estimateError) < test.gain, qt.IsTrue)
		})
	}
}
