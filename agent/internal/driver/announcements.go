package driver

import (
	"context"
	"reflect"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/program"
)

// Limits on what is remembered of the server.
const (
	// recallPause is the time between two attempts to read from the store.
	recallPause = 200 * time.Millisecond
	// rememberTimeout bounds one write to the store.
	rememberTimeout = time.Second
)

// HandleAnnouncement takes an announcement of the server.
func (w *Driver) HandleAnnouncement(a pollenfront.Announcement) {
	now := bootclock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	former := w.executor.State()
	effects, taken := w.executor.HandleAnnouncement(now, a)
	if taken {
		w.server.SetInstance(a.Instance)
		w.remember(a)
	}
	if state := w.executor.State(); state != former {
		w.logger.Info("backend server announced", zap.String("instance", a.Instance), zap.Uint64("incarnation", a.Incarnation), zap.Uint8("state", uint8(state)),
			zap.Int("cpu", a.Capacity.CPU))
	}
	w.perform(now, effects)
}

// remember writes what the server announced for the next incarnation of this
// agent, if it differs from what was written. The caller holds mu.
func (w *Driver) remember(a pollenfront.Announcement) {
	a.Clock, a.Sequence = 0, 0
	if reflect.DeepEqual(a, w.written) || w.writing {
		return
	}
	w.writing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rememberTimeout)
		defer cancel()
		err := w.store.SaveAnnouncement(ctx, w.self.Name, a)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.writing = false
		if err != nil {
			w.logger.Info("server not remembered", zap.Error(err)) // The next announcement tries again.
			return
		}
		w.written = a
	}()
}

// RestoreAnnouncement reads what the server had announced to an earlier incarnation of this
// agent, until that is known or the server announces itself.
func (w *Driver) RestoreAnnouncement(ctx context.Context) {
	for ctx.Err() == nil && !w.known() {
		a, found, err := w.store.LoadAnnouncement(ctx, w.self.Name)
		if err != nil {
			program.Sleep(ctx, recallPause)
			continue
		}
		if found {
			now := bootclock.Now()
			w.logger.Info("server recalled", zap.String("instance", a.Instance), zap.Uint64("incarnation", a.Incarnation))
			w.server.SetInstance(a.Instance)
			w.apply(now, func() executor.Effects { return w.executor.RestoreAnnouncement(now, a) })
		}
		return
	}
}

// known reports whether the server has announced itself.
func (w *Driver) known() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.executor.ServerAnnounced()
}

// HandleDeregistration takes the notice that the server ends.
func (w *Driver) HandleDeregistration(instance string) {
	w.logger.Info("backend server left", zap.String("instance", instance))
	now := bootclock.Now()
	w.apply(now, func() executor.Effects { return w.executor.HandleDeregistration(now) })
}

// HandleInvalidAnnouncement takes an announcement that can't be used.
func (w *Driver) HandleInvalidAnnouncement(instance string, err error) {
	w.metrics.ignored.Inc()
	w.logger.Warn("announcement ignored", zap.String("instance", instance), zap.Error(err))
}
