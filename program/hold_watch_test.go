package program

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// A slowState has an event that takes long.
type slowState struct {
	mu Guard
}

// handleSlowEvent holds the guard until done is closed.
func (s *slowState) handleSlowEvent(done chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	<-done
}

// TestHoldWatch guards against a process that answers nothing, since one event takes seconds, and
// says nothing about it either. Short events must not be reported, however many there are.
func TestHoldWatch(t *testing.T) {
	c := qt.New(t)
	var s slowState
	core, logs := observer.New(zap.InfoLevel)
	w := NewHoldWatch(&s.mu, prometheus.NewRegistry(), zap.New(core))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = w.Run(ctx) }()
	for deadline := time.Now().Add(longHold + 2*holdCheckInterval); time.Now().Before(deadline); {
		s.mu.Lock()
		time.Sleep(time.Millisecond)
		s.mu.Unlock()
	}
	c.Assert(logs.Len(), qt.Equals, 0)

	done := make(chan struct{})
	go s.handleSlowEvent(done)
	for deadline := time.Now().Add(10 * longHold); logs.Len() == 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	close(done)
	c.Assert(logs.Len() > 0, qt.IsTrue)
	entry := logs.All()[0]
	c.Assert(entry.ContextMap()["event"], qt.Equals, "program.(*slowState).handleSlowEvent")
	c.Assert(entry.ContextMap()["held"].(time.Duration) >= longHold, qt.IsTrue)
}

// A counter counts under a Guard.
type counter struct {
	mu Guard
	n  int
}

// add adds one.
func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

// TestGuardAllocatesNothing guards against locks that cost more than a few instructions, as each
// event takes one.
func TestGuardAllocatesNothing(t *testing.T) {
	var c counter
	qt.Assert(t, testing.AllocsPerRun(1000, c.add), qt.Equals, 0.0)
}

// BenchmarkGuard measures an event that does hardly anything.
func BenchmarkGuard(b *testing.B) {
	var c counter
	for b.Loop() {
		c.add()
	}
}
