package jobs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestLateRunsLogged guards against runs that were taken for over too early without a trace in the
// log: completed runs of jobs that are not sampled are in no other line.
func TestLateRunsLogged(t *testing.T) {
	run := pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Index: 2, Job: "0a"}}
	tests := []struct {
		name, message string
		end           tasklink.RunEnd
		want          map[string]any
	}{
		{
			name: "ended", message: "run that was taken for over has ended", end: tasklink.RunEnd{Ending: pollenfront.EndingDone, Run: run, Seconds: 1.5},
			want: map[string]any{
				"agent": "agent-1", "ending": "done", "evidence": "", "evidence-age": time.Duration(0), "request": "0a", "run": int64(1), "seconds": 1.5, "task": int64(2),
			},
		},
		{
			name: "goes on", message: "run that was taken for over goes on", end: tasklink.RunEnd{Run: run},
			want: map[string]any{"agent": "agent-1", "request": "0a", "run": int64(1), "task": int64(2)},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			j, logs, _ := newLoggedJobs()
			j.logLateRuns([]scheduler.LateRun{{Agent: "agent-1", End: test.end}})
			lines := logs.FilterMessage(test.message).All()
			c.Assert(lines, qt.HasLen, 1)
			c.Assert(lines[0].ContextMap(), qt.DeepEquals, test.want)
		})
	}
}
