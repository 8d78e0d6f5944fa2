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

// Parameters of the fleet whose logs are explained, and of its jobs.
const (
	agentCount = 3

	// callerTimeout is how long a caller waits for the answer to a job.
	callerTimeout = 4 * time.Second

	// largeCPU and smallCPU are needs of a task, in thousandths of a core. A server
	// that runs a task of largeCPU has no capacity for one of smallCPU.
	largeCPU = 60000
	smallCPU = 6000
)

// buildPrograms builds the programs that the test needs into a temporary folder,
// and returns the folder.
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

// newJob returns a job whose caller waits for callerTimeout from now.
func newJob(path string, tasks, cpu int, work time.Duration) caller.Job {
	return caller.Job{CPU: cpu, Deadline: time.Now().Add(callerTimeout), Host: callers.Host, Path: path, Tasks: tasks, Work: work}
}

// TestExplain checks that pollenctl explain states the cause of a refused, an
// unanswered and a late request, and of a second run, from the logs of the built programs.
func TestExplain(t *testing.T) {
	tests := []struct {
		name string
		id   string

		// run sets up the fault or load of the case, and submits its job.
		run     func(t *testing.T, f *fleet.Fleet, submit func(caller.Job) caller.Outcome) caller.Outcome
		outcome caller.Outcome

		// want are patterns that the output matches in this order.
		want []string
	}{
		{
			name: "refused under load", id: "00000000000000a1", outcome: caller.Refused,
			run: func(_ *testing.T, _ *fleet.Fleet, submit func(caller.Job) caller.Outcome) caller.Outcome {
				go submit(newJob("/trade/00000000000000a0", agentCount, largeCPU, 2*time.Second))
				time.Sleep(500 * time.Millisecond)
				return submit(newJob("/lookup/00000000000000a1", 2, smallCPU, 60*time.Millisecond))
			},
			want: []string{`entry-0 answered refused`, `overloaded`, `\d of 3 servers usable, -?\d+ thousandths of a core free on them`},
		},
		{
			name: "ended by a crash of the entry", id: "00000000000000b1", outcome: caller.Unknown,
			run: func(_ *testing.T, f *fleet.Fleet, submit func(caller.Job) caller.Outcome) caller.Outcome {
				time.AfterFunc(500*time.Millisecond, func() { f.Entries[0].Signal(syscall.SIGKILL) })
				return submit(newJob("/trade/00000000000000b1", 1, smallCPU, 3*time.Second))
			},
			want: []string{
				`the logs do not tell how the request ended`, `agent-\d +run ended +ending=stopped`, `reason=its entry`,
				`missing: no answer is logged: look for the end of the entry's process`,
			},
		},
		{
			name: "late because of slow servers", id: "00000000000000c1", outcome: caller.Completed,
			run: func(_ *testing.T, f *fleet.Fleet, submit func(caller.Job) caller.Outcome) caller.Outcome {
				for _, s := range f.Servers {
					s.SetFault(backendserver.Fault{Slow: 4})
					defer s.SetFault(backendserver.Fault{})
				}
				return submit(newJob("/check/00000000000000c1", 1, smallCPU, 200*time.Millisecond))
			},
			want: []string{`entry-0 answered completed after`, `job answered`, `due=0\.3\d+ expected=0\.\d+ last-run=0\.\d+ last-sent=0\S* last-server=agent-\d`},
		},
		{
			name: "sent again after its agent was killed", id: "00000000000000d1", outcome: caller.Completed,
			run: func(_ *testing.T, f *fleet.Fleet, submit func(caller.Job) caller.Outcome) caller.Outcome {
				time.AfterFunc(400*time.Millisecond, func() { f.Agents[0].Signal(syscall.SIGKILL) })
				return submit(newJob("/trade/00000000000000d1", agentCount, largeCPU, 800*time.Millisecond))
			},
			want: []string{
				`task \d: run 1 on agent-0, sent \S+ by entry-0, .*taken for over by agent-(restarted|silent), \d\.\d+ s old, at entry-0`,
				`task \d: run 2 on agent-\d, sent \S+ by entry-0, token \d+, lease until \S+`, `task started again`,
			},
		},
	}
	bin, dir := buildPrograms(t), t.TempDir()
	f, err := fleet.Start(fleet.Options{Agents: agentCount, Bin: bin, Dir: dir, Entries: 1})
	qt.Assert(t, err, qt.IsNil)
	defer f.Stop()
	time.Sleep(settleTime)
	c := caller.New()
	submit := func(j caller.Job) caller.Outcome {
		ctx, cancel := context.WithDeadline(context.Background(), j.Deadline)
		defer cancel()
		return c.Submit(ctx, f.CallerAddresses[0], j)
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(test.run(t, f, submit), qt.Equals, test.outcome)
			time.Sleep(settleTime) // Wait for the processes to write their logs and for the fleet to recover.
			logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
			c.Assert(err, qt.IsNil)
			explain := exec.Command(filepath.Join(bin, "pollenctl"), append([]string{"explain", test.id}, logs...)...) //nolint:gosec // A program of this repository.
			out, err := explain.CombinedOutput()
			c.Assert(err, qt.IsNil)
			c.Logf("%s", out)
			remaining := string(out)
			for _, pattern := range test.want {
				at := regexp.MustCompile(pattern).FindStringIndex(remaining)
				c.Assert(at, qt.IsNotNil, qt.Commentf("no %q in the rest of:\n%s", pattern, out))
				remaining = remaining[at[1]:]
			}
		})
	}
}
