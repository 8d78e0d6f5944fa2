package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCorrect checks that corrected estimates are closer to the actual run times than
// the callers' estimates if the jobs of a route are similar, and not much further
// away if they are very different.
func TestCorrect(t *testing.T) {
	tests := []struct {
		name string
		// deviation is the standard deviation of the logarithms of actual run times.
		deviation float64
		// maxErrorRatio is the highest root mean square error of the corrected
		// estimates, divided by that of the callers' estimates.
		maxErrorRatio float64
	}{
		{name: "a route of similar jobs", deviation: 0.35, maxErrorRatio: 0.8},
		{name: "a route of very different jobs", deviation: 1.2, maxErrorRatio: 1.02},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			corrector := make(estimateCorrector)
			var estimateError, correctedError float64
			for range 2000 {
				actual := -1.6 + random.NormFloat64()*test.deviation
				estimate := actual + random.NormFloat64()*0.4
				corrected := corrector.correct("route", time.Duration(math.Exp(estimate)*float64(time.Second)))
				estimateError += (estimate - actual) * (estimate - actual)
				correctedError += math.Pow(math.Log(corrected.Seconds())-actual, 2)
			}
			qt.Assert(t, math.Sqrt(correctedError/estimateError) < test.maxErrorRatio, qt.IsTrue)
		})
	}
}

// TestAbsurdEstimate checks that a single absurd estimate changes those of later jobs of its
// route only a little: they are still corrected towards the mean of the route.
func TestAbsurdEstimate(t *testing.T) {
	for _, absurd := range []time.Duration{math.MinInt64, 0, time.Nanosecond, 300 * time.Hour, math.MaxInt64} {
		corrector := make(estimateCorrector)
		for range 100 {
			corrector.correct("route", 100*time.Millisecond)
		}
		corrector.correct("route", absurd)
		corrected := corrector.correct("route", 200*time.Millisecond)
		qt.Check(t, corrected > 90*time.Millisecond && corrected < 110*time.Millisecond, qt.IsTrue, qt.Commentf("%v: %v", absurd, corrected))
	}
}
