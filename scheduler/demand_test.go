package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/demandshare"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// newSharingScheduler returns a Scheduler past its warm-up that uses shares, with linked
// agents whose servers have 64 cores each. None of them are free.
func newSharingScheduler(agents int) *scheduler.Scheduler {
	s := scheduler.New(at(-10_000), "entry-1", "west")
	s.EnableDemandShares()
	for i := range agents {
		s.LinkAgent(at(0), &tasklink.Hello{Incarnation: 1, Name: agentName(i), Service: "service", Zone: "west"})
		s.HandleUpdate(at(0), agentName(i), update(0))
	}
	s.Tick(at(0))
	return s
}

// agentName returns the name of the agent with an index.
func agentName(i int) string {
	return fmt.Sprintf("agent-%d", i+1)
}

// statedDemands returns the demands in the commands of effects, by agent.
func statedDemands(effects *scheduler.Effects) map[string]int {
	demands := make(map[string]int)
	for name, commands := range effects.Commands {
		demands[name] = int(commands.Demand)
	}
	return demands
}

// fullUpdate returns an update of a full server with a stated share.
func fullUpdate(share int32) *tasklink.Update {
	u := update(0)
	u.Report.Share, u.Report.Waits = share, []int{500, 500, 500}
	return u
}

// TestStatedDemand guards against a demand that leaves out queued tasks, counts ended or
// canceled ones, or is stated in full to each server.
func TestStatedDemand(t *testing.T) {
	c := qt.New(t)
	s := newSharingScheduler(2)
	s.Submit(at(10), submission("0a", 3))
	s.Submit(at(11), submission("0b", 1))
	s.HandleUpdate(at(400), "agent-1", fullUpdate(0))
	s.HandleUpdate(at(400), "agent-2", fullUpdate(0))
	c.Assert(statedDemands(s.SetDisabledZones(tasklink.DisabledZones{Version: 1})), qt.DeepEquals, map[string]int{"agent-1": 0, "agent-2": 0},
		qt.Commentf("the jobs were refused by now"))
	s = newSharingScheduler(2)
	s.Submit(at(50), submission("0a", 3))
	s.Submit(at(51), submission("0b", 1))
	s.Tick(at(80))
	want := map[string]int{"agent-1": 12000, "agent-2": 12000}
	c.Assert(statedDemands(s.SetDisabledZones(tasklink.DisabledZones{Version: 1})), qt.DeepEquals, want)
	s.Cancel(at(110), "0a")
	want = map[string]int{"agent-1": 3000, "agent-2": 3000}
	c.Assert(statedDemands(s.SetDisabledZones(tasklink.DisabledZones{Version: 2})), qt.DeepEquals, want)
}

// TestNoDemandByDefault guards against statements without the setting.
func TestNoDemandByDefault(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(0)
	s.Submit(at(50), submission("0a", 3))
	c.Assert(statedDemands(s.SetDisabledZones(tasklink.DisabledZones{Version: 1})), qt.DeepEquals, map[string]int{"agent-1": 0})
}

// TestShareInAdmission guards against admission by an equal share when the agent has
// stated another one, and by an invalid or missing share.
func TestShareInAdmission(t *testing.T) {
	tests := []struct {
		name    string
		share   int32
		invalid bool
		refused bool
	}{
		{name: "none stated", share: 0, refused: false},
		{name: "all of the server", share: 64000, refused: false},
		{name: "a small share", share: 1000, refused: true},
		{name: "negative", share: -1000, invalid: true, refused: false},
		{name: "above the capacity", share: 64001, invalid: true, refused: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSharingScheduler(1)
			for i := range 2 {
				effects := s.HandleUpdate(at(10+i), "agent-1", fullUpdate(test.share))
				if test.invalid {
					c.Assert(effects.InvalidShares, qt.DeepEquals, []scheduler.InvalidShare{{Agent: "agent-1", First: i == 0, Share: int(test.share)}})
				} else {
					c.Assert(effects.InvalidShares, qt.HasLen, 0)
				}
			}
			s.Submit(at(20), submission("0a", 1))
			effects := s.Submit(at(21), submission("0b", 1)) // 0.6 core-seconds are ahead of it: 9 ms, or 600 ms with the small share.
			c.Assert(len(effects.Results) > 0, qt.Equals, test.refused)
			for _, result := range effects.Results {
				c.Check(result.Verdict, qt.Equals, pollenfront.VerdictRefused)
			}
		})
	}
}

// TestShareForgotten guards against a share that outlives the link on which it was stated.
func TestShareForgotten(t *testing.T) {
	c := qt.New(t)
	s := newSharingScheduler(1)
	s.HandleUpdate(at(10), "agent-1", fullUpdate(1000))
	c.Assert(s.SharedCapacity(at(10)), qt.Equals, 1000)
	c.Assert(s.SharedCapacity(at(10)+time.Second), qt.Equals, 0)
	s.LinkAgent(at(20), &tasklink.Hello{Incarnation: 1, Name: "agent-1", Service: "service", Zone: "west"})
	c.Assert(s.SharedCapacity(at(20)), qt.Equals, 0)
	c.Assert(s.Dump(at(20)).Agents[0].Share, qt.Equals, 0)
}

// TestOverloadedEntry guards against an overloaded entry that is not passed on to agents,
// one that is passed on for longer than it is reported, and this entry itself, of which its
// agents know.
func TestOverloadedEntry(t *testing.T) {
	c := qt.New(t)
	s := newSharingScheduler(1)
	named := func(ms int) uint32 {
		s.Tick(at(ms))
		return s.SetDisabledZones(tasklink.DisabledZones{Version: uint64(ms)}).Commands["agent-1"].Overloaded
	}
	report := update(0)
	report.Report.Overloaded = demandshare.NameHash("entry-1")
	s.HandleUpdate(at(10), "agent-1", report)
	c.Assert(named(40), qt.Equals, uint32(0))
	report.Report.Overloaded = 7
	s.HandleUpdate(at(50), "agent-1", report)
	c.Assert(named(550), qt.Equals, uint32(7))
	c.Assert(named(571), qt.Equals, uint32(0))
}
