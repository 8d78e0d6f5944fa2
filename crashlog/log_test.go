package crashlog_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/crashlog"
)

// task returns the ID of a task of one job.
func task(index int) pollenfront.TaskID {
	return pollenfront.TaskID{Index: index, Job: "0a"}
}

// crash returns the crash of a process with tasks.
func crash(kind pollenfront.ProcessKind, incarnation uint64, tasks ...int) pollenfront.Crash {
	c := pollenfront.Crash{Process: pollenfront.Process{Incarnation: incarnation, Kind: kind, Name: "agent-1"}}
	for _, index := range tasks {
		c.Tasks = append(c.Tasks, pollenfront.CrashedTask{Started: true, Task: task(index)})
	}
	return c
}

// uncertain returns the crash of a server that had not answered the starts of tasks.
func uncertain(incarnation uint64, tasks ...int) pollenfront.Crash {
	c := crash(pollenfront.ProcessServer, incarnation, tasks...)
	for i := range c.Tasks {
		c.Tasks[i].Started = false
	}
	return c
}

// TestExceeded checks after which crashes a task must not be started again, and that its
// job has only failed if two servers have certainly crashed under it.
func TestExceeded(t *testing.T) {
	server, agent := pollenfront.ProcessServer, pollenfront.ProcessAgent
	tests := []struct {
		name     string
		crashes  []pollenfront.Crash
		suspect  bool
		exceeded bool
		failed   bool
	}{
		{name: "no crash"},
		{name: "crash with another task", crashes: []pollenfront.Crash{crash(server, 1, 1)}},
		{name: "one server", crashes: []pollenfront.Crash{crash(server, 1, 0, 1)}, suspect: true},
		{name: "one server, learned twice", crashes: []pollenfront.Crash{crash(server, 1, 0), crash(server, 1, 0)}, suspect: true},
		{name: "two servers", crashes: []pollenfront.Crash{crash(server, 1, 0), crash(server, 2, 1, 0)}, suspect: true, exceeded: true, failed: true},
		{name: "two servers, one of which had not answered the start", crashes: []pollenfront.Crash{crash(server, 1, 0), uncertain(2, 0)}, suspect: true},
		{name: "three servers that had not answered", crashes: []pollenfront.Crash{uncertain(1, 0), uncertain(2, 0), uncertain(3, 0)}, suspect: true, exceeded: true},
		{name: "an agent and a server", crashes: []pollenfront.Crash{crash(agent, 1, 0), crash(server, 1, 0)}, suspect: true},
		{name: "two agents and a server", crashes: []pollenfront.Crash{crash(agent, 1, 0), crash(server, 1, 0), crash(agent, 2, 0)}, suspect: true, exceeded: true},
		{name: "three agents", crashes: []pollenfront.Crash{crash(agent, 1, 0), crash(agent, 2, 0), crash(agent, 3, 0)}, suspect: true, exceeded: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := crashlog.New()
			for _, crash := range test.crashes {
				l.Add(0, crash, "")
			}
			c.Assert(l.Suspect(task(0)), qt.Equals, test.suspect)
			c.Assert(l.Exceeded(task(0)), qt.Equals, test.exceeded)
			c.Assert(l.Failed(task(0)), qt.Equals, test.failed)
		})
	}
}

// TestExpire checks that a crash is forgotten at the same time by a peer that has learned
// of it late, so that peers don't keep telling each other of it.
func TestExpire(t *testing.T) {
	c := qt.New(t)
	first, second := crashlog.New(), crashlog.New()
	first.Add(0, crash(pollenfront.ProcessServer, 1, 0), "")
	crashes, _ := first.Since(time.Minute, 0, "second")
	c.Assert(crashes, qt.HasLen, 1)
	c.Assert(second.Add(time.Minute, crashes[0], "first"), qt.IsTrue)
	for _, l := range []*crashlog.Log{first, second} {
		l.Expire(2 * time.Minute)
		c.Assert(l.Suspect(task(0)), qt.IsTrue)
		l.Expire(2*time.Minute + time.Second)
		c.Assert(l.Suspect(task(0)), qt.IsFalse)
	}
	c.Assert(second.Add(3*time.Minute, pollenfront.Crash{Age: 3 * time.Minute, Process: crashes[0].Process, Tasks: crashes[0].Tasks}, "first"), qt.IsFalse)
}

// TestSince checks that peers which pass on what they learn, over links that are opened
// again at any time, all learn of every crash, and that none is sent back to its source.
func TestSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const peers = 4
		names := [peers]string{"a", "b", "c", "d"}
		var logs [peers]*crashlog.Log
		var cursors [peers][peers]uint64
		for i := range logs {
			logs[i] = crashlog.New()
		}
		send := func(from, to int) {
			crashes, next := logs[from].Since(0, cursors[from][to], names[to])
			cursors[from][to] = next
			for _, c := range crashes {
				if c.Process.Name == names[to] {
					t.Fatalf("%s was told of its own crash by the peer that learned it there", names[to])
				}
				logs[to].Add(0, c, names[from])
			}
		}
		total := rapid.IntRange(1, 200).Draw(t, "crashes")
		for i := range total {
			at := rapid.IntRange(0, peers-1).Draw(t, "at")
			c := crash(pollenfront.ProcessServer, uint64(i), i) //nolint:gosec // Not negative.
			c.Process.Name = names[at]
			logs[at].Add(0, c, "")
			// Peers are linked in a line.
			from := rapid.IntRange(0, peers-2).Draw(t, "from")
			if rapid.Bool().Draw(t, "relink") {
				cursors[from][from+1], cursors[from+1][from] = 0, 0
			}
			send(from, from+1)
			send(from+1, from)
		}
		for range peers * (total/64 + 1) {
			for i := range peers - 1 {
				send(i, i+1)
				send(i+1, i)
			}
		}
		for i, l := range logs {
			for n := range total {
				if !l.Suspect(task(n)) {
					t.Fatalf("%s has not learned of crash %d", names[i], n)
				}
			}
		}
	})
}

