// Package jobs drives the entry's scheduler: it passes on what callers submit
// and what agents report, and carries out what the scheduler decides.
//
// # Usage
//
//	j := jobs.New(self, store, registry, logger)
//	result := j.Submit(ctx, submission)
package jobs

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/observe"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// configWait is how long a request waits for the first configuration, which an
// entry that has just started reads within milliseconds.
const configWait = 300 * time.Millisecond

// claimTimeout bounds the claim of a job that may run only once.
const claimTimeout = time.Second

var _ pollenfront.Jobs = &Jobs{}

// Jobs are the jobs of an entry.
type Jobs struct {
	config     atomic.Pointer[pollenfront.Config]
	configured chan struct{}         // Closed when there is a configuration.
	greetings  map[string]greeting   // The newest, by agent.
	links      map[string]*agentLink // By agent.
	logger     *zap.Logger
	metrics    *metrics
	mu         sync.Mutex
	scheduler  *scheduler.Scheduler
	self       tasklink.Hello
	store      pollenfront.Store
	waiters    map[string]*waiter
	zonesOut   []string // That were logged.
}

// A waiter is a job with the callers that wait for it.
type waiter struct {
	arrived    time.Duration
	callers    []chan pollenfront.Result
	submission pollenfront.Submission
}

// New returns the jobs of an entry.
func New(self tasklink.Hello, store pollenfront.Store, registry *prometheus.Registry, logger *zap.Logger) *Jobs {
	return &Jobs{
		configured: make(chan struct{}),
		greetings:  make(map[string]greeting),
		links:      make(map[string]*agentLink),
		logger:     logger,
		metrics:    newMetrics(registry),
		scheduler:  scheduler.New(bootclock.Now(), self.Name, self.Zone),
		self:       self,
		store:      store,
		waiters:    make(map[string]*waiter),
	}
}

// Config implements pollenfront.Jobs.
func (j *Jobs) Config(ctx context.Context) *pollenfront.Config {
	if config := j.config.Load(); config != nil {
		return config
	}
	select {
	case <-j.configured:
	case <-ctx.Done():
	case <-time.After(configWait):
	}
	return j.config.Load()
}

// Pending implements pollenfront.Jobs.
func (j *Jobs) Pending(route pollenfront.Route) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.scheduler.PendingJobs(route.Name)
}

// RecordRefusal implements pollenfront.Jobs.
func (j *Jobs) RecordRefusal(id string, reason pollenfront.Reason, detail string) {
	j.metrics.malformed.WithLabelValues(string(reason)).Inc()
	j.logger.Info("request refused", zap.String("request", id), zap.String("reason", string(reason)), zap.String("detail", detail))
}

// Submit implements pollenfront.Jobs.
func (j *Jobs) Submit(ctx context.Context, sub pollenfront.Submission) pollenfront.Result {
	caller := make(chan pollenfront.Result, 1)
	if sub.AtMostOnce {
		if reason := j.claim(ctx, sub.ID); reason != "" {
			return pollenfront.Result{ID: sub.ID, Reason: reason, Verdict: pollenfront.VerdictUnknown}
		}
	}
	if !j.enter(sub, caller) {
		return pollenfront.Result{ID: sub.ID, Reason: pollenfront.ReasonConflict, Verdict: pollenfront.VerdictConflict}
	}
	select {
	case conclusion := <-caller:
		return conclusion
	case <-ctx.Done():
		j.leave(sub.ID, caller)
		return pollenfront.Result{ID: sub.ID, Reason: pollenfront.ReasonCallerLeft, Verdict: pollenfront.VerdictUnknown}
	}
}

