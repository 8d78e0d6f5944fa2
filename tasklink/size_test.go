package tasklink_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/tasklink"
)

// TestInterferenceSize guards against summaries of interference that are larger than the
// design note states: the largest message has 48 pairs of 30 routes.
func TestInterferenceSize(t *testing.T) {
	size := func(update *tasklink.Update) int {
		data, err := update.MarshalMsg(nil)
		qt.Assert(t, err, qt.IsNil)
		return len(data)
	}
	message := &tasklink.Interference{}
	for i := range 30 {
		message.Routes = append(message.Routes, fmt.Sprintf("route-%04d", i))
	}
	for i := range 48 {
		message.Pairs = append(message.Pairs, tasklink.InterferencePair{Effect: 0.1, Neighbor: i % 30, Route: i * 7 % 30, Weight: 10})
	}
	off := size(&tasklink.Update{})
	summary := size(&tasklink.Update{Interference: message}) - off
	counts := size(&tasklink.Update{RouteCounts: []tasklink.RouteCount{{Count: 3, Route: "route-0001"}, {Count: 8, Route: "route-0002"}, {Count: 2, Route: "route-0003"}}}) - off
	t.Logf("summary %d bytes, counts of three routes %d bytes", summary, counts)
	qt.Check(t, summary < 1024, qt.IsTrue)
	qt.Check(t, counts < 64, qt.IsTrue)
}
