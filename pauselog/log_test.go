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
func observeUntil(log *pauselog.Log, start, end time.Duration) {
	for now := start; now <= end; now += ms(40) {
		log.Observe(now)
	}
}

// TestMaxAge checks how old a request may be that is read after a pause from 1 s to 5 s.
func TestMaxAge(t *testing.T) {
	tests := []struct {
		name           string
		now            time.Duration
		connectedAfter time.Duration
		want           time.Duration
	}{
		{name: "read at once, connected before", now: ms(5000), connectedAfter: ms(500), want: ms(4000)},
		{name: "read at once, connected during the pause", now: ms(5000), connectedAfter: ms(2000), want: ms(3000)},
		{name: "read at once, connected afterwards", now: ms(5020), connectedAfter: ms(5000), want: 0},
		{name: "time of connection unknown", now: ms(5000), connectedAfter: 0, want: ms(4000)},
		{name: "sent again until after the pause", now: ms(9000), connectedAfter: ms(500), want: ms(8000)},
		{name: "long after the pause", now: ms(9400), connectedAfter: ms(500), want: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var log pauselog.Log
			observeUntil(&log, ms(40), ms(1000))
			observeUntil(&log, ms(5000), test.now)
			qt.Assert(t, log.MaxAge(test.now, test.connectedAfter), qt.Equals, test.want)
		})
	}
}

// TestNoPause checks that a process that works, slowly too, has no old requests.
func TestNoPause(t *testing.T) {
	c := qt.New(t)
	var log pauselog.Log
	c.Assert(log.MaxAge(ms(7000), 0), qt.Equals, time.Duration(0))
	for now := ms(7000); now < ms(20000); now += ms(190) {
		log.Observe(now)
		c.Assert(log.MaxAge(now, ms(7000)), qt.Equals, time.Duration(0))
	}
}

// TestSeveralPauses guards against a request that waited through two pauses and counts as sent in
// the second one.
func TestSeveralPauses(t *testing.T) {
	c := qt.New(t)
	var log pauselog.Log
	observeUntil(&log, ms(40), ms(1000))
	log.Observe(ms(1900))
	log.Observe(ms(2700))
	c.Assert(log.MaxAge(ms(2700), ms(900)), qt.Equals, ms(1700))
	c.Assert(log.MaxAge(ms(2700), ms(1900)), qt.Equals, ms(800))
	c.Assert(log.MaxAge(ms(3200), ms(900)), qt.Equals, ms(1300))
}
