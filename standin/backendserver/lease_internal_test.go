package backendserver

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An endings records the endings of runs.
type endings []string

func (e *endings) RunStarted(string, string, time.Time) {}
func (e *endings) RunEnded(_, _, ending string)         { *e = append(*e, ending) }
func (e *endings) ServerCrashed(string)                 {}

// TestExpiredLeaseIsNotExtended guards against runs that outlive their lease on a busy machine,
// where a request is handled before the timer of the lease.
func TestExpiredLeaseIsNotExtended(t *testing.T) {
	c := qt.New(t)
	var recorded endings
	s := New(Options{CPU: 64000, Name: "server-0", Observer: &recorded, RunTimeFactor: 1})
	s.mu.Lock()
	defer s.mu.Unlock() // No timer can end a run meanwhile.
	lease := s.clockMS() + 20
	c.Assert(s.start(&request{DeadlineMS: lease, Run: 1, Spec: `{"cpu":6000,"work":"1m"}`, Task: "0011223344556677.0.0.0"}), qt.Equals, "")
	time.Sleep(30 * time.Millisecond)
	c.Assert(recorded, qt.HasLen, 0)
	c.Assert(s.start(&request{DeadlineMS: s.clockMS() + 500, Run: 1, Spec: `{"cpu":6000,"work":"1m"}`, Task: "8899aabbccddeeff.0.0.0"}), qt.Equals, "")
	c.Assert([]string(recorded), qt.DeepEquals, []string{"lapsed"})
}
