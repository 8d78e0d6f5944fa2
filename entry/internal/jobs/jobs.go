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
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/callerconn"
	"github.com/pollenfront/pollenfront/observe"
	"github.com/pollenfront/pollenfront/program"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// firstConfigTimeout is how long a request waits for the first configuration. An
// entry that has just started reads it within milliseconds.
const firstConfigTimeout = 300 * time.Millisecond

var _ pollenfront.Jobs = &Jobs{}

// Jobs drives the scheduler of an entry. It serializes all events for the scheduler
// and carries out the effects that the scheduler returns.
type Jobs struct {
	// acceptedLinks is the number of links that were accepted from agents.
	acceptedLinks atomic.Uint64
	// cancelWaiters are the requests to cancel jobs that wait until the jobs are found.
	cancelWaiters []*cancelWaiter
	config        atomic.Pointer[pollenfront.Config]
	// conns watches the connections of callers. It may be nil.
	conns *callerconn.Watcher
	// configured is closed once there is a configuration.
	configured chan struct{}
	// draining is set when the entry takes no more jobs.
	draining bool
	// entries are the registered entries.
	entries map[string]pollenfront.EntryRecord
	faults  *observe.Faults
	// holdWatch reports events that take long.
	holdWatch *program.HoldWatch
	// handling is the job that is being passed to the scheduler, or nil.
	handling *pollenfront.Submission
	// hellos maps the name of each agent to the record of its newest hello.
	hellos map[string]helloRecord
	// links maps the name of each linked agent to its link.
	links map[string]*agentLink
	// loggedConfined lists the confined routes that were logged last.
	loggedConfined []string
	// loggedInvalidEstimates has the names of the agents of which invalid estimates of
	// interference were logged.
	loggedInvalidEstimates map[string]bool
	// loggedZones lists the disabled zones that were logged last.
	loggedZones []string
	logger      *zap.Logger
	metrics     *metrics
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
	// recent are the jobs that have ended shortly before.
	recent recentJobs
	saved  savedCancellations
	// reportedFairShares is when the fair shares were reported last.
	reportedFairShares time.Duration
	scheduler          *scheduler.Scheduler
	// self is the hello of this entry.
	self tasklink.Hello
	// silenceChecked is when beginEvent last looked for silent callers.
	silenceChecked time.Duration
	store          pollenfront.Store
	// storeFailed is set once a configuration could not be read from the store.
	storeFailed bool
	// storeRead is set once a configuration was read from the store.
	storeRead bool
	// submissions maps the ID of each job without a result to its submission.
	submissions map[string]*activeSubmission
	// watched maps the watched connections to the callers that wait on them.
	watched map[callerconn.ID]*waitingCaller
}

// New returns the Jobs of the entry that self describes. It registers its metrics
// with registry.
func New(self tasklink.Hello, store pollenfront.Store, registry *prometheus.Registry, logger *zap.Logger) *Jobs {
	j := &Jobs{
		configured:             make(chan struct{}),
		faults:                 observe.NewFaults(registry),
		hellos:                 make(map[string]helloRecord),
		links:                  make(map[string]*agentLink),
		loggedInvalidEstimates: make(map[string]bool),
		logger:                 logger,
		metrics:                newMetrics(registry),
		saved:                  savedCancellations{wake: make(chan struct{}, 1)},
		scheduler:              scheduler.New(bootclock.Now(), self.Name, self.Zone),
		self:                   self,
		store:                  store,
		submissions:            make(map[string]*activeSubmission),
		watched:                make(map[callerconn.ID]*waitingCaller),
	}
	j.holdWatch = program.NewHoldWatch(&j.mu, registry, logger)
	j.mu.OnPanic = j.reportPanic
	return j
}

// WatchCallers makes j cancel the jobs of callers whose connections are closed before it sends
// anything to agents.
func (j *Jobs) WatchCallers(conns *callerconn.Watcher) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.conns = conns
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

// SetOperatorState puts a new operator state in force. It logs the parts that could
// not be decoded, whose previous values stay in force.
func (j *Jobs) SetOperatorState(state pollenfront.OperatorState) {
	for _, decodeError := range state.DecodeErrors {
		if !j.faults.Count("operator-state", "", decodeError) {
			continue
		}
		j.logger.Warn("part of the operator state could not be decoded, its previous value stays in force", zap.String("fault", decodeError), zap.Uint64("store-version", state.Version))
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case state.Config != nil:
		j.setConfig(state.Config)
	case len(state.DecodeErrors) > 0:
		j.storeFailed = true // The copies that agents keep are the newest configuration that can be read.
	}
	disabled := tasklink.DisabledZones{Version: state.Version, Zones: state.DisabledZones}
	j.applyEffects(j.beginEvent(), j.scheduler.SetDisabledZones(disabled))
}

// SetRemoteFactor sets the factor by which a task takes longer on a server that is
// not near its job's data.
func (j *Jobs) SetRemoteFactor(factor float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.scheduler.SetRemoteFactor(factor)
}

// SetEntries sets the registered entries, which share the backend servers. It records the
// rows that are no records of entries.
func (j *Jobs) SetEntries(entries pollenfront.Entries) {
	j.faults.RecordRows(j.logger, "entries", entries.InvalidRows)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.entries != nil && maps.Equal(j.entries, entries.Records) {
		return
	}
	j.entries = entries.Records
	j.scheduler.SetEntries(slices.Collect(maps.Values(entries.Records)))
}

// WatchEvents reports events that take long until ctx is done, and returns ctx.Err().
func (j *Jobs) WatchEvents(ctx context.Context) error {
	return j.holdWatch.Run(ctx)
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
	now := j.beginEvent()
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
