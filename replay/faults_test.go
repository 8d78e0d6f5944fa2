package replay_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/pollenfront/pollenfront/replay"
)

// defaultSeed is the seed of rapid unless the flag -rapid.seed sets another one. A fixed
// seed gives CI the same outcome on every run.
const defaultSeed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set(defaultSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// drawMilliseconds draws a duration of whole milliseconds.
func drawMilliseconds(t *rapid.T, shortest, longest int, label string) time.Duration {
	return time.Duration(rapid.IntRange(shortest, longest).Draw(t, label)) * time.Millisecond
}

// drawFault draws a fault and schedules it in a fleet.
func drawFault(t *rapid.T, f *replay.Fleet, s replay.Settings) {
	at := drawMilliseconds(t, 500, 6000, "at")
	duration := drawMilliseconds(t, 50, 4000, "duration")
	entry := rapid.IntRange(0, s.Entries-1).Draw(t, "entry")
	agent := rapid.IntRange(0, s.Agents-1).Draw(t, "agent")
	switch rapid.SampledFrom([]string{
		"crash-server", "crash-server-process", "partition", "partition-all", "delay-requests", "fail-server", "hang-server",
		"kill-agent", "kill-entry", "lose-answers", "replace-server", "reset-link", "shrink-server", "slow-server", "suspend-agent", "suspend-entry",
	}).Draw(t, "fault") {
	case "crash-server":
		f.CrashServer(at, agent, duration)
	case "crash-server-process":
		f.CrashServerProcess(at, agent, duration)
	case "partition":
		f.Partition(at, entry, agent, duration)
	case "partition-all":
		for a := range s.Agents {
			f.Partition(at, entry, a, duration)
		}
	case "delay-requests":
		f.DelayRequests(at, rapid.SampledFrom([]float64{0.3, 0.5}).Draw(t, "share"), duration)
	case "fail-server":
		f.FailServer(at, agent, duration)
	case "hang-server":
		f.HangServer(at, agent, duration)
	case "kill-agent":
		f.KillAgent(at, agent, duration)
	case "kill-entry":
		f.KillEntry(at, entry, duration)
	case "lose-answers":
		f.LoseAnswers(at, rapid.SampledFrom([]float64{0.2, 0.8}).Draw(t, "share"), duration)
	case "replace-server":
		f.ReplaceServer(at, agent, duration)
	case "reset-link":
		f.ResetLink(at, entry, agent)
	case "shrink-server":
		f.ShrinkServer(at, agent, rapid.SampledFrom([]float64{0.05, 0.55}).Draw(t, "factor"), duration)
	case "slow-server":
		f.SlowServer(at, agent, 6, duration)
	case "suspend-agent":
		f.SuspendAgent(at, agent, duration)
	case "suspend-entry":
		f.SuspendEntry(at, entry, duration)
	}
}

// TestFaults checks under random and overlapping faults that no task runs twice at the
// same time, that one which crashes servers is not started again and again, that no task of a refused job has started, and that no task of a completed
// job is still running.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := replay.Settings{
			Agents:              rapid.IntRange(1, 6).Draw(t, "agents"),
			Entries:             rapid.SampledFrom([]int{1, 2, 3, 9}).Draw(t, "entries"),
			DelayedRequestShare: rapid.SampledFrom([]float64{0, 0, 0.05, 0.5}).Draw(t, "delayed-request-share"),
			RecordHistory:       true,
			Seed:                rapid.Uint64().Draw(t, "seed"),
			RunTimeFactors:      []float64{0.55, 1.2, 1.2},
		}
		f := replay.NewFleet(s)
		f.Load(replay.Mix, 300*time.Millisecond, 8*time.Second, rapid.SampledFrom([]float64{0.1, 0.3, 0.6}).Draw(t, "load"))
		if crashesAfter := rapid.SampledFrom([]int{0, 1, 12, 300}).Draw(t, "crashes-after"); crashesAfter > 0 {
			f.Load([]replay.Kind{insisting(deadly(time.Duration(crashesAfter)*time.Millisecond, 3*time.Second))}, time.Second, 4*time.Second, 0.7)
		}
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			drawFault(t, f, s)
		}
		result := f.Run(14 * time.Second)
		if len(result.Violations) > 0 {
			t.Fatalf("violations: %v", result.Violations)
		}
		if checked := checkHistory(result.History); checked != porcupine.Ok {
			t.Fatalf("the history is not one of jobModel: %v", checked)
		}
	})
}
