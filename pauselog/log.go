// Package pauselog keeps the times during which a process stood still: it was suspended, or got
// no processor time. What it reads shortly afterwards may have been sent long before, and whoever
// sent it may have stopped waiting.
//
// The kernel often knows when the bytes arrived, and that the connection is closed by now. But it
// can be late itself: while a whole machine is suspended, nothing arrives. The bytes and the end
// of the connection are then sent again, with growing intervals, after the machine resumes. A Log
// rests on nothing but the clock.
//
// # Usage
//
//	var log pauselog.Log
//	log.Observe(now) // Often, while the process works.
//	age := log.MaxAge(now, connectedAfter)
package pauselog

import (
	"slices"
	"time"
)

const (
	// minPause is the time between two observations that counts as a pause. A process that is
	// short of processor time may well observe only every 100 ms.
	minPause = 200 * time.Millisecond
	// readDelay is the time after a pause within which a process reads all that has arrived.
	readDelay = 300 * time.Millisecond
)

// A Log holds the recent pauses of a process. The zero Log has observed nothing. It is not safe
// for concurrent use.
type Log struct {
	lastObservation time.Duration
	pauses          []pause
}

// A pause is a time during which a process stood still.
type pause struct {
	end   time.Duration
	start time.Duration
}

// effectEnd returns the time until which bytes that were sent during the pause may be read.
// Their sender doubles the interval between two attempts each time, so that the first attempt
// after the pause comes at most one length of the pause later.
func (p pause) effectEnd() time.Duration {
	return p.end + (p.end - p.start) + readDelay
}

// Observe records that the process works. The time since the last observation was a pause if it
// is long.
func (l *Log) Observe(now time.Duration) {
	if l.lastObservation > 0 && now-l.lastObservation >= minPause {
		l.pauses = slices.DeleteFunc(l.pauses, func(p pause) bool { return p.effectEnd() < now })
		l.pauses = append(l.pauses, pause{end: now, start: l.lastObservation})
	}
	l.lastObservation = max(l.lastObservation, now)
}

// MaxAge returns the longest time since which a request may have been under way that is read
// now, from a connection that was established after the given time. It is zero unless the
// process stood still.
func (l *Log) MaxAge(now, connectedAfter time.Duration) time.Duration {
	age := time.Duration(0)
	for _, p := range l.pauses {
		if connectedAfter < p.end && now <= p.effectEnd() {
			age = max(age, now-max(p.start, connectedAfter))
		}
	}
	return age
}
