package scheduler

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
)

// TestRouteOutOfRange guards against times of a job that overflow, so that a route whose target
// is far too long serves nothing.
func TestRouteOutOfRange(t *testing.T) {
	for _, route := range []pollenfront.Route{
		{LatencyTarget: math.MaxInt64, Stretch: 1.6}, {LatencyTarget: 60 * time.Millisecond, Stretch: 1e308}, {LatencyTarget: math.MaxInt64, Stretch: math.MaxFloat64},
	} {
		c := qt.New(t)
		j := newJob(time.Hour, pollenfront.Submission{Route: route, TaskCount: 1, TimeLimit: time.Second}, 100*time.Millisecond)
		c.Assert(j.due > time.Hour && j.latestStart > time.Hour && j.expiry >= j.due, qt.IsTrue, qt.Commentf("%+v", j))
	}
	j := newJob(time.Hour, pollenfront.Submission{Route: pollenfront.Route{LatencyTarget: math.MinInt64, Stretch: -1e308}, TaskCount: 1, TimeLimit: time.Second}, 100*time.Millisecond)
	qt.Assert(t, j.due < time.Hour && j.expiry < time.Hour, qt.IsTrue, qt.Commentf("%+v", j))
}
