package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// newFairScheduler returns a Scheduler with fair shares that is linked to one agent, whose
// server is full.
func newFairScheduler() *scheduler.Scheduler {
	s := newScheduler(0)
	s.EnableFairShares()
	return s
}

// TestLeftCallersFreeRoom guards against capacity that stays reserved for a caller who has
// left, and against a queued job of that caller that is still sent, with and without fair
// shares.
func TestLeftCallersFreeRoom(t *testing.T) {
	for _, fair := range []bool{false, true} {
		t.Run(fmt.Sprintf("fair=%v", fair), func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(8)
			if fair {
				s.EnableFairShares()
			}
			left, next := submission("0a", 2), submission("0b", 1)
			left.Route.LatencyTarget, next.Route.LatencyTarget = 200*time.Millisecond, 300*time.Millisecond
			running := s.Submit(at(0), submission("00", 1))
			c.Assert(startedTasks(running), qt.Equals, 1)
			c.Assert(startedTasks(s.Submit(at(1), left)), qt.Equals, 0)
			c.Assert(startedTasks(s.Submit(at(1), next)), qt.Equals, 0)
			c.Assert(startedTasks(s.Cancel(at(2), left.ID)), qt.Equals, 0)
			effects := s.Cancel(at(3), "00")
			c.Assert(effects.Commands["agent-1"].Stops, qt.HasLen, 1)
			ended := tasklink.RunEnd{Ending: pollenfront.EndingStopped, Run: pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Job: "00"}}}
			freed := update(8, ended)
			freed.LastSeqNum = 1
			effects = s.HandleUpdate(at(5), "agent-1", freed)
			c.Assert(startedTasks(effects), qt.Equals, 1)
			c.Assert(effects.Commands["agent-1"].Starts[0].Job, qt.Equals, next.ID)
		})
	}
}

// TestFairRetryAfter guards against a Retry-After that ends before the entry's share of the
// servers has done the work that waits.
func TestFairRetryAfter(t *testing.T) {
	c := qt.New(t)
	s := newFairScheduler()
	full := update(0)
	full.Report.Waits = []int{9000, 9000, 9000}
	s.HandleUpdate(at(0), "agent-1", full)
	work, refused := time.Duration(0), 0
	for i := range 150 {
		sub := submission(fmt.Sprintf("%02x", i), 8)
		sub.Route.LatencyTarget, sub.TimeLimit = 2*time.Second, 5*time.Second
		results := s.Submit(at(1), sub).Results
		work += 75 * time.Millisecond // 8 tasks of 6 cores and 100 ms, on 64 cores.
		for _, result := range results {
			refused++
			work -= 75 * time.Millisecond
			c.Assert(result.Verdict, qt.Equals, pollenfront.VerdictRefused)
			c.Assert(result.RetryAfter >= work, qt.IsTrue, qt.Commentf("%v for %v of work", result.RetryAfter, work))
		}
	}
	c.Assert(refused > 0, qt.IsTrue)
}

// TestKeptForLateAnswer guards against the refusal of a job that can't be on time when room
// is found while a late answer is still of use, and against one that waits longer than that.
func TestKeptForLateAnswer(t *testing.T) {
	for _, test := range []struct {
		name    string
		freeAt  time.Duration
		started int
	}{
		{name: "room in time for a late answer", freeAt: at(300), started: 1},
		{name: "room too late", freeAt: at(800), started: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newFairScheduler()
			full := update(0)
			full.Report.Waits = []int{2000, 2000, 2000}
			s.HandleUpdate(at(0), "agent-1", full)
			c.Assert(s.Submit(at(0), submission("0a", 1)).Results, qt.HasLen, 0)
			var results []pollenfront.Result
			for now := at(40); now < test.freeAt; now += 40 * time.Millisecond {
				s.HandleUpdate(now, "agent-1", full)
				results = append(results, s.Tick(now).Results...)
			}
			c.Assert(len(results) == 0, qt.Equals, test.started > 0)
			c.Assert(startedTasks(s.HandleUpdate(test.freeAt, "agent-1", update(64))), qt.Equals, test.started)
		})
	}
}

// TestLaggingClassGoesFirst guards against jobs of a route that always wait because those of
// another one are smaller.
func TestLaggingClassGoesFirst(t *testing.T) {
	c := qt.New(t)
	s := newFairScheduler()
	wide := submission("0a", 8)
	wide.Route.Name, wide.Route.LatencyTarget = "wide", time.Second
	for i := range 20 { // The narrow route is served in full before.
		s.HandleUpdate(at(i), "agent-1", update(64))
		s.Submit(at(i), submission(fmt.Sprintf("1%02x", i), 1))
	}
	s.HandleUpdate(at(30), "agent-1", update(0))
	narrow := submission("0b", 1)
	narrow.Route.LatencyTarget = 900 * time.Millisecond
	c.Assert(startedTasks(s.Submit(at(31), wide)), qt.Equals, 0)
	c.Assert(startedTasks(s.Submit(at(31), narrow)), qt.Equals, 0)
	effects := s.HandleUpdate(at(32), "agent-1", update(50))
	c.Assert(startedTasks(effects) >= 8, qt.IsTrue)
	c.Assert(effects.Commands["agent-1"].Starts[0].Job, qt.Equals, wide.ID)
}

// BenchmarkFairTick measures a tick with queuedJobs jobs of three sizes on three routes in
// the queue and 50 servers, none of which has room, with the setting off and on.
func BenchmarkFairTick(b *testing.B) {
	for _, fair := range []bool{false, true} {
		b.Run(fmt.Sprintf("fair=%v", fair), func(b *testing.B) {
			s := newBenchScheduler(50, -64000)
			if fair {
				s.EnableFairShares()
			}
			for i := range queuedJobs {
				sub := benchSubmission(i, time.Hour)
				sub.Route.Name, sub.Route.Priority = fmt.Sprintf("route-%d", i%3), i%3
				sub.TaskCount = 1 + i%8
				s.Submit(at(0), sub)
			}
			for b.Loop() {
				s.Tick(at(1))
			}
			b.ReportMetric(float64(s.JobCount()), "jobs")
		})
	}
}
