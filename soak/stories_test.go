package main

import (
	"context"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/soak/internal/callers"
	"github.com/pollenfront/pollenfront/soak/internal/fleet"
	"github.com/pollenfront/pollenfront/standin/backendserver"
	"github.com/pollenfront/pollenfront/standin/caller"
)

// Sizes of the fleet whose logs tell the stories.
const (
	storyAgents = 3
	storyOctet  = 90
	storyTime   = 4 * time.Second // That the caller of a story waits.
	fullCPU     = 60000           // Thousandths of a core: a task that leaves no room on a server.
	smallCPU    = 6000
)

// buildPrograms builds the programs and returns their folder.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for _, program := range []string{"agent", "entry", "pollenctl"} {
		build := exec.Command("go", "build", "-o", dir+"/", "../"+program) //nolint:gosec // A program of this repository.
		out, err := build.CombinedOutput()
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	}
	return dir
}

// job returns a job of a path and size.
func job(path string, tasks, cpu int, work time.Duration) caller.Job {
	return caller.Job{CPU: cpu, Host: callers.Host, Limit: time.Now().Add(storyTime), Path: path, Tasks: tasks, Work: work}
}

// TestStories checks that pollenctl explains three kinds of failed request from
// what the built programs have logged.
func TestStories(t *testing.T) {
	tests := []struct {
		name    string
		id      string
		fail    func(t *testing.T, f *fleet.Fleet, submit func(caller.Job) caller.Outcome) caller.Outcome
		outcome caller.Outcome
		tells   []string // Patterns that the story must hold, in this order.
	}{
		{
			name: "refused under load", id: "00000000000000a1", outcome: caller.Refused,
			fail: func(_ *testing.T, _ *fleet.Fleet, submit func(caller.Job) caller.Outcome) caller.Outcome {
				go submit(job("/trade/00000000000000a0", storyAgents, fullCPU, 2*time.Second))
				time.Sleep(500 * time.Millisecond)
				return submit(job("/lookup/00000000000000a1", 2, smallCPU, 60*time.Millisecond))
			},
			tells: []string{`entry-0 answered refused`, `overloaded`, `\d of 3 servers usable, -?\d+ thousandths of a core free on them`},
		},
		{
			name: "broken off by a fault", id: "00000000000000b1", outcome: caller.Unknown,
			fail: func(_ *testing.T, f *fleet.Fleet, submit func(caller.Job) caller.Outcome) caller.Outcome {
				time.AfterFunc(500*time.Millisecond, func() { f.Entries[0].Signal(syscall.SIGKILL) })
				return submit(job("/trade/00000000000000b1", 1, smallCPU, 3*time.Second))
			},
			tells: []string{
				`the logs do not tell how the request ended`, `agent-\d +run ended +ending=stopped`, `reason=its entry`,
				`missing: no answer is logged: look for the end of the entry's process`,
			},
		},
		{
			name: "late because of slow servers", id: "00000000000000c1", outcome: caller.Completed,
			fail: func(_ *testing.T, f *fleet.Fleet, submit func(caller.Job) caller.Outcome) caller.Outcome {
				for _, s := range f.Servers {
					s.SetFault(backendserver.Fault{Slow: 4})
					defer s.SetFault(backendserver.Fault{})
				}
				return submit(job("/check/00000000000000c1", 1, smallCPU, 200*time.Millisecond))
			},
			tells: []string{`entry-0 answered completed after`, `job answered`, `due=0\.3\d+ expected=0\.\d+ last-run=0\.\d+ last-sent=0\S* last-server=agent-\d`},
		},
	}
	bin, dir := buildPrograms(t), t.TempDir()
	f, err := fleet.Start(fleet.Options{Agents: storyAgents, Bin: bin, Dir: dir, Entries: 1, Octet: storyOctet})
	qt.Assert(t, err, qt.IsNil)
	defer f.Stop()
	time.Sleep(settleTime)
	c := caller.New()
	submit := func(j caller.Job) caller.Outcome {
		ctx, cancel := context.WithDeadline(context.Background(), j.Limit)
		defer cancel()
		return c.Submit(ctx, f.CallerAddresses[0], j)
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(test.fail(t, f, submit), qt.Equals, test.outcome)
			time.Sleep(settleTime) // For the logs to be written, and the fleet to recover.
			logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
			c.Assert(err, qt.IsNil)
			explain := exec.Command(filepath.Join(bin, "pollenctl"), append([]string{"explain", test.id}, logs...)...) //nolint:gosec // As above.
			out, err := explain.CombinedOutput()
			c.Assert(err, qt.IsNil)
			c.Logf("%s", out)
			rest := string(out)
			for _, pattern := range test.tells {
				at := regexp.MustCompile(pattern).FindStringIndex(rest)
				c.Assert(at, qt.IsNotNil, qt.Commentf("no %q in the rest of:\n%s", pattern, out))
				rest = rest[at[1]:]
			}
		})
	}
}
