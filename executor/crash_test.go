package executor_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
)

// errRefused is the error of a request to a server whose process has ended.
var errRefused = fmt.Errorf("dial: %w", pollenfront.ErrUnreachable)

// crashedTasks returns the indexes of the tasks that were on the server in the crashes
// of effects, by their age in milliseconds.
func crashedTasks(effects executor.Effects) map[int]int64 {
	tasks := make(map[int]int64)
	for _, crash := range effects.Crashes {
		for _, r := range crash.Runs {
			tasks[r.Run.Index] = r.Age.Milliseconds()
		}
	}
	return tasks
}

// TestCrashNamesRuns checks that a crash of the server is reported once, with the runs
// that were on it, whether a refused connection or the next incarnation reveals it.
func TestCrashNamesRuns(t *testing.T) {
	tests := []struct {
		name   string
		detect func(x *executor.Executor) executor.Effects
	}{
		{name: "connection refused", detect: func(x *executor.Executor) executor.Effects {
			x.HandleRenewalError(at(40), at(40), fmt.Errorf("EOF"))
			return x.HandleRenewalError(at(90), at(90), errRefused)
		}},
		{name: "next incarnation announces itself", detect: func(x *executor.Executor) executor.Effects {
			x.HandleRenewalError(at(40), at(40), fmt.Errorf("EOF"))
			effects, _ := x.HandleAnnouncement(at(90), pollenfront.Announcement{Clock: time.Second, Incarnation: 2, SeqNum: 1})
			return effects
		}},
		{name: "next incarnation answers", detect: func(x *executor.Executor) executor.Effects {
			x.HandleRenewalError(at(40), at(40), fmt.Errorf("EOF"))
			return x.HandleRenewal(at(90), at(80), &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 2})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := newExecutor()
			x.HandleCommands(at(0), testEntry, startCommands(at(0), 0))
			x.HandleStartResponse(at(1), pollenfront.StartRequest{Run: runID(0)}, 0, nil)
			x.HandleCommands(at(30), testEntry, startCommands(at(30), 1, 2))
			c.Assert(crashedTasks(test.detect(x)), qt.DeepEquals, map[int]int64{0: 40, 1: 10}, qt.Commentf("task 2 is queued"))
			effects := x.HandleRenewalError(at(95), at(95), errRefused)
			c.Assert(crashedTasks(effects), qt.HasLen, 0, qt.Commentf("the runs were on one incarnation only"))
		})
	}
}
