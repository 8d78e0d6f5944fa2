// Package jobs drives the entry's scheduler: it passes the submissions of callers
// and the updates of agents to the scheduler, and carries out the effects that the
// scheduler returns.
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
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/observe"
	"github.com/pollenfront/pollenfront/program"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// firstConfigTimeout is how long a request waits for the first configuration. An
// entry that has just started reads it within milliseconds.
const firstConfigTimeout = 300 * time.Millisecond

// claimTimeout is the timeout of the store call that claims the ID of an at-most-once
// job.
const claimTimeout = time.Second

var _ pollenfront.Jobs = &Jobs{}

// Jobs drives the scheduler of an entry. It serializes all events for the scheduler
// and carries out the effects that the scheduler returns.
type Jobs struct {
	config atomic.Pointer[pollenfront.Config]
	// configured is closed once there is a configuration.
	configured chan struct{}
	// handling is the job that is being passed to the scheduler, or nil.
	handling *pollenfront.Submission
	// invalidPeers are the agents whose invalid estimates of interference were logged.
	invalidPeers map[string]bool
	// hellos maps the name of each agent to the record of its newest hello.
	hellos map[string]helloRecord
	// links maps the name of each linked agent to its link.
	links map[string]*agentLink
	// loggedConfined lists the confined routes that were logged last.
	loggedConfined []string
	// loggedZones lists the disabled zones that were logged last.
	loggedZones []string
	logger      *zap.Logger
	// loggedShares is when the fair shares were logged last.
	loggedShares time.Duration
	metrics      *metrics
	// mu guards the fields that change after New, but for config.
	mu program.Guard
	// nextCopy is the time from which the next copy of the configuration may be sent to an
	// agent.
	nextCopy time.Duration
	// offered is the newest copy of the configuration that agents keep, until one is read
	// from the store.
	offered *pollenfront.Config
	// offeredAt is the time at which the first copy arrived.
	offeredAt time.Duration
	scheduler *scheduler.Scheduler
	// self is the hello of this entry.
	self  tasklink.Hello
	store pollenfront.Store
	// storeFailed is set once a configuration could not be read from the store.
	storeFailed bool
	// storeRead is set once a configuration was read from the store.
	storeRead bool
	// submissions maps the ID of each job without a result to its submission.
	submissions map[string]*activeSubmission
}

// An activeSubmission is a job that has no result yet, with the callers that wait
// for it.
type activeSubmission struct {
	arrivedAt time.Duration
	// callers holds a channel with a buffer of one result for each caller, so
	// that sending the result never blocks.
	callers    []chan pollenfront.Result
	submission pollenfront.Submission
}

// New returns the Jobs of the entry that self describes. It registers its metrics
// with registry.
func New(self tasklink.Hello, store pollenfront.Store, registry *prometheus.Registry, logger *zap.Logger) *Jobs {
	j := &Jobs{
		configured:   make(chan struct{}),
		hellos:       make(map[string]helloRecord),
		invalidPeers: make(map[string]bool),
		links:        make(map[string]*agentLink),
		logger:       logger,
		metrics:      newMetrics(registry),
		scheduler:    scheduler.New(bootclock.Now(), self.Name, self.Zone),
		self:         self,
		store:        store,
		submissions:  make(map[string]*activeSubmission),
	}
	j.mu.OnPanic = j.reportPanic
	return j
}

