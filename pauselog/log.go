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
//	log.Observe(now, bootclock.Suspended()) // Often, while the process works.
//	age := log.MaxAge(now, sentAfter)
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
	lastSuspended   time.Duration
	pauses          []pause
}

// A pause is a time during which a process stood still.
type pause struct {
	end   time.Duration
	start time.Duration
	// suspended is the part of the pause for which the whole machine was suspended.
	suspended time.Duration
}

// effectEnd returns the time until which bytes that were sent during the pause may be read.
// What was sent to a suspended machine is sent again at intervals that double each time, so that
// the first attempt after a suspension comes at most one length of it later.
func (p pause) effectEnd() time.Duration {
	return p.end + p.suspended + readDelay
}

// Observe records that the process works. The time since the last observation was a pause if it
// is long. suspended is for how long the machine was suspended since it booted.
func (l *Log) Observe(now, suspended time.Duration) {
	if l.lastObservation > 0 && now-l.lastObservation >= minPause {
		l.pauses = slices.DeleteFunc(l.pauses, func(p pause) bool { return p.effectEnd() < now })
		l.pauses = append(l.pauses, pause{end: now, start: l.lastObservation, suspended: suspended - l.lastSuspended})
	}
	l.lastObservation, l.lastSuspended = max(l.lastObservation, now), max(l.lastSuspended, suspended)
}

// MaxAge returns the longest time since which a request may have been under way that is read
// now and was sent after the given time. It is zero unless the process stood still.
func (l *Log) MaxAge(now, sentAfter time.Duration) time.Duration {
	age := time.Duration(0)
	for _, p := range l.pauses {
		if sentAfter < p.end && now <= p.effectEnd() {
			age = max(age, now-max(p.start, sentAfter))
		}
	}
	return age
}
