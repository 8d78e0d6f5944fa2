package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
)

// TestRetrySpreading checks the Retry-After times of callers refused during an outage
// of all servers. If all callers retried at once, they would overload the servers as
// soon as the outage ends. In any second, no more retries may be due than a quarter
// of the servers can serve, since the rest is for new jobs. No caller may have to wait
// for more than 21 s.
func TestRetrySpreading(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(0)
	s.UnlinkAgent("agent-1", 1)
	for now := at(0); now < at(2000); now += scheduler.TickInterval { // Without ticks, the entry would start another warm-up.
		s.Tick(now)
	}
	perSecond := make(map[int]int)
	for i := range 100 {
		now := at(2000 + i*10)
		for _, result := range s.Submit(now, submission(fmt.Sprintf("%02d", i), 4)).Results {
			c.Assert(result.Verdict, qt.Equals, pollenfront.VerdictRefused)
			c.Assert(result.RetryAfter >= 500*time.Millisecond, qt.IsTrue)
			c.Assert(result.RetryAfter <= 21*time.Second, qt.IsTrue)
			perSecond[int((now+result.RetryAfter)/time.Second)]++
		}
	}
	// A job has 4 tasks of 6 cores and 0.1 s, so 6.7 jobs use a quarter of 64 cores for a second.
	for second, n := range perSecond {
		c.Assert(n <= 8, qt.IsTrue, qt.Commentf("%d retries are due in second %d", n, second))
	}
	c.Assert(len(perSecond) >= 12, qt.IsTrue, qt.Commentf("%v", perSecond))
}
