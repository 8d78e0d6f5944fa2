// Package driver connects the agent's executor, which does no I/O of its own,
// to the entries, the backend server and the store. It passes the commands of
// entries and the responses of the backend server to the executor, and carries
// out the effects that the executor returns.
//
// # Usage
//
//	d := driver.New(self, server, store, registry, logger)
//	err := d.Run(ctx)
package driver

import (
	"context"
	"errors"
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

// maxStartDelay is the longest time between the decision to send a start request and the
// sending.
const maxStartDelay = 200 * time.Millisecond

// stateLogInterval is the time between two log lines about the server's state.
const stateLogInterval = 5 * time.Second

// A Server is a backend server to which requests can be addressed by
// incarnation.
type Server interface {
	pollenfront.BackendServer

	// SetInstance sets the instance ID of the incarnation that later requests
	// are addressed to. With an empty ID, any incarnation may respond to them.
	SetInstance(id string)
}

// A Driver runs the executor of an agent. Its mutex guards the executor, since
// an Executor is not safe for concurrent use, and the fields that change after
// New.
type Driver struct {
	// announcement is the newest announcement to be saved in the store.
	announcement pollenfront.Announcement
	// announcedState is the state that was logged with the newest announcement.
	announcedState tasklink.State
	// capacityReduced is whether the log tells that the backend server provides less than it
	// announces.
	capacityReduced bool
	// config is the newest configuration that an entry has sent. It is kept for entries
	// that start while the store is unavailable.
	config   *pollenfront.Config
	executor *executor.Executor
	faults   *observe.Faults
	// holdWatch reports events that take long.
	holdWatch *program.HoldWatch
	// instance is the ID of the instance of the backend server that was announced last,
	// or empty if none was.
	instance string
	// lastLinkSeqNum is the sequence number of the newest link to any entry. The
	// hello on each link carries the number of that link.
	lastLinkSeqNum uint64
	// links holds the open links by the name of the entry.
	links   map[string]*entryLink
	logger  *zap.Logger
	metrics *metrics
	mu      program.Guard
	// recordedToken is the highest fencing token that this process has recorded in the store.
	recordedToken uint64
	// recordingToken is whether a token is being recorded.
	recordingToken bool
	// renewalFailed is whether the newest renewal of the lease failed.
	renewalFailed bool
	// renewNow holds a value when the next renewal is to be sent without the delay after a failed
	// one.
	renewNow chan struct{}
	// savedAnnouncement is the announcement that the store last accepted.
	savedAnnouncement pollenfront.Announcement
	// saving is whether an announcement is being written to the store.
	saving bool
	// self is the hello of this agent, without the fields that differ between
	// links.
	self   tasklink.Hello
	server Server
	// started is the time of the boot clock at which New was called.
	started time.Duration
	store   pollenfront.Store
	// tokenRaised holds a value when the next renewal is to be sent at once, as the fencing token
	// was raised above those of former processes.
	tokenRaised chan struct{}
}

// New returns the driver of the agent that self describes. The fencing tokens
// of its requests start at the agent's incarnation, or above those of former processes once the
// store or an entry has told of them.
func New(self tasklink.Hello, server Server, store pollenfront.Store, registry *prometheus.Registry, logger *zap.Logger) *Driver {
	d := &Driver{
		executor: executor.New(self.Name, self.Service, self.Zone, self.Incarnation),
		faults:   observe.NewFaults(registry),
		links:    make(map[string]*entryLink),
		logger:   logger,
		metrics:  newMetrics(registry),
		renewNow: make(chan struct{}, 1),
		self:     self,
		server:   server,
		started:  bootclock.Now(),
		store:    store,

		tokenRaised: make(chan struct{}, 1),
	}
	d.holdWatch = program.NewHoldWatch(&d.mu, registry, logger)
	return d
}

// WatchEvents reports events that take long until ctx is done, and returns ctx.Err().
func (d *Driver) WatchEvents(ctx context.Context) error {
	return d.holdWatch.Run(ctx)
}

// Run renews the lease, passes ticks to the executor, sends regular updates to
// the entries and logs the state, until ctx is done. It returns ctx.Err().
func (d *Driver) Run(ctx context.Context) error {
	d.handleEvent(bootclock.Now(), func() executor.Effects { return executor.Effects{} }) // Records the fencing token.
	go d.renewLease(ctx)
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
		d.handleEvent(now, func() executor.Effects { return d.executor.Tick(now) })
		if now-updated >= executor.UpdateInterval-executor.TickInterval/2 {
			updated = now
			d.sendUpdates(now)
		}
		if now-logged >= stateLogInterval {
			logged = now
			d.logState(now)
		}
	}
}

