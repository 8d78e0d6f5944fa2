package executor

import (
	"errors"
	"time"

	"github.com/pollenfront/pollenfront"
)

// maxRequestDelay is the time within which a request without a response may be carried out.
const maxRequestDelay = 12 * time.Second

// Delays before the next renewal after one that failed. A refused renewal costs about 0.2 ms of
// processor time.
const (
	renewalRetryDelay = 50 * time.Millisecond
	// restartPollDelay applies while the server refuses connections and its next incarnation
	// may carry out a delayed start. It does so until it gets the first renewal.
	restartPollDelay = 4 * time.Millisecond
	// slowRestartPollDelay replaces restartPollDelay when the server has not responded for
	// fastRestartPollDuration. Few processes take longer to restart.
	slowRestartPollDelay    = 20 * time.Millisecond
	fastRestartPollDuration = 5 * time.Second
)

// RenewalRetryDelay returns the delay before the next renewal after one that failed with err.
func (x *Executor) RenewalRetryDelay(now time.Duration, err error) time.Duration {
	switch {
	case !errors.Is(err, pollenfront.ErrUnreachable) || !x.delayedStartPossible(now):
		return renewalRetryDelay
	case now-x.server.failingSince > fastRestartPollDuration:
		return slowRestartPollDelay
	}
	return restartPollDelay
}

// delayedStartPossible reports whether a start request without a response may still be carried
// out.
func (x *Executor) delayedStartPossible(now time.Duration) bool {
	return x.lastUnansweredStart > 0 && now-x.lastUnansweredStart < maxRequestDelay
}
