package executor_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
)

// TestRenewalRetryDelay guards against a restarted server that gets its first renewal late after a
// start without a response, and against an agent that spends its processor time on a server that
// stays down.
func TestRenewalRetryDelay(t *testing.T) {
	refused := fmt.Errorf("call the server: %w", pollenfront.ErrUnreachable)
	tests := []struct {
		name          string
		answered      error
		err           error
		now, failedAt int
		want          time.Duration
	}{
		{name: "connections refused", answered: errTimeout, err: refused, failedAt: 100, now: 110, want: 4 * time.Millisecond},
		{name: "connections refused for 4 s", answered: errTimeout, err: refused, failedAt: 100, now: 4100, want: 4 * time.Millisecond},
		{name: "connections refused for 6 s", answered: errTimeout, err: refused, failedAt: 100, now: 6100, want: 20 * time.Millisecond},
		{name: "the start can't be carried out any more", answered: errTimeout, err: refused, failedAt: 11990, now: 12010, want: 50 * time.Millisecond},
		{name: "no start without a response", err: refused, failedAt: 100, now: 110, want: 50 * time.Millisecond},
		{name: "no response", answered: errTimeout, err: errTimeout, failedAt: 100, now: 110, want: 50 * time.Millisecond},
		{name: "unhealthy", answered: errTimeout, err: pollenfront.ErrUnhealthy, failedAt: 100, now: 110, want: 50 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newExecutor()
			request := x.HandleCommands(at(0), testEntry, startCommands(at(0), 0)).Starts[0]
			x.HandleStartResponse(at(5), request, 0, test.answered)
			x.HandleRenewal(at(test.failedAt-10), at(test.failedAt-11), &pollenfront.RenewalResponse{Clock: serverClock(at(test.failedAt)), Incarnation: 1})
			x.HandleRenewalError(at(test.failedAt), at(test.failedAt-1), test.err)
			qt.Check(t, x.RenewalRetryDelay(at(test.now), test.err), qt.Equals, test.want)
		})
	}
}