// handleEvent calls handler, which passes an event to the executor, and carries
// out the effects that it returns.
func (d *Driver) handleEvent(now time.Duration, handler func() executor.Effects) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyEffects(now, handler())
}

// applyEffects carries out the effects that the executor returned. The caller must
// hold mu.
func (d *Driver) applyEffects(now time.Duration, effects executor.Effects) {
	for _, announcement := range effects.Announced {
		d.adoptAnnouncement(announcement)
	}
	if effects.RenewNow {
		notify(d.renewNow)
	}
	if effects.TokenRaise != nil {
		notify(d.tokenRaised)
	}
	for _, crash := range effects.Crashes {
		d.recordCrash(crash)
	}
	d.recordConclusions(&effects)
	d.recordToken()
	d.recordInvalidDemands(effects.InvalidDemands)
	for i := range effects.Ended {
		d.recordRunEnd(&effects.Ended[i])
	}
	for _, request := range effects.Starts {
		d.metrics.startRequests.Inc()
		go d.startRun(now, request, effects.RerunOf(request.Run))
	}
	for _, request := range effects.Stops {
		d.metrics.stopRequests.Inc()
		go d.stopRun(request)
	}
	d.recordCapacity(now)
	for _, entry := range effects.Notify {
		d.sendUpdate(now, entry)
	}
}

// sendUpdate sends an update to an entry if it is linked. The caller must hold
// mu.
func (d *Driver) sendUpdate(now time.Duration, entry string) {
	link, ok := d.links[entry]
	if !ok {
		return
	}
	update, ok := d.executor.NextUpdate(now, entry)
	if !ok {
		return
	}
	if link.needsConfig && d.config != nil {
		link.needsConfig = false
		update.Config = d.config
	}
	if err := link.Send(&update); err != nil {
		link.Close() // Dial logs the loss of the link.
	}
}

// recordRunEnd counts a run that has ended and logs it. It does not log a completed
// run that is reported to its entry, unless the job is sampled.
func (d *Driver) recordRunEnd(e *executor.EndedRun) {
	d.metrics.runsEnded.WithLabelValues(string(e.Ending)).Inc()
	d.metrics.runEvidence.WithLabelValues(string(e.Evidence)).Inc()
	if e.Ending == pollenfront.EndingDone && e.Reported && !observe.Sampled(e.Run.Job) {
		return
	}
	d.logger.Info("run ended", zap.String("request", e.Run.Job), zap.Int("task", e.Run.Index), zap.Int("run", e.Run.Number),
		zap.String("ending", string(e.Ending)), zap.String("reason", e.Reason), zap.Float64("seconds", e.Seconds), zap.String("entry", e.Entry),
		zap.Bool("told", e.Reported), zap.String("evidence", string(e.Evidence)), zap.Float64("evidence-age", e.EvidenceAge.Seconds()))
}

// recordCrash counts a crash of the backend server and logs the runs that it may have
// taken along.
func (d *Driver) recordCrash(crash executor.ServerCrash) {
	d.metrics.serverCrashes.Inc()
	d.metrics.crashedRuns.Add(float64(len(crash.Runs)))
	d.logger.Warn("backend server crashed", zap.Uint64("incarnation", crash.Incarnation), zap.Int("runs", len(crash.Runs)))
	for _, r := range crash.Runs {
		d.logger.Info("run on crashed server", zap.String("request", r.Run.Job), zap.Int("task", r.Run.Index), zap.Int("run", r.Run.Number),
			zap.Float64("age", r.Age.Seconds()), zap.Bool("started", r.Started), zap.String("entry", r.Entry))
	}
}