// Config implements pollenfront.Jobs.
func (j *Jobs) Config(ctx context.Context) *pollenfront.Config {
	if config := j.config.Load(); config != nil {
		return config
	}
	select {
	case <-j.configured:
	case <-ctx.Done():
	case <-time.After(firstConfigTimeout):
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
	j.metrics.refusedRequests.WithLabelValues(string(reason)).Inc()
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
	if !j.submitOrJoin(sub, caller) {
		return pollenfront.Result{ID: sub.ID, Reason: pollenfront.ReasonConflict, Verdict: pollenfront.VerdictConflict}
	}
	select {
	case result := <-caller:
		return result
	case <-ctx.Done():
		j.removeCaller(sub.ID, caller)
		return pollenfront.Result{ID: sub.ID, Reason: pollenfront.ReasonCallerLeft, Verdict: pollenfront.VerdictUnknown}
	}
}

// submitOrJoin submits a job. If the same job was submitted before and has no result
// yet, it adds the caller to that submission instead. It returns false if another job
// with the same ID has no result yet.
func (j *Jobs) submitOrJoin(sub pollenfront.Submission, caller chan pollenfront.Result) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if job, ok := j.submissions[sub.ID]; ok {
		if job.submission.Payload != sub.Payload || job.submission.TaskCount != sub.TaskCount || job.submission.Route.Name != sub.Route.Name {
			return false
		}
		job.callers = append(job.callers, caller)
		return true
	}
	now := bootclock.Now()
	j.submissions[sub.ID] = &activeSubmission{arrivedAt: now, callers: []chan pollenfront.Result{caller}, submission: sub}
	if observe.Sampled(sub.ID) {
		j.logger.Info("job taken", zap.String("request", sub.ID), zap.String("route", sub.Route.Name), zap.Uint64("config-version", j.configVersion()),
			zap.Int("tasks", sub.TaskCount), zap.Duration("estimate", sub.Estimate), zap.Duration("time-limit", sub.TimeLimit), zap.Int("cpu", sub.Need.CPU))
	}
	j.handling = &sub
	j.applyEffects(now, j.scheduler.Submit(now, sub))
	j.handling = nil
	return true
}

// claim claims the ID of an at-most-once job. It returns the reason why the job must
// not run, or "" if it may.
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

// removeCaller updates a job after one of its callers has left. If no caller remains,
// it cancels the job.
func (j *Jobs) removeCaller(id string, caller chan pollenfront.Result) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job, ok := j.submissions[id]
	if !ok {
		return
	}
	for i, c := range job.callers {
		if c == caller {
			job.callers = append(job.callers[:i], job.callers[i+1:]...)
			break
		}
	}
	if len(job.callers) > 0 {
		return
	}
	delete(j.submissions, id)
	now := bootclock.Now()
	j.metrics.callersLeft.Inc()
	j.logger.Info("caller left", zap.String("request", id), zap.Duration("after", now-job.arrivedAt))
	j.applyEffects(now, j.scheduler.Cancel(now, id))
}

// applyEffects carries out the effects that the scheduler returned. The caller must
// hold mu.
func (j *Jobs) applyEffects(now time.Duration, effects *scheduler.Effects) {
	for _, result := range effects.Results {
		j.deliverResult(now, result)
	}
	for i := range effects.Placements {
		j.logPlacement(&effects.Placements[i])
	}
	for i := range effects.Withholdings {
		j.logWithholding(&effects.Withholdings[i])
	}
	for name, commands := range effects.Commands {
		link, ok := j.links[name]
		if !ok {
			continue
		}
		if err := link.Send(commands); err != nil {
			link.Close() // receiveUpdates then returns an error, and serveLink removes the link.
		}
		j.scheduler.MarkSent(now, name)
	}
	j.recordInvalidReports(effects.InvalidReports)
	j.recordInvalidShares(effects.InvalidShares)
	j.logDisabledZones()
	j.logConfinedRoutes()
	j.logInterference(effects)
}

// logConfinedRoutes logs the confined routes if they differ from those logged last. The
// caller must hold mu.
func (j *Jobs) logConfinedRoutes() {
	confined := j.scheduler.ConfinedRoutes()
	if !slices.Equal(confined, j.loggedConfined) {
		j.loggedConfined = confined
		j.logger.Warn("routes confined to few servers", zap.Strings("routes", confined))
	}
}

// logDisabledZones logs the disabled zones if they differ from those logged last. A
// newer list comes from the store or from an agent. The caller must hold mu.
func (j *Jobs) logDisabledZones() {
	disabled := j.scheduler.DisabledZones()
	if !slices.Equal(disabled.Zones, j.loggedZones) {
		j.loggedZones = disabled.Zones
		j.logger.Info("zones out of service", zap.Strings("zones", disabled.Zones), zap.Uint64("store-version", disabled.Version))
	}
}

// deliverResult sends the result of a job to its callers. mu must be held.
func (j *Jobs) deliverResult(now time.Duration, result pollenfront.Result) {
	job, ok := j.submissions[result.ID]
	if !ok {
		return
	}
	delete(j.submissions, result.ID)
	for _, caller := range job.callers {
		caller <- result
	}
	took := now - job.arrivedAt
	j.metrics.recordResult(job.submission.Route.Name, result, took)
	if result.Verdict != pollenfront.VerdictCompleted || took > result.Trace.Due || observe.Sampled(result.ID) {
		j.logResult(job, result, took)
	}
}

