package jobs

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/tasklink"
)

// awaitCrashes waits until an entry knows of some crashes.
func awaitCrashes(j *Jobs, count int) {
	for {
		j.mu.Lock()
		known := j.scheduler.Dump(bootclock.Now()).Crashes
		j.mu.Unlock()
		if known == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestJobPanicsEntryAfterEntry guards against a job whose submission makes one entry after
// the other panic, since its caller submits it again. Each entry reports it to the agents
// before it ends, and the next ones learn of that from them.
func TestJobPanicsEntryAfterEntry(t *testing.T) {
	const panics = 3
	c := qt.New(t)
	sub := newSubmission(false)
	var crashes []pollenfront.Crash
	for incarnation := range panics {
		j, a := newLinkedJobs(t, nil)
		j.mu.Lock()
		j.self.Incarnation = uint64(incarnation) //nolint:gosec // Not negative.
		j.handling = &sub
		j.mu.OnPanic()
		j.mu.Unlock()
		var commands tasklink.Commands
		for len(commands.Crashes) == 0 {
			c.Assert(a.Receive(&commands), qt.IsNil)
		}
		crashes = append(crashes, commands.Crashes...)
	}
	j, a := newLinkedJobs(t, nil)
	c.Assert(a.Send(&tasklink.Update{Clock: 2, Crashes: crashes}), qt.IsNil)
	awaitCrashes(j, panics)
	result := j.Submit(context.Background(), sub)
	c.Assert(result.Verdict, qt.Equals, pollenfront.VerdictRefused)
	c.Assert(result.Reason, qt.Equals, pollenfront.ReasonServersCrashed)
}
