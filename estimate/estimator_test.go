package estimate_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/estimate"
)

func TestEstimatorLearnsServersAcrossKinds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	slowness := map[string]float64{"fast": 0.5, "middle": 1, "slow": 3}
	work := map[string]time.Duration{"lookup": 80 * time.Millisecond, "pairing": 500 * time.Millisecond}
	e := estimate.NewEstimator()
	for range 400 {
		for server, s := range slowness {
			for kind, w := range work {
				noise := math.Exp(0.3 * random.NormFloat64())
				e.Observe(server, kind, time.Duration(float64(w)*s*noise))
			}
		}
	}
	for server, s := range slowness {
		for kind, w := range work {
			ratio := float64(e.Expected(server, kind, 0)) / (float64(w) * s)
			qt.Check(t, ratio > 0.75 && ratio < 1.33, qt.IsTrue, qt.Commentf("%s on %s: ratio %.2f", kind, server, ratio))
		}
	}
}

func TestEstimatorUsesDeclaredTimeOnlyAtFirst(t *testing.T) {
	e := estimate.NewEstimator()
	qt.Assert(t, e.Expected("a", "lookup", time.Second), qt.Equals, time.Second)
	e.Observe("a", "lookup", 100*time.Millisecond)
	qt.Assert(t, e.Expected("a", "lookup", time.Second) < 200*time.Millisecond, qt.IsTrue)
}