// logPlacement logs why tasks were sent to a server, if the job is sampled or one
// of the tasks was sent before.
func (j *Jobs) logPlacement(p *scheduler.Placement) {
	if p.MaxRunNumber == 1 && !observe.Sampled(p.Job) {
		return
	}
	j.logger.Info("tasks placed", zap.String("request", p.Job), zap.String("server", p.Agent), zap.Int("tasks", p.Tasks), zap.Int("run", p.MaxRunNumber),
		zap.Duration("waited", p.Waited), zap.Duration("report-age", p.ReportAge), zap.Int("free-cpu", p.FreeCPU), zap.Float64("slowness", p.Slowness))
}

// logResult logs the result of a job and where its time was spent.
func (j *Jobs) logResult(job *activeSubmission, result pollenfront.Result, took time.Duration) {
	trace := result.Trace
	j.logger.Info("job answered", zap.String("request", result.ID), zap.Stringer("verdict", result.Verdict),
		zap.String("reason", string(result.Reason)), zap.String("detail", result.Detail), zap.Duration("after", took), zap.Duration("due", trace.Due),
		zap.Duration("expected", trace.ExpectedRunTime), zap.Int("tasks", job.submission.TaskCount), zap.Int("runs", trace.Runs),
		zap.String("last-server", trace.LastServer), zap.Duration("last-sent", trace.LastSent), zap.Duration("last-run", trace.LastRunTime))
}

// SetOperatorState puts a new operator state in force. It logs the parts that could
// not be decoded, whose previous values stay in force.
func (j *Jobs) SetOperatorState(state pollenfront.OperatorState) {
	for _, decodeError := range state.DecodeErrors {
		j.logger.Warn("part of the operator state could not be decoded, its previous value stays in force", zap.String("fault", decodeError), zap.Uint64("store-version", state.Version))
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if state.Config != nil {
		j.setConfig(state.Config)
	}
	disabled := tasklink.DisabledZones{Version: state.Version, Zones: state.DisabledZones}
	j.applyEffects(bootclock.Now(), j.scheduler.SetDisabledZones(disabled))
}

// SetRemoteFactor sets the factor by which a task takes longer on a server that is
// not near its job's data.
func (j *Jobs) SetRemoteFactor(factor float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.scheduler.SetRemoteFactor(factor)
}

// SetEntries sets the registered entries, which share the backend servers.
func (j *Jobs) SetEntries(entries pollenfront.Entries) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.scheduler.SetEntries(slices.Collect(maps.Values(entries.Records)))
}

// Run ticks the scheduler every scheduler.TickInterval until ctx is done, and returns
// ctx.Err().
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

// tick ticks the scheduler, evicts old hellos and closes the links of silent agents.
func (j *Jobs) tick() {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := bootclock.Now()
	j.adoptConfig(now)
	j.sendCopies(now)
	j.applyEffects(now, j.scheduler.Tick(now))
	j.reportFairShares(now)
	j.evictHellos(now)
	j.metrics.sharedCPU.Set(float64(j.scheduler.SharedCapacity(now)))
	for _, agent := range j.scheduler.SilentAgents(now) {
		if link, ok := j.links[agent.Name]; ok {
			j.logger.Warn("agent silent", zap.String("agent", agent.Name))
			link.Close()
		}
	}
}

// AbortAll aborts all jobs with pollenfront.ReasonStopping.
func (j *Jobs) AbortAll() {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := bootclock.Now()
	j.applyEffects(now, j.scheduler.AbortAll(now, pollenfront.ReasonStopping))
}

// SubmissionCount returns the number of jobs that callers wait for.
func (j *Jobs) SubmissionCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.submissions)
}

// Ready reports whether there is a configuration and a usable agent, so that jobs
// can be served.
func (j *Jobs) Ready() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.config.Load() != nil && j.scheduler.UsableAgents(bootclock.Now()) > 0
}

// Dump returns the state of the scheduler for the debug endpoint.
func (j *Jobs) Dump() any {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.scheduler.Dump(bootclock.Now())
}