// logState logs the state of the backend server as the agent reports it to the
// entries.
func (d *Driver) logState(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	report := d.executor.Report(now)
	d.logger.Info("state", zap.Uint8("state", uint8(report.State)), zap.Int("free-cpu", report.Free.CPU), zap.Int("cpu", report.Capacity.CPU),
		zap.Int("effective-cpu", report.EffectiveCapacity.CPU), zap.Ints("waits-ms", report.Waits), zap.Float64("slowness", report.Slowness), zap.Float64("fail-rate", report.FailRate),
		zap.Int("entries", len(d.links)))
}

// sendUpdates sends an update to each linked entry.
func (d *Driver) sendUpdates(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for entry := range d.links {
		d.sendUpdate(now, entry)
	}
}

// startRun asks the backend server to start a run and passes the response to the
// executor. Failed requests are logged, and so are those of sampled jobs and those for which
// rerun is not nil. A request that the
// executor decided on more than maxStartDelay before is not sent: the process was suspended
// meanwhile, and the server may have been restarted.
func (d *Driver) startRun(decided time.Duration, request pollenfront.StartRequest, rerun *executor.Rerun) {
	if now := bootclock.Now(); now-decided > maxStartDelay {
		d.handleEvent(now, func() executor.Effects {
			return d.executor.HandleStartResponse(now, request, 0, pollenfront.ErrNotSent)
		})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.Timeout)
	defer cancel()
	if rerun != nil {
		d.logRerun(&request, rerun)
	}
	sent := bootclock.Now()
	clock, err := d.server.Start(ctx, request)
	if errors.Is(err, pollenfront.ErrNoCapacity) {
		d.metrics.startsRejected.Inc()
	}
	if err != nil || observe.Sampled(request.Run.Job) {
		d.logger.Info("start answered", zap.String("request", request.Run.Job), zap.Int("task", request.Run.Index),
			zap.Int("run", request.Run.Number), zap.Uint64("token", request.Token), zap.Duration("lease-end", request.LeaseExpiry),
			zap.Duration("after", bootclock.Now()-sent), zap.Error(err))
	}
	now := bootclock.Now()
	d.handleEvent(now, func() executor.Effects { return d.executor.HandleStartResponse(now, request, clock, err) })
}

// logRerun logs a start that may be the second one of its task when it is sent. The end of the
// lease is a time on the server's clock.
func (d *Driver) logRerun(request *pollenfront.StartRequest, rerun *executor.Rerun) {
	d.logger.Info("task started again", zap.String("request", request.Run.Job), zap.Int("task", request.Run.Index), zap.Int("run", request.Run.Number),
		zap.String("entry", rerun.Entry), zap.Int("attempt", rerun.Attempt), zap.Uint64("token", request.Token), zap.Uint64("incarnation", request.Incarnation),
		zap.Duration("lease-end", request.LeaseExpiry), zap.Duration("lease", rerun.Lease), zap.Duration("echo-age", rerun.EchoAge))
}

// stopRun asks the backend server to stop a run and passes the response to the
// executor, which repeats a stop that failed.
func (d *Driver) stopRun(request executor.StopRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), executor.StopTimeout)
	defer cancel()
	clock, err := d.server.Stop(ctx, request.Run, request.Token)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.logger.Info("stop not done", zap.String("request", request.Run.Job), zap.Int("task", request.Run.Index),
			zap.Int("run", request.Run.Number), zap.Error(err))
	}
	now := bootclock.Now()
	d.applyEffects(now, d.executor.HandleStopResponse(now, request, clock, err))
}

// Drain returns the queued tasks to their entries and refuses new ones. It then
// waits until no run is left or ctx is done.
func (d *Driver) Drain(ctx context.Context) {
	now := bootclock.Now()
	d.handleEvent(now, func() executor.Effects { return d.executor.Drain(now) })
	for ctx.Err() == nil && !d.idle() {
		program.Sleep(ctx, executor.TickInterval)
	}
}

// idle reports whether the executor has no run left.
func (d *Driver) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.executor.Idle()
}

// Dump returns the state of the executor for the debug endpoint.
func (d *Driver) Dump() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.executor.Dump(bootclock.Now())
}
