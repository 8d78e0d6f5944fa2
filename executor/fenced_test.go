package executor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestOvertakenRequestsLeaveToken guards against a fencing token that runs minutes ahead of the
// time of day, at which the next incarnation of the agent starts, since newer requests of the same
// incarnation overtook others (review case 11). An agent that was suspended raises its token, as its
// lease has expired, while the stops of the same tick carry the token before.
func TestOvertakenRequestsLeaveToken(t *testing.T) {
	const tasks, former = 9, 10
	suspend := func(x *executor.Executor) []executor.StopRequest { return x.Tick(at(2000)).Stops }
	receiveNotice := func(x *executor.Executor) []executor.StopRequest { return x.HandleDeregistration(at(1)).Stops }
	tests := []struct {
		name   string
		raise  func(x *executor.Executor) []executor.StopRequest
		refuse func(x *executor.Executor, starts []pollenfront.StartRequest, stops []executor.StopRequest)
	}{
		{name: "stops", raise: suspend, refuse: func(x *executor.Executor, _ []pollenfront.StartRequest, stops []executor.StopRequest) {
			for _, stop := range stops {
				x.HandleStopResponse(at(2001), stop, 0, pollenfront.ErrFenced)
			}
		}},
		{name: "renewals", raise: suspend, refuse: func(x *executor.Executor, _ []pollenfront.StartRequest, _ []executor.StopRequest) {
			for range tasks {
				x.HandleRenewalFenced(former)
			}
		}},
		{name: "starts", raise: receiveNotice, refuse: func(x *executor.Executor, starts []pollenfront.StartRequest, _ []executor.StopRequest) {
			for _, start := range starts {
				x.HandleStartResponse(at(2), start, 0, pollenfront.ErrFenced)
			}
		}},
		{name: "repeated starts", raise: receiveNotice, refuse: func(x *executor.Executor, starts []pollenfront.StartRequest, _ []executor.StopRequest) {
			for _, start := range starts {
				x.HandleStartResponse(at(20), start, 0, errTimeout)
				x.HandleStartResponse(at(21), start, 0, pollenfront.ErrFenced)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := executor.New("agent-1", "service", "west", former)
			renewFirst(x)
			capacity := pollenfront.Resources{CPU: 6000 * tasks}
			x.HandleAnnouncement(at(0), pollenfront.Announcement{Capacity: capacity, Clock: time.Second, Incarnation: 1, SeqNum: 1, Zone: "west"})
			x.LinkEntry(at(0), testEntry)
			starts := x.HandleCommands(at(0), testEntry, startCommands(at(0), 0, 1, 2, 3, 4, 5, 6, 7, 8)).Starts
			c.Assert(starts, qt.HasLen, tasks)
			test.refuse(x, starts, test.raise(x))
			c.Assert(x.Dump(at(2003)).Token, qt.Equals, uint64(former+1))
		})
	}
}

// TestTokenOfOtherIncarnation checks that an agent passes the fencing token of another incarnation
// if its newest request is refused.
func TestTokenOfOtherIncarnation(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	x.HandleCommands(at(0), testEntry, &tasklink.Commands{EchoedClock: int64(at(0))})
	effects := x.HandleRenewalFenced(x.NextRenewal(at(1)).Token)
	c.Assert(effects.Fenced, qt.HasLen, 1)
	c.Assert(effects.Fenced[0].Raised, qt.IsTrue)
	c.Assert(x.NextRenewal(at(2)).Token > effects.Fenced[0].Token, qt.IsTrue)
}
