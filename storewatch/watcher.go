// Package storewatch keeps a copy of a part of the platform's store up to date,
// whatever becomes of the store and of the way to it.
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

// Pauses after failed calls. They grow from the first to the second, and are
// drawn at random up to the value, so that processes do not call in step.
const (
	firstPause = 40 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// A Watcher keeps a copy of a part of the store up to date.
type Watcher[T any] struct {
	Apply  func(T) // Called with each new state.
	Logger *zap.Logger
	Name   string // Of what is watched, for the log.
	// OnRecovery, if set, is called when the store answers again after a failure.
	OnRecovery  func()
	Poll        func(ctx context.Context, known T, wait time.Duration) (T, error)
	PollTimeout time.Duration // How long the store holds a poll for changes.
	Read        func(ctx context.Context) (T, error)
}

// Run watches until ctx ends.
func (w *Watcher[T]) Run(ctx context.Context) error {
	var known T
	read := false
	pause := time.Duration(0)
	for ctx.Err() == nil {
		next, err := w.next(ctx, known, read)
		switch {
		case err == nil:
			known, read = next, true
			w.Apply(known)
			if pause > 0 {
				w.Logger.Info("store regained", zap.String("followed", w.Name))
				if w.OnRecovery != nil {
					w.OnRecovery()
				}
			}
			pause = 0
		case errors.Is(err, pollenfront.ErrHistoryGone):
			read = false
			w.Logger.Info("store history gone, reading everything", zap.String("followed", w.Name))
		case ctx.Err() == nil:
			if pause == 0 {
				pause = firstPause
				w.Logger.Warn("store lost", zap.String("followed", w.Name), zap.Error(err))
			}
			pause = min(2*pause, maxPause)
			program.Sleep(ctx, time.Duration(rand.Int64N(int64(pause)))) //nolint:gosec // Not for secrets.
		}
	}
	return ctx.Err()
}

// next returns the next state.
func (w *Watcher[T]) next(ctx context.Context, known T, read bool) (T, error) {
	if !read {
		return w.Read(ctx)
	}
	return w.Poll(ctx, known, w.PollTimeout)
}
