package replay_test

import (
	"testing"
	"time"

	"github.com/pollenfront/pollenfront/replay"
)

// TestSlowStops guards against a run that is taken for ended while its server still stops it, or
// ends it after its lease has expired, on a clock that may be slow. Both take up to 50 ms.
func TestSlowStops(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *replay.Fleet)
	}{
		{name: "runs hang and are stopped", fault: func(f *replay.Fleet) { f.HangServer(300*time.Millisecond, 0, faultAt) }},
		{name: "agents are killed", fault: func(f *replay.Fleet) {
			for agent := range 3 {
				f.KillAgent(faultAt, agent, 300*time.Millisecond)
			}
		}},
		{name: "an entry is killed", fault: func(f *replay.Fleet) { f.KillEntry(faultAt, 0, 100*time.Millisecond) }},
		{name: "an entry is cut off", fault: func(f *replay.Fleet) {
			for agent := range 3 {
				f.Partition(faultAt, 0, agent, 700*time.Millisecond)
			}
		}},
		{name: "callers leave", fault: func(f *replay.Fleet) { f.BreakCallers(faultAt, 0, 0) }},
		{name: "stops get lost", fault: func(f *replay.Fleet) {
			f.BreakCallers(faultAt, 0, 0)
			for agent := range 3 {
				f.LoseStops(faultAt-100*time.Millisecond, agent, 8*time.Second)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			checkOneRun(t, replay.Settings{Agents: 3, Entries: 2, ServerClockRates: []float64{1, 0.98}, SlowStops: true}, test.fault)
		})
	}
}
