package replay_test

import (
	"cmp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/replay"
)

// maxCrashes is the number of servers that one task may crash. If it is not certain that
// the task was running, since its agent was killed or the server did not answer, the number
// is maxUncertainCrashes.
const (
	maxCrashes          = 2
	maxUncertainCrashes = 3
)

// deadly returns a kind of which the first task of each job crashes every server that
// starts it.
func deadly(crashesAfter, timeLimit time.Duration) replay.Kind {
	kind := replay.Mix[0]
	kind.CrashesAfter, kind.Name, kind.Rate, kind.TimeLimit, kind.Value = crashesAfter, "deadly", 1, timeLimit, 0
	return kind
}

// insisting returns a kind whose callers submit a job again and again.
func insisting(kind replay.Kind) replay.Kind {
	kind.Patience = 20 * time.Second
	return kind
}

// TestTaskCrashesServerAfterServer guards against a task that crashes every server that
// starts it and is started again and again: by its entry, by others to which its caller
// submits it again, and by entries and agents that were restarted meanwhile.
func TestTaskCrashesServerAfterServer(t *testing.T) {
	tests := []struct {
		name     string
		settings replay.Settings
		kind     replay.Kind
		faults   func(f *replay.Fleet)
		limit    int
	}{
		{name: "patient callers", settings: replay.Settings{Agents: 11, Entries: 3}, kind: deadly(12*time.Millisecond, 20*time.Second)},
		{name: "crash at the end of the run", settings: replay.Settings{Agents: 11, Entries: 3}, kind: deadly(time.Second, 20*time.Second)},
		{name: "crash before the start is answered", settings: replay.Settings{Agents: 11, Entries: 3}, kind: deadly(time.Microsecond, 20*time.Second), limit: maxUncertainCrashes},
		{name: "callers that submit again", settings: replay.Settings{Agents: 11, Entries: 3}, kind: insisting(deadly(12*time.Millisecond, 600*time.Millisecond))},
		{
			name: "entries are killed", settings: replay.Settings{Agents: 11, Entries: 3}, kind: deadly(12*time.Millisecond, 20*time.Second),
			faults: func(f *replay.Fleet) {
				for i := range 30 {
					f.KillEntry(2*time.Second+time.Duration(i)*700*time.Millisecond, i%3, 300*time.Millisecond)
				}
			},
		},
		{
			name: "agents are killed", settings: replay.Settings{Agents: 11, Entries: 3}, kind: deadly(12*time.Millisecond, 20*time.Second),
			faults: func(f *replay.Fleet) {
				for i := range 40 {
					f.KillAgent(2*time.Second+time.Duration(i)*500*time.Millisecond, i%11, 300*time.Millisecond)
				}
			},
			limit: maxUncertainCrashes,
		},
		{
			name: "entries that know only a part of the agents", settings: replay.Settings{Agents: 96, Entries: 22, Zones: 4}, kind: deadly(12*time.Millisecond, 20*time.Second),
			faults: func(f *replay.Fleet) {
				for i := range 60 {
					f.KillEntry(2*time.Second+time.Duration(i)*300*time.Millisecond, i%22, 300*time.Millisecond)
				}
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			test.settings.Seed = 1
			f := replay.NewFleet(test.settings)
			f.Load(replay.Mix, time.Second, 20*time.Second, 0.3)
			f.Load([]replay.Kind{test.kind}, 2*time.Second, 8*time.Second, 1)
			if test.faults != nil {
				test.faults(f)
			}
			result := f.Run(28 * time.Second)
			t.Logf("%d crashes, at most %d under one task, %d starts", result.Crashes, result.MaxCrashes, result.Starts)
			c.Check(result.Crashes > 0, qt.IsTrue)
			c.Check(result.MaxCrashes <= cmp.Or(test.limit, maxCrashes), qt.IsTrue)
			c.Check(result.Violations, qt.HasLen, 0)
		})
	}
}
