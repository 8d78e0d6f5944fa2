// Package follow keeps a copy of a part of the platform's store up to date,
// whatever becomes of the store and of the way to it.
//
// # Usage
//
//	f := follow.Follower[pollenfront.OperatorState]{Read: store.OperatorState, Since: …, Apply: …}
//	err := f.Run(ctx)
package follow

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

// A Follower follows a part of the store.
type Follower[T any] struct {
	Apply  func(T) // Called with each new state.
	Logger *zap.Logger
	Name   string // Of what is followed, for the log.
	Read   func(ctx context.Context) (T, error)
	Since  func(ctx context.Context, known T, wait time.Duration) (T, error)
	Wait   time.Duration // How long the store holds a question for changes.
	// Regained, if set, is called when the store answers again after a failure.
	Regained func()
}

// Run follows until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) error {
	var known T
	read := false
	pause := time.Duration(0)
	for ctx.Err() == nil {
		next, err := f.next(ctx, known, read)
		switch {
		case err == nil:
			known, read = next, true
			f.Apply(known)
			if pause > 0 {
				f.Logger.Info("store regained", zap.String("followed", f.Name))
				if f.Regained != nil {
					f.Regained()
				}
			}
			pause = 0
		case errors.Is(err, pollenfront.ErrHistoryGone):
			read = false
			f.Logger.Info("store history gone, reading everything", zap.String("followed", f.Name))
		case ctx.Err() == nil:
			if pause == 0 {
				pause = firstPause
				f.Logger.Warn("store lost", zap.String("followed", f.Name), zap.Error(err))
			}
			pause = min(2*pause, maxPause)
			program.Sleep(ctx, time.Duration(rand.Int64N(int64(pause)))) //nolint:gosec // Not for secrets.
		}
	}
	return ctx.Err()
}

// next returns the next state.
func (f *Follower[T]) next(ctx context.Context, known T, read bool) (T, error) {
	if !read {
		return f.Read(ctx)
	}
	return f.Since(ctx, known, f.Wait)
}
