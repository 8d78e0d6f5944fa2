package scheduler_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
)

// TestReducedServer checks that an entry counts on what a server provides and not on what
// it announces: it then refuses a job that would start too late.
func TestReducedServer(t *testing.T) {
	tests := []struct {
		effectiveCPU int
		refused      bool
	}{
		{effectiveCPU: 0, refused: false}, // It is not stated, so the announced capacity counts.
		{effectiveCPU: 64000, refused: false},
		{effectiveCPU: 12000, refused: true},
	}
	for _, test := range tests {
		c := qt.New(t)
		s := newScheduler(0)
		full := update(0)
		full.Report.EffectiveCapacity.CPU, full.Report.Waits = test.effectiveCPU, []int{1000, 1000, 1000}
		s.HandleUpdate(at(0), "agent-1", full)
		s.Submit(at(0), submission("0a", 3))
		results := s.Submit(at(0), submission("0b", 3)).Results
		c.Assert(len(results) == 1 && results[0].Verdict == pollenfront.VerdictRefused, qt.Equals, test.refused, qt.Commentf("%d", test.effectiveCPU))
	}
}

// TestTooLargeForReducedServer guards against refusing a job as too large because the only
// server provides less than it announces for a while.
func TestTooLargeForReducedServer(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(0)
	reduced := update(2)
	reduced.Report.EffectiveCapacity.CPU, reduced.Report.Waits = 2000, []int{50, 50, 50}
	s.HandleUpdate(at(0), "agent-1", reduced)
	job := submission("0a", 1)
	job.Need.CPU = 30000
	c.Assert(s.Submit(at(0), job).Results, qt.HasLen, 0)
	c.Assert(startedTasks(s.HandleUpdate(at(1), "agent-1", update(64))), qt.Equals, 1)
}
