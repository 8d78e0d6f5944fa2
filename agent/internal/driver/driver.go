// Package driver drives the agent's executor: it passes on what entries order
// and what the backend server says, and carries out what the executor decides.
//
// # Usage
//
//	d := driver.New(self, server, store, registry, logger)
//	err := d.Run(ctx)
package driver

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/observe"
	"github.com/pollenfront/pollenfront/program"
	"github.com/pollenfront/pollenfront/tasklink"
)

// stateInterval is the time between two lines of the log on the state.
const stateInterval = 5 * time.Second

// A Server is a backend server whose incarnation can be named.
type Server interface {
	pollenfront.BackendServer

	// SetInstance names the incarnation that orders are meant for.
	SetInstance(id string)
}

// A Driver drives the executor of an agent.
type Driver struct {
	executor  *executor.Executor
	linkCount uint64                // Links to any entry since the start.
	links     map[string]*entryLink // By entry.
	logger    *zap.Logger
	lost      bool // Whether the newest renewal failed.
	metrics   *metrics
	mu        sync.Mutex
	self      tasklink.Hello
	server    Server
	started   time.Duration
	store     pollenfront.Store
	writing   bool                     // Whether written is about to change.
	written   pollenfront.Announcement // The newest that the store has taken.
}

// New returns the work of the agent that self describes. Its orders carry
// fencing tokens from the incarnation upwards.
func New(self tasklink.Hello, server Server, store pollenfront.Store, registry *prometheus.Registry, logger *zap.Logger) *Driver {
	return &Driver{
		executor: executor.New(self.Service, self.Zone, self.Incarnation),
		links:    make(map[string]*entryLink),
		logger:   logger,
		metrics:  newMetrics(registry),
		self:     self,
		server:   server,
		started:  bootclock.Now(),
		store:    store,
	}
}

// Run renews the lease and lets time pass until ctx ends.
func (w *Driver) Run(ctx context.Context) error {
	go w.renew(ctx)
	ticker := time.NewTicker(executor.TickInterval)
	defer ticker.Stop()
	updated := bootclock.Now()
	logged := updated
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		now := bootclock.Now()
		w.apply(now, func() executor.Effects { return w.executor.Tick(now) })
		if now-updated >= executor.UpdateInterval-executor.TickInterval/2 {
			updated = now
			w.updateAll(now)
		}
		if now-logged >= stateInterval {
			logged = now
			w.logState(now)
		}
	}
}

// apply applies an event and carries out its effects.
func (w *Driver) apply(now time.Duration, event func() executor.Effects) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.perform(now, event())
}

// perform carries out what the executor decided. The caller holds mu.
func (w *Driver) perform(now time.Duration, effects executor.Effects) {
	for i := range effects.Ended {
		w.logEnded(&effects.Ended[i])
	}
	for _, order := range effects.Starts {
		w.metrics.starts.Inc()
		go w.start(order)
	}
	for _, order := range effects.Stops {
		w.metrics.stops.Inc()
		go w.stop(order)
	}
	for _, name := range effects.Notify {
		w.update(now, name)
	}
}

// update sends an update to an entry. The caller holds mu.
func (w *Driver) update(now time.Duration, name string) {
	link, ok := w.links[name]
	if !ok {
		return
	}
	update, ok := w.executor.Update(now, name)
	if !ok {
		return
	}
	if err := link.Send(&update); err != nil {
		link.Close() // Its reader reports the loss.
	}
}

// logEnded counts and logs a run that has ended.
func (w *Driver) logEnded(e *executor.EndedRun) {
	w.metrics.ends.WithLabelValues(string(e.Ending)).Inc()
	if e.Ending == pollenfront.EndingDone && e.Reported && !observe.Sampled(e.Run.Job) {
		return
	}
	w.logger.Info("run ended", zap.String("request", e.Run.Job), zap.Int("task", e.Run.Index), zap.Int("run", e.Run.Number),
		zap.String("ending", string(e.Ending)), zap.String("reason", e.Reason), zap.Float64("seconds", e.Seconds), zap.String("entry", e.Entry),
		zap.Bool("told", e.Reported))
}

// logState logs what the agent believes of its server.
func (w *Driver) logState(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.executor.Report(now)
	w.logger.Info("state", zap.Uint8("state", uint8(r.State)), zap.Int("free-cpu", r.Free.CPU), zap.Int("cpu", r.Capacity.CPU), zap.Ints("waits-ms", r.Waits),
		zap.Float64("slowness", r.Slowness), zap.Float64("fail-rate", r.FailRate), zap.Int("entries", len(w.links)))
}

// updateAll sends an update to each entry.
func (w *Driver) updateAll(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.links {
		w.update(now, name)
	}
}

// start orders the server to start a run.
func (w *Driver) start(order pollenfront.StartRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), order.Timeout)
	defer cancel()
	began := bootclock.Now()
	clock, err := w.server.Start(ctx, order)
	if err != nil || observe.Sampled(order.Run.Job) {
		w.logger.Info("start answered", zap.String("request", order.Run.Job), zap.Int("task", order.Run.Index),
			zap.Int("run", order.Run.Number), zap.Duration("after", bootclock.Now()-began), zap.Error(err))
	}
	now := bootclock.Now()
	w.apply(now, func() executor.Effects { return w.executor.HandleStartResponse(now, order, clock, err) })
}

// stop orders the server to stop a run.
func (w *Driver) stop(order executor.StopRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), executor.StopTimeout)
	defer cancel()
	clock, err := w.server.Stop(ctx, order.Run, order.Token)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.logger.Info("stop not done", zap.String("request", order.Run.Job), zap.Int("task", order.Run.Index),
			zap.Int("run", order.Run.Number), zap.Error(err))
	}
	w.executor.HandleStopResponse(bootclock.Now(), order.Run, clock, err)
}

// Drain returns what is queued, and waits until nothing runs or ctx ends.
func (w *Driver) Drain(ctx context.Context) {
	now := bootclock.Now()
	w.apply(now, func() executor.Effects { return w.executor.Drain(now) })
	for ctx.Err() == nil && !w.idle() {
		program.Sleep(ctx, executor.TickInterval)
	}
}

// idle reports whether nothing runs.
func (w *Driver) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.executor.Idle()
}

// Dump returns the state of the work for people to read.
func (w *Driver) Dump() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.executor.Dump(bootclock.Now())
}
