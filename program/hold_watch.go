package program

import (
	"context"
	"path"
	"runtime"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

const (
	// holdCheckInterval is the time between two looks at a Guard.
	holdCheckInterval = 500 * time.Millisecond
	// longHold is the time for which an event may hold a Guard without a report.
	longHold = time.Second
)

// A HoldWatch reports events that hold a Guard for long, while they do. No other event is
// handled meanwhile, so that the process answers nothing.
type HoldWatch struct {
	guard  *Guard
	logger *zap.Logger
	// seconds counts the time for which events have held the guard beyond longHold.
	seconds *prometheus.CounterVec
}

// NewHoldWatch returns a HoldWatch for a Guard. It registers its metrics with registry.
func NewHoldWatch(guard *Guard, registry *prometheus.Registry, logger *zap.Logger) *HoldWatch {
	seconds := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pollenfront_long_event_seconds_total", Help: "Time for which an event kept all others waiting for a second or more, by event.",
	}, []string{"event"})
	registry.MustRegister(seconds)
	return &HoldWatch{guard: guard, logger: logger, seconds: seconds}
}

// Run looks at the guard regularly until ctx is done, and returns ctx.Err(). It logs an event when
// it has held the guard for longHold, and each time that this time has doubled.
func (w *HoldWatch) Run(ctx context.Context) error {
	ticker := time.NewTicker(holdCheckInterval)
	defer ticker.Stop()
	var seen hold
	var since, counted, logged time.Duration
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		now := time.Since(started)
		current := w.guard.hold()
		if current != seen || current.event == 0 {
			seen, since, counted, logged = current, now, 0, 0
			continue
		}
		held := now - since
		if held < longHold {
			continue
		}
		w.seconds.WithLabelValues(functionName(current.event)).Add((held - counted).Seconds())
		counted = held
		if logged == 0 || held >= 2*logged {
			logged = held
			w.logger.Error("an event keeps all others waiting", zap.String("event", functionName(current.event)),
				zap.String("caller", functionName(current.caller)), zap.Duration("held", held))
		}
	}
}

// A hold identifies one event that holds a Guard.
type hold struct {
	// caller is the program counter at which the function that locked the guard was called.
	caller uintptr
	// event is the program counter at which the guard was locked, or zero if it is not held.
	event uintptr
	// seqNum numbers the events.
	seqNum uint64
}

// functionName returns the name of the function at a program counter, such as
// jobs.(*Jobs).tick.
func functionName(counter uintptr) string {
	frame, _ := runtime.CallersFrames([]uintptr{counter}).Next()
	return path.Base(frame.Function)
}
