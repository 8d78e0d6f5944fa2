// Package storewatch keeps a copy of a part of the platform's store up to date. It
// reads the part once, polls for changes, and retries while the store is
// unavailable.
//
// # Usage
//
//	w := storewatch.Watcher[pollenfront.OperatorState]{Read: store.OperatorState, Poll: store.PollOperatorState, Apply: …}
//	err := w.Run(ctx)
package storewatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/program"
)

// Limits of the delay after a failed call. The upper bound of the delay doubles with
// each failure, from twice initialRetryDelay to maxRetryDelay. The delay is random
// below that bound, so that processes do not call the store in lockstep.
const (
	initialRetryDelay = 40 * time.Millisecond
	maxRetryDelay     = 400 * time.Millisecond
)

// Limits on polls that return at once. All processes share the store's rate of reads, and a row
// that another writer writes every few milliseconds would make each of them poll as often.
const (
	// pollBurst is the number of polls that may return at once after a quiet time. Changes
	// of operators and starts of a fleet come in such bursts.
	pollBurst = 10
	// pollInterval is the time between two polls while more changes come.
	pollInterval = 250 * time.Millisecond
)

// failedPollLimit is the number of failed polls in turn after which the full state is read. Its
// pages are bounded in size, so that they may arrive in time where the response to a poll,
// which holds all changes, does not.
const failedPollLimit = 8

// A Watcher keeps a copy of a part of the store up to date.
type Watcher[T any] struct {
	// Apply is called with the state after each successful call to the store,
	// even if nothing has changed.
	Apply  func(T)
	Logger *zap.Logger
	// Name is the name of the watched part of the store in log messages.
	Name string
	// OnFailure, if set, is called when a call to the store fails after a success or at
	// the start.
	OnFailure func()
	// OnRecovery, if set, is called when the store answers again after a failure.
	OnRecovery func()
	// Poll waits up to wait for a change to known and returns the new state. It
	// returns pollenfront.ErrHistoryGone if the full state must be read instead.
	Poll func(ctx context.Context, known T, wait time.Duration) (T, error)
	// PollTimeout is how long the store may hold a poll for changes.
	PollTimeout time.Duration
	// Read returns the full state.
	Read func(ctx context.Context) (T, error)
}

// Run watches the store until ctx is done, and returns ctx.Err().
func (w *Watcher[T]) Run(ctx context.Context) error {
	var known T
	loaded := false
	delayBound, failedPolls := time.Duration(0), 0
	var limiter pollLimiter
	for ctx.Err() == nil {
		if loaded {
			program.Sleep(ctx, limiter.delay(time.Now()))
		}
		next, err := w.fetch(ctx, known, loaded)
		switch {
		case err == nil:
			known, loaded, failedPolls = next, true, 0
			w.Apply(known)
			if delayBound > 0 {
				w.Logger.Info("store regained", zap.String("followed", w.Name))
				if w.OnRecovery != nil {
					w.OnRecovery()
				}
			}
			delayBound = 0
		case errors.Is(err, pollenfront.ErrHistoryGone):
			loaded = false
			w.Logger.Info("store history gone, reading the full state", zap.String("followed", w.Name), zap.Error(err))
			sleepUpTo(ctx, initialRetryDelay) // All processes read the full state at the same time otherwise.
		case ctx.Err() == nil:
			if delayBound == 0 {
				delayBound = initialRetryDelay
				w.Logger.Warn("store lost", zap.String("followed", w.Name), zap.Error(err))
				if w.OnFailure != nil {
					w.OnFailure()
				}
			}
			if failedPolls++; failedPolls >= failedPollLimit {
				loaded, failedPolls = false, 0
			}
			delayBound = min(2*delayBound, maxRetryDelay)
			sleepUpTo(ctx, delayBound)
		}
	}
	return ctx.Err()
}

// A pollLimiter limits polls to pollBurst and then one in each pollInterval. The zero value
// has the whole burst left.
type pollLimiter struct {
	// freeAt is the time at which the whole burst is left again.
	freeAt time.Time
}

// delay returns the time to wait before a poll at now, and counts the poll.
func (l *pollLimiter) delay(now time.Time) time.Duration {
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(pollInterval)
	return max(0, l.freeAt.Sub(now)-pollBurst*pollInterval)
}

// sleepUpTo sleeps for a random time below limit, or until ctx is done.
func sleepUpTo(ctx context.Context, limit time.Duration) {
	program.Sleep(ctx, time.Duration(rand.Int64N(int64(limit)))) //nolint:gosec // The delay need not be unpredictable.
}

// fetch reads the full state if none is loaded, and otherwise polls for a change to
// known.
func (w *Watcher[T]) fetch(ctx context.Context, known T, loaded bool) (T, error) {
	if !loaded {
		return w.Read(ctx)
	}
	return w.Poll(ctx, known, w.PollTimeout)
}
