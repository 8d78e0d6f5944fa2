package tokenlog_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/fencing"
	"github.com/pollenfront/pollenfront/tokenlog"
)

// agent returns an incarnation of an agent.
func agent(incarnation uint64) pollenfront.AgentRef {
	return pollenfront.AgentRef{Incarnation: incarnation, Name: "agent-1"}
}

// TestFloor checks that an agent is told of the tokens of all former incarnations, in whichever
// order their incarnations are, and not of its own.
func TestFloor(t *testing.T) {
	c := qt.New(t)
	l := tokenlog.New()
	c.Assert(l.Floor(agent(9)), qt.Equals, uint64(0))
	l.Record(0, agent(9), 300)
	l.Record(time.Second, agent(9), 700)
	l.Record(time.Second, agent(9), 0)
	c.Assert(l.Floor(agent(9)), qt.Equals, uint64(0))
	c.Assert(l.Floor(agent(4)), qt.Equals, uint64(700))
	l.Record(2*time.Second, agent(4), 400)
	c.Assert(l.Floor(agent(4)), qt.Equals, uint64(700))
	c.Assert(l.Floor(agent(5)), qt.Equals, uint64(700))
	l.Record(3*time.Second, agent(4), 900)
	c.Assert(l.Floor(agent(5)), qt.Equals, uint64(900))
	c.Assert(l.Floor(pollenfront.AgentRef{Incarnation: 4, Name: "agent-2"}), qt.Equals, uint64(0))
}

// TestExpire checks that tokens are kept for longer than a request may be delayed.
func TestExpire(t *testing.T) {
	c := qt.New(t)
	l := tokenlog.New()
	l.Record(0, agent(1), 300)
	l.Record(10*time.Second, agent(1), 0)
	l.Expire(40 * time.Second)
	c.Assert(l.Floor(agent(2)), qt.Equals, uint64(300))
	l.Expire(3 * time.Minute)
	c.Assert(l.Floor(agent(2)), qt.Equals, uint64(0))
}

// TestInvalidTokens guards against agents that can never begin above a token that another one
// states, and against names without end.
func TestInvalidTokens(t *testing.T) {
	c := qt.New(t)
	l := tokenlog.New()
	for _, token := range []uint64{fencing.MaxToken, fencing.MaxToken + 1, 1<<64 - 1} {
		l.Record(0, agent(1), token)
	}
	c.Assert(l.Floor(agent(2)), qt.Equals, uint64(0))
	for i := range 30_000 {
		l.Record(0, pollenfront.AgentRef{Incarnation: 1, Name: fmt.Sprintf("odd-%d", i)}, 300)
	}
	c.Assert(l.Floor(pollenfront.AgentRef{Name: "odd-0"}), qt.Equals, uint64(300))
	c.Assert(l.Floor(pollenfront.AgentRef{Name: "odd-29999"}), qt.Equals, uint64(0))
}