// enter submits a job, or joins the caller to the same job if it is under way.
// It reports false if another job with its ID is under way.
func (j *Jobs) enter(sub pollenfront.Submission, caller chan pollenfront.Result) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if w, ok := j.waiters[sub.ID]; ok {
		if w.submission.Payload != sub.Payload || w.submission.Count != sub.Count || w.submission.Route.Name != sub.Route.Name {
			return false
		}
		w.callers = append(w.callers, caller)
		return true
	}
	now := bootclock.Now()
	j.waiters[sub.ID] = &waiter{arrived: now, callers: []chan pollenfront.Result{caller}, submission: sub}
	if observe.Sampled(sub.ID) {
		j.logger.Info("job taken", zap.String("request", sub.ID), zap.String("route", sub.Route.Name), zap.Uint64("config-version", j.configVersion()),
			zap.Int("tasks", sub.Count), zap.Duration("estimate", sub.Estimate), zap.Duration("time-limit", sub.TimeLimit), zap.Int("cpu", sub.Need.CPU))
	}
	j.perform(now, j.scheduler.Submit(now, sub))
	return true
}

// claim claims the ID of a job that may run only once. It returns why the job
// may not be run, or "".
func (j *Jobs) claim(ctx context.Context, id string) pollenfront.Reason {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := j.store.Claim(ctx, id)
	switch {
	case err == nil:
		return ""
	case errors.Is(err, pollenfront.ErrClaimed):
		return pollenfront.ReasonAlreadyClaimed
	}
	j.logger.Warn("claim failed", zap.String("request", id), zap.Error(err))
	return pollenfront.ReasonStoreUnavailable
}

// leave notes that a caller has left.
func (j *Jobs) leave(id string, caller chan pollenfront.Result) {
	j.mu.Lock()
	defer j.mu.Unlock()
	w, ok := j.waiters[id]
	if !ok {
		return
	}
	for i, c := range w.callers {
		if c == caller {
			w.callers = append(w.callers[:i], w.callers[i+1:]...)
			break
		}
	}
	if len(w.callers) > 0 {
		return
	}
	delete(j.waiters, id)
	now := bootclock.Now()
	j.metrics.left.Inc()
	j.logger.Info("caller left", zap.String("request", id), zap.Duration("after", now-w.arrived))
	j.perform(now, j.scheduler.Cancel(now, id))
}

// perform carries out what the scheduler decided. The caller holds mu.
func (j *Jobs) perform(now time.Duration, effects *scheduler.Effects) {
	for _, answer := range effects.Results {
		j.answer(now, answer)
	}
	for i := range effects.Placements {
		j.logPlacement(&effects.Placements[i])
	}
	for name, orders := range effects.Commands {
		link, ok := j.links[name]
		if !ok {
			continue
		}
		if err := link.Send(orders); err != nil {
			link.Close() // Its reader reports the loss.
		}
		j.scheduler.MarkSent(now, name)
	}
	j.logZonesOut()
}

// logZonesOut logs which zones are out of service when that has changed, by the
// store or by an agent that knew a newer list. The caller holds mu.
func (j *Jobs) logZonesOut() {
	notice := j.scheduler.DisabledZones()
	if !slices.Equal(notice.Zones, j.zonesOut) {
		j.zonesOut = notice.Zones
		j.logger.Info("zones out of service", zap.Strings("zones", notice.Zones), zap.Uint64("store-version", notice.Version))
	}
}

// answer tells the callers of a job how it ended.
func (j *Jobs) answer(now time.Duration, answer pollenfront.Result) {
	w, ok := j.waiters[answer.ID]
	if !ok {
		return
	}
	delete(j.waiters, answer.ID)
	for _, caller := range w.callers {
		caller <- answer
	}
	took := now - w.arrived
	j.metrics.answered(w.submission.Route.Name, answer, took)
	if answer.Verdict != pollenfront.VerdictCompleted || took > answer.Trace.Due || observe.Sampled(answer.ID) {
		j.logAnswer(w, answer, took)
	}
}

// configVersion returns the version of the configuration in force.
func (j *Jobs) configVersion() uint64 {
	if config := j.config.Load(); config != nil {
		return config.Version
	}
	return 0
}

