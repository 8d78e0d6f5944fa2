package replay_test

import (
	"testing"
	"time"

	"github.com/pollenfront/pollenfront/replay"
)

// TestResetLinksBesideResubmissions guards against tasks that run twice since an agent that links
// again lists the end of a run beside the run with the same number of a later submission.
func TestResetLinksBesideResubmissions(t *testing.T) {
	for seed := range uint64(20) {
		s := replay.Settings{Agents: 6, Entries: 1, Seed: seed}
		f := replay.NewFleet(s)
		f.Load(replay.Mix, 300*time.Millisecond, 8*time.Second, 1.3)
		for ms := 500; ms < 8000; ms += 400 {
			f.BreakCallers(time.Duration(ms)*time.Millisecond, 0, 0)
		}
		for ms := 1000; ms < 9000; ms += 250 {
			for a := range s.Agents {
				f.ResetLink(time.Duration(ms+17*a)*time.Millisecond, 0, a)
			}
		}
		if result := f.Run(12 * time.Second); len(result.Violations) > 0 {
			t.Errorf("seed %d: %d violations: %v", seed, len(result.Violations), result.Violations[0])
		}
	}
}
