package replay_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pollenfront/pollenfront/replay"
)

// clockSteps are by how much the time of day of a machine is ahead when an agent starts there.
var clockSteps = []time.Duration{2 * time.Second, 6 * time.Second, 10 * time.Minute}

// checkLateStartsAfterRestart makes an agent start while its clock is ahead, and sets the clock
// right. Some starts of its server then get no answer. The server loses power, and so does
// whatever lose takes down. The starts are carried out when the next incarnation of the agent has been in touch
// with the next one of the server for seconds, while the tasks run elsewhere.
func checkLateStartsAfterRestart(t *testing.T, step time.Duration, lose func(f *replay.Fleet, at, down time.Duration)) {
	t.Helper()
	const crash, down, late = 4300 * time.Millisecond, 400 * time.Millisecond, 2300 * time.Millisecond
	kind := longKind
	kind.TimeLimit = 8 * time.Second
	for seed := uint64(1); seed <= oneRunSeedCount; seed++ {
		f := replay.NewFleet(replay.Settings{Agents: 3, Entries: 3, Seed: seed})
		f.StepAgentTimeOfDay(3100*time.Millisecond, 0, step)
		f.KillAgent(3200*time.Millisecond, 0, 50*time.Millisecond)
		f.StepAgentTimeOfDay(3400*time.Millisecond, 0, -step)
		f.Load([]replay.Kind{kind}, 3600*time.Millisecond, 4200*time.Millisecond, 1)
		for at := 3600 * time.Millisecond; at < crash; at += 100 * time.Millisecond {
			f.HoldRequests(at, 0, replay.Starts, 30*time.Millisecond, crash+late)
		}
		f.CrashServer(crash, 0, down)
		f.KillAgent(crash, 0, down+50*time.Millisecond)
		lose(f, crash, down)
		if result := f.Run(16 * time.Second); len(result.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, result.Violations)
		}
	}
}

// TestLateStartsOfFormerAgent guards against two runs of a task, one of which the next incarnation of
// a server takes from a former incarnation of its agent: the present one has a lower fencing token,
// as the clock was ahead when the former one started (review case 11 has another cause for the
// same order).
func TestLateStartsOfFormerAgent(t *testing.T) {
	losses := []struct {
		name string
		lose func(f *replay.Fleet, at, down time.Duration)
	}{
		{name: "zone", lose: func(f *replay.Fleet, at, down time.Duration) { f.KillEntry(at, 0, down) }},
		{name: "zone, store down", lose: func(f *replay.Fleet, at, down time.Duration) {
			f.KillEntry(at, 0, down)
			f.StopStore(0, time.Minute)
		}},
		{name: "all processes", lose: func(f *replay.Fleet, at, down time.Duration) {
			for i := range 3 {
				f.KillEntry(at, i, down)
				f.KillAgent(at, i, down)
			}
		}},
	}
	for _, loss := range losses {
		for _, step := range clockSteps {
			t.Run(fmt.Sprintf("%s, %v ahead", loss.name, step), func(t *testing.T) { checkLateStartsAfterRestart(t, step, loss.lose) })
		}
	}
}

// TestLateStartsAfterAnyRestarts searches what TestLateStartsOfFormerAgent checks: agents are restarted
// several times while their clocks are set ahead and back, entries are lost and the store is down, but
// not all entries and the store at the same time.
func TestLateStartsAfterAnyRestarts(t *testing.T) {
	const entries = 3
	kind := longKind
	kind.TimeLimit = 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		f := replay.NewFleet(replay.Settings{Agents: 3, Entries: entries, Seed: rapid.Uint64().Draw(t, "seed")})
		now := 500 * time.Millisecond
		for range rapid.IntRange(1, 4).Draw(t, "restarts") {
			f.StepAgentTimeOfDay(now, 0, drawMilliseconds(t, -20_000, 20_000, "step"))
			f.KillAgent(now+time.Millisecond, 0, drawMilliseconds(t, 20, 400, "agent-down"))
			now += drawMilliseconds(t, 450, 2500, "up")
		}
		f.Load([]replay.Kind{kind}, now, now+600*time.Millisecond, 1)
		crash, down := now+700*time.Millisecond, drawMilliseconds(t, 50, 1200, "down")
		late := crash + max(2300*time.Millisecond, down+500*time.Millisecond)
		for at := now; at < crash; at += 100 * time.Millisecond {
			f.HoldRequests(at, 0, replay.Starts, 30*time.Millisecond, late)
		}
		f.CrashServer(crash, 0, down)
		f.StepAgentTimeOfDay(crash, 0, drawMilliseconds(t, -20_000, 20_000, "last-step"))
		f.KillAgent(crash, 0, down+drawMilliseconds(t, 1, 100, "after-server"))
		lost := rapid.IntRange(0, entries).Draw(t, "lost-entries")
		for e := range lost {
			f.KillEntry(crash, e, down)
		}
		if lost < entries && rapid.Bool().Draw(t, "store-down") {
			f.StopStore(drawMilliseconds(t, 0, 3000, "store-down-at"), time.Minute)
		}
		if result := f.Run(late + 10*time.Second); len(result.Violations) > 0 {
			t.Fatalf("violations: %v", result.Violations)
		}
	})
}