// logPlacement logs why tasks were sent to a server, if the job is sampled or
// they had been sent before.
func (j *Jobs) logPlacement(p *scheduler.Placement) {
	if p.Run == 1 && !observe.Sampled(p.Job) {
		return
	}
	j.logger.Info("tasks placed", zap.String("request", p.Job), zap.String("server", p.Agent), zap.Int("tasks", p.Tasks), zap.Int("run", p.Run),
		zap.Duration("waited", p.Waited), zap.Duration("report-age", p.ReportAge), zap.Int("free-cpu", p.Free), zap.Float64("slowness", p.Slowness))
}

// logAnswer logs how a job ended and what took its time.
func (j *Jobs) logAnswer(w *waiter, answer pollenfront.Result, took time.Duration) {
	trace := answer.Trace
	j.logger.Info("job answered", zap.String("request", answer.ID), zap.Stringer("verdict", answer.Verdict),
		zap.String("reason", string(answer.Reason)), zap.String("detail", answer.Detail), zap.Duration("after", took), zap.Duration("due", trace.Due),
		zap.Duration("expected", trace.Expected), zap.Int("tasks", w.submission.Count), zap.Int("runs", trace.Runs),
		zap.String("last-server", trace.Server), zap.Duration("last-sent", trace.LastSent), zap.Duration("last-run", trace.LastRun))
}

// SetOperatorState puts the operators' orders in force.
func (j *Jobs) SetOperatorState(orders pollenfront.OperatorState) {
	for _, fault := range orders.DecodeErrors {
		j.logger.Warn("order not readable, the former one stays in force", zap.String("fault", fault), zap.Uint64("store-version", orders.Version))
	}
	if orders.Config != nil {
		former := j.config.Swap(orders.Config)
		if former == nil {
			close(j.configured)
		}
		if former == nil || former.Version != orders.Config.Version {
			j.logger.Info("configuration in force", zap.Uint64("version", orders.Config.Version), zap.Int("routes", len(orders.Config.Routes)))
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	notice := tasklink.DisabledZones{Version: orders.Version, Zones: orders.DisabledZones}
	j.perform(bootclock.Now(), j.scheduler.SetDisabledZones(notice))
}

// SetRemoteFactor sets the multiple of its run time that a task takes away from
// its job's data.
func (j *Jobs) SetRemoteFactor(factor float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.scheduler.SetRemoteFactor(factor)
}

// SetEntries takes the entries that share the backend servers.
func (j *Jobs) SetEntries(entries pollenfront.Entries) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.scheduler.SetEntries(slices.Collect(maps.Values(entries.Records)))
}

// Run lets time pass for the jobs until ctx ends.
func (j *Jobs) Run(ctx context.Context) error {
	ticker := time.NewTicker(scheduler.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			j.tick()
		}
	}
}

// tick lets time pass.
func (j *Jobs) tick() {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := bootclock.Now()
	j.perform(now, j.scheduler.Tick(now))
	j.forgetGreetings(now)
	for _, agent := range j.scheduler.SilentAgents(now) {
		if link, ok := j.links[agent.Name]; ok {
			j.logger.Warn("agent silent", zap.String("agent", agent.Name))
			link.Close()
		}
	}
}

// AbortAll gives up all jobs, since the entry ends.
func (j *Jobs) AbortAll() {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := bootclock.Now()
	j.perform(now, j.scheduler.AbortAll(now, pollenfront.ReasonStopping))
}

// Waiting returns the number of jobs that callers wait for.
func (j *Jobs) Waiting() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.waiters)
}

// Ready reports whether jobs can be served.
func (j *Jobs) Ready() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.config.Load() != nil && j.scheduler.UsableAgents(bootclock.Now()) > 0
}

// Dump returns the state of the jobs for people to read.
func (j *Jobs) Dump() any {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.scheduler.Dump(bootclock.Now())
}
