package pauselog_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/pauselog"
)

// ms returns a number of milliseconds.
func ms(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// observeUntil makes a log observe every 40 ms, the first time at start.
func observeUntil(log *pauselog.Log, start, end, suspended time.Duration) {
	for now := start; now <= end; now += ms(40) {
		log.Observe(now, suspended)
	}
}

// TestMaxAge checks how old a request may be that is read after a pause from 1 s to 5 s.
func TestMaxAge(t *testing.T) {
	tests := []struct {
		name      string
		suspended time.Duration
		now       time.Duration
		sentAfter time.Duration
		want      time.Duration
	}{
		{name: "read at once, sent before or during the pause", now: ms(5000), sentAfter: ms(500), want: ms(4000)},
		{name: "read at once, sent during the pause", now: ms(5000), sentAfter: ms(2000), want: ms(3000)},
		{name: "read at once, sent afterwards", now: ms(5020), sentAfter: ms(5000), want: 0},
		{name: "nothing is known of when it was sent", now: ms(5000), sentAfter: 0, want: ms(4000)},
		{name: "the process is still reading", now: ms(5300), sentAfter: ms(500), want: ms(4300)},
		{name: "the process has read all", now: ms(5340), sentAfter: ms(500), want: 0},
		{name: "sent again to a machine that was suspended", suspended: ms(3900), now: ms(9000), sentAfter: ms(500), want: ms(8000)},
		{name: "long after a suspension", suspended: ms(3900), now: ms(9300), sentAfter: ms(500), want: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var log pauselog.Log
			observeUntil(&log, ms(40), ms(1000), ms(700))
			observeUntil(&log, ms(5000), test.now, ms(700)+test.suspended)
			qt.Assert(t, log.MaxAge(test.now, test.sentAfter), qt.Equals, test.want)
		})
	}
}

// TestNoPause checks that a process that works, slowly too, has no old requests.
func TestNoPause(t *testing.T) {
	c := qt.New(t)
	var log pauselog.Log
	c.Assert(log.MaxAge(ms(7000), 0), qt.Equals, time.Duration(0))
	for now := ms(7000); now < ms(20000); now += ms(190) {
		log.Observe(now, 0)
		c.Assert(log.MaxAge(now, ms(7000)), qt.Equals, time.Duration(0))
	}
}

// TestSeveralPauses guards against a request that waited through two pauses and counts as sent in
// the second one.
func TestSeveralPauses(t *testing.T) {
	c := qt.New(t)
	var log pauselog.Log
	observeUntil(&log, ms(40), ms(1000), 0)
	log.Observe(ms(1900), 0)
	log.Observe(ms(2150), 0)
	c.Assert(log.MaxAge(ms(2150), ms(900)), qt.Equals, ms(1150))
	c.Assert(log.MaxAge(ms(2150), ms(1900)), qt.Equals, ms(250))
	c.Assert(log.MaxAge(ms(2450), ms(900)), qt.Equals, ms(550))
}
