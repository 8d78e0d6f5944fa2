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

// TestOverdueInWarmUp checks that a job that is overdue when the entry has just started
// stays queued until an answer would be of no use: servers may link meanwhile.
func TestOverdueInWarmUp(t *testing.T) {
	tests := []struct {
		name     string
		linkedAt time.Duration
		started  int
	}{
		{name: "a server links in time for a late answer", linkedAt: at(300), started: 2},
		{name: "a server links too late", linkedAt: at(900), started: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := scheduler.New(at(0), "entry-1", "west")
			s.Submit(at(0), submission("0a", 2))
			var results []pollenfront.Result
			for now := at(40); now < test.linkedAt; now += 40 * time.Millisecond {
				results = append(results, s.Tick(now).Results...)
			}
			c.Assert(len(results) == 0, qt.Equals, test.started > 0)
			s.LinkAgent(test.linkedAt, &tasklink.Hello{Incarnation: 1, Name: "agent-1", Service: "service", Zone: "west"})
			c.Assert(startedTasks(s.HandleUpdate(test.linkedAt, "agent-1", update(64))), qt.Equals, test.started)
		})
	}
}

// TestQueueOfOtherService checks that the queue of one service does not cause refusals
// for another one, whose servers are soon free.
func TestQueueOfOtherService(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(0)
	soonFree := update(0)
	soonFree.Report.Waits = []int{60, 60, 60}
	s.HandleUpdate(at(0), "agent-1", soonFree)
	s.LinkAgent(at(0), &tasklink.Hello{Incarnation: 1, Name: "agent-2", Service: "other", Zone: "west"})
	full := update(0)
	full.Report.Waits = []int{2000, 2000, 2000}
	s.HandleUpdate(at(0), "agent-2", full)
	for i := range 3 {
		other := submission(fmt.Sprintf("0%d", i), 8)
		other.Route.Service, other.Route.Name, other.Route.LatencyTarget = "other", "o", 150*time.Millisecond
		c.Assert(s.Submit(at(1), other).Results, qt.HasLen, 0)
	}
	urgent := submission("0a", 2)
	urgent.Route.LatencyTarget = 160 * time.Millisecond
	c.Assert(s.Submit(at(2), urgent).Results, qt.HasLen, 0)
}

// TestSlowRunAfterSupersededNumber checks that the first run of a task that may have
// started is stopped for being slow even if the server did not accept an earlier number.
func TestSlowRunAfterSupersededNumber(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(64)
	run := s.Submit(at(0), submission("0a", 1)).Commands["agent-1"].Starts[0].Tasks[0].Run
	c.Assert(run, qt.Equals, 1)
	refused := tasklink.RunEnd{
		Ending: pollenfront.EndingNotStarted, Run: pollenfront.RunID{Number: run, TaskID: pollenfront.TaskID{Job: "0a"}}, Superseded: true,
	}
	again := s.HandleUpdate(at(5), "agent-1", update(64, refused)).Commands["agent-1"].Starts[0].Tasks[0]
	c.Assert(again.Run > 1, qt.IsTrue)
	c.Assert(again.Rerun, qt.IsFalse)
	var stops []pollenfront.RunID
	for now := at(40); now < at(600); now += 40 * time.Millisecond {
		s.HandleUpdate(now, "agent-1", update(58))
		if commands := s.Tick(now).Commands["agent-1"]; commands != nil {
			stops = append(stops, commands.Stops...)
		}
	}
	c.Assert(stops, qt.DeepEquals, []pollenfront.RunID{{Number: again.Run, TaskID: pollenfront.TaskID{Job: "0a"}}})
}

// TestRefusedOnceHopeless checks that a queued job is refused as soon as the jobs ahead of
// it delay it beyond its latest start, not only when its latest start has passed.
func TestRefusedOnceHopeless(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(0)
	full := update(0)
	full.Report.Waits = []int{2000, 2000, 2000}
	s.HandleUpdate(at(0), "agent-1", full)
	waiting := submission("0a", 1)
	waiting.Route.LatencyTarget = 165 * time.Millisecond
	c.Assert(s.Submit(at(0), waiting).Results, qt.HasLen, 0)
	for i := range 3 { // Each job is 75 ms of work for the server.
		urgent := submission(fmt.Sprintf("0%d", i), 8)
		urgent.Route.LatencyTarget = 155 * time.Millisecond
		results := s.Submit(at(1), urgent).Results
		if i < 2 {
			c.Assert(results, qt.HasLen, 0)
			continue
		}
		c.Assert(results, qt.HasLen, 1)
		c.Assert(results[0].ID, qt.Equals, waiting.ID)
		c.Assert(results[0].Reason, qt.Equals, pollenfront.ReasonOverloaded)
	}
}
