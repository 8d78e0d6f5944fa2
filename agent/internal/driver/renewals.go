package driver

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/program"
)

// renew renews the lease on what the server runs, again and again until ctx ends.
func (w *Driver) renew(ctx context.Context) {
	for ctx.Err() == nil {
		sent := bootclock.Now()
		w.mu.Lock()
		order := w.executor.NextRenewal(sent)
		w.mu.Unlock()
		answered := make(chan error, 1)
		go func() { answered <- w.renewOnce(ctx, sent, order) }()
		select {
		case err := <-answered:
			if err != nil {
				program.Sleep(ctx, executor.RenewalRetryDelay)
			}
		case <-time.After(order.Interval):
		}
	}
}

// logReached logs that the server is lost or regained.
func (w *Driver) logReached(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost == (err != nil) {
		return
	}
	w.lost = err != nil
	if w.lost {
		w.logger.Warn("backend server lost", zap.Error(err))
		return
	}
	w.logger.Info("backend server regained")
}

// renewOnce renews the lease once.
func (w *Driver) renewOnce(ctx context.Context, sent time.Duration, order pollenfront.RenewalRequest) error {
	ctx, cancel := context.WithTimeout(ctx, order.Timeout)
	defer cancel()
	reply, err := w.server.Renew(ctx, order)
	w.logReached(err)
	switch {
	case err == nil:
		now := bootclock.Now()
		w.apply(now, func() executor.Effects { return w.executor.HandleRenewal(now, sent, &reply) })
	case errors.Is(err, pollenfront.ErrReplaced):
		w.server.SetInstance("") // Until it announces itself.
	case errors.Is(err, pollenfront.ErrFenced):
		w.mu.Lock()
		w.executor.HandleRenewalFenced()
		w.mu.Unlock()
	default:
		now := bootclock.Now()
		w.apply(now, func() executor.Effects { return w.executor.HandleRenewalError(now, err) })
	}
	return err
}