// crashWith returns the crash of a server with tasks of jobs that are named after their
// routes, by the ages of their runs in milliseconds.
func crashWith(incarnation uint64, ages map[string]int) pollenfront.Crash {
	c := crash(pollenfront.ProcessServer, incarnation)
	for job, age := range ages {
		route, _, _ := strings.Cut(job, "-")
		c.Tasks = append(c.Tasks, pollenfront.CrashedTask{Age: time.Duration(age) * time.Millisecond, Route: route, Started: true, Task: pollenfront.TaskID{Job: job}})
	}
	return c
}

// TestLikelyCulprit checks that a job is the more suspicious the shorter its tasks had run
// when their server crashed, and that crashes of agents don't count.
func TestLikelyCulprit(t *testing.T) {
	c := qt.New(t)
	l := crashlog.New()
	l.Add(time.Minute, crashWith(1, map[string]int{"young": 10, "middle": 100, "old": 1000}), "")
	ofAgent := crashWith(1, map[string]int{"other": 0})
	ofAgent.Process.Kind = pollenfront.ProcessAgent
	l.Add(time.Minute, ofAgent, "")
	for job, want := range map[string]bool{"young": true, "middle": true, "old": false, "other": false, "unknown": false} {
		c.Check(l.LikelyCulprit(job), qt.Equals, want, qt.Commentf(job))
		c.Check(l.MostLikelyCulprit(job), qt.Equals, job == "young", qt.Commentf(job))
	}
	for _, test := range []struct {
		since  time.Duration
		except string
		want   bool
	}{{since: 59 * time.Second, except: "young", want: false}, {since: 59 * time.Second, except: "other", want: true}, {since: 61 * time.Second, except: "other", want: false}} {
		c.Check(l.ServerCrashed(test.since, test.except), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

// anyServer holds for all servers.
func anyServer(pollenfront.Process) bool { return true }

// TestRouteCrashes checks that a route has a culprit only once one of its jobs has most
// likely caused two crashes.
func TestRouteCrashes(t *testing.T) {
	tests := []struct {
		name    string
		crashes []map[string]int
		count   int
		culprit bool
	}{
		{name: "no crash"},
		{name: "different jobs", crashes: []map[string]int{{"r-1": 10, "other-1": 500}, {"r-2": 10}}, count: 2},
		{name: "the same job", crashes: []map[string]int{{"r-1": 10}, {"r-1": 10, "r-2": 50}}, count: 2, culprit: true},
		{name: "the same old job", crashes: []map[string]int{{"r-1": 900, "other-1": 10}, {"r-1": 900, "other-2": 10}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := crashlog.New()
			for i, ages := range test.crashes {
				l.Add(0, crashWith(uint64(i), ages), "") //nolint:gosec // Not negative.
			}
			qt.Check(t, l.RouteCrashes("r", 0, anyServer), qt.Equals, test.count)
			qt.Check(t, l.RouteCrashes("r", 0, func(server pollenfront.Process) bool { return server.Incarnation > 0 }), qt.Equals, max(0, test.count-1))
			qt.Check(t, l.HasCulprit("r", 0), qt.Equals, test.culprit)
		})
	}
}

// fullLog returns a log that holds as many crashes as it can, of 30 tasks each.
func fullLog() *crashlog.Log {
	l := crashlog.New()
	for i := range 600 {
		l.Add(time.Duration(i)*time.Millisecond, largeCrash(i), "")
	}
	return l
}

// largeCrash returns a crash of 30 tasks of 10 jobs.
func largeCrash(n int) pollenfront.Crash {
	ages := make(map[string]int)
	for i := range 30 {
		ages[fmt.Sprintf("r%d-%d-%d", i%3, n, i/3)] = 10 * i
	}
	return crashWith(uint64(n), ages) //nolint:gosec // Not negative.
}

// BenchmarkAdd measures the cost of a crash in a full log.
func BenchmarkAdd(b *testing.B) {
	l := fullLog()
	for i := 0; b.Loop(); i++ {
		l.Add(time.Second, largeCrash(1000+i), "")
	}
}

// BenchmarkLikelyCulprit measures the cost of the question whether a job may run again.
func BenchmarkLikelyCulprit(b *testing.B) {
	l := fullLog()
	for b.Loop() {
		l.LikelyCulprit("r0-599-3")
	}
}

// BenchmarkRouteCrashes measures the cost of the question whether a route is to be confined.
func BenchmarkRouteCrashes(b *testing.B) {
	l := fullLog()
	for b.Loop() {
		l.RouteCrashes("r0", 0, anyServer)
		l.HasCulprit("r0", 0)
	}
}
