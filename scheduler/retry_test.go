package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
)

// TestReturns replays an outage of all servers: the callers that it refuses are
// told to come back one after the other, no more in a second than a quarter of
// the servers can serve beside the usual load, and none later than it must.
func TestReturns(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(0)
	s.UnlinkAgent("agent-1", 1)
	perSecond := make(map[int]int)
	for i := range 100 {
		now := at(2000 + i*10)
		for _, answer := range s.Submit(now, submission(fmt.Sprintf("%02d", i), 4)).Results {
			c.Assert(answer.Verdict, qt.Equals, pollenfront.VerdictRefused)
			c.Assert(answer.RetryAfter >= 500*time.Millisecond, qt.IsTrue)
			c.Assert(answer.RetryAfter <= 21*time.Second, qt.IsTrue)
			perSecond[int((now+answer.RetryAfter)/time.Second)]++
		}
	}
	// A job has 4 tasks of 6 cores and 0.1 s: 6.7 of them fill a quarter of 64 cores for a second.
	for second, n := range perSecond {
		c.Assert(n <= 8, qt.IsTrue, qt.Commentf("%d come back in second %d", n, second))
	}
	c.Assert(len(perSecond) >= 12, qt.IsTrue, qt.Commentf("%v", perSecond))
}
