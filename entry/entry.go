package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/callerconn"
	"github.com/pollenfront/pollenfront/entry/internal/callers"
	"github.com/pollenfront/pollenfront/entry/internal/jobs"
	"github.com/pollenfront/pollenfront/observe"
	"github.com/pollenfront/pollenfront/platform"
	"github.com/pollenfront/pollenfront/program"
	"github.com/pollenfront/pollenfront/settings"
	"github.com/pollenfront/pollenfront/storewatch"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Delays and timeouts of an entry.
const (
	// balancerDelay is how long a stopping entry keeps taking jobs. The load
	// balancer needs two seconds to notice that the entry is not ready.
	balancerDelay     = 2200 * time.Millisecond
	callerIdleTimeout = 2 * time.Minute
	// entriesPollTimeout is how long the store may hold a poll for changes to
	// the entries. It is long, since entries change rarely.
	entriesPollTimeout = 5 * time.Second
	// finalAnswerDelay is how long a stopping entry waits for the answers of
	// aborted jobs to be written.
	finalAnswerDelay = 100 * time.Millisecond
	// operatorStatePollTimeout is how long the store may hold a poll for
	// changes to the operator state. It is short, since a dead connection is
	// only noticed when a poll times out.
	operatorStatePollTimeout = 700 * time.Millisecond
	readHeaderTimeout        = 3 * time.Second
	// registerTimeout is the timeout of one attempt to register.
	registerTimeout = time.Second
	// stopMargin is the part of the stop limit that is reserved for answering
	// aborted jobs and exiting.
	stopMargin = 400 * time.Millisecond
)

// An entry is the process that takes jobs from callers and places their tasks.
type entry struct {
	jobs    *jobs.Jobs
	logger  *zap.Logger
	process *observe.Process
	// record is what the entry registers in the store.
	record       pollenfront.EntryRecord
	settings     settings.Entry
	settingsFile string
	// stopping is set when the entry starts to drain.
	stopping atomic.Bool
	store    pollenfront.Store
}

// load reads and checks the settings in file. It returns a function that runs the
// entry until its context is done.
func load(file string) (func(context.Context) error, error) {
	var s settings.Entry
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	return newEntry(file, s, observe.NewProcess("entry", s.Name, os.Stdout)).run, nil
}

// newEntry returns an entry with the settings s, which were read from file. Its
// incarnation is the wall-clock time in milliseconds, so that a restarted entry has a
// higher one.
func newEntry(file string, s settings.Entry, process *observe.Process) *entry {
	incarnation := uint64(time.Now().UnixMilli()) //nolint:gosec // The current time is not negative.
	store := platform.NewStore(s.Store)
	hello := tasklink.Hello{Incarnation: incarnation, Name: s.Name, Version: tasklink.Version, Zone: s.Zone}
	j := jobs.New(hello, store, process.Registry, process.Logger)
	j.SetRemoteFactor(s.RemoteFactor)
	j.SetFairShares(s.FairShares)
	if s.DemandShares {
		j.EnableDemandShares()
	}
	j.SetInterference(s.Interference)
	return &entry{
		jobs:         j,
		logger:       process.Logger,
		process:      process,
		record:       pollenfront.EntryRecord{Address: s.Advertise, Incarnation: incarnation, Name: s.Name, Zone: s.Zone},
		settings:     s,
		settingsFile: file,
		store:        store,
	}
}

// run runs the entry until ctx is done and the entry has drained, or until one of its
// parts ends.
func (e *entry) run(ctx context.Context) error {
	listener, err := net.Listen("tcp", e.settings.Links)
	if err != nil {
		return merry.Prepend(err, "listen for agents")
	}
	conns, err := callerconn.NewWatcher()
	if err != nil {
		return merry.Prepend(err, "watch callers")
	}
	e.jobs.WatchCallers(conns)
	checkCallerWatch(e.process.Registry, e.logger)
	partsCtx, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	var group run.Group
	group.Add(func() error { return e.jobs.Serve(listener) }, func(error) { _ = listener.Close() })
	for _, part := range []func(context.Context) error{e.jobs.Run, e.jobs.SaveCancellations, e.jobs.WatchEvents, e.watchOperatorState, e.watchEntries} {
		group.Add(func() error { return part(partsCtx) }, func(error) { stopParts() })
	}
	callerServer := &http.Server{
		BaseContext: conns.BaseContext, ConnContext: conns.Context, ConnState: conns.HandleState, Handler: e.closeConnections(platform.NewCallerHandler(e.jobs)),
		IdleTimeout: callerIdleTimeout, ReadHeaderTimeout: readHeaderTimeout,
	}
	program.AddServer(&group, callerServer, e.settings.Callers, e.logger)
	readiness := &http.Server{Handler: platform.NewReadinessHandler(e.ready), ReadHeaderTimeout: readHeaderTimeout}
	program.AddServer(&group, readiness, e.settings.Readiness, e.logger)
	router := mux.NewRouter()
	e.process.Routes(router, e.jobs.Dump)
	callers.NewAPI(e.jobs).Routes(router)
	apiServer := &http.Server{
		BaseContext: conns.BaseContext, ConnContext: conns.Context, ConnState: conns.HandleState, Handler: router, ReadHeaderTimeout: readHeaderTimeout,
	}
	program.AddServer(&group, apiServer, e.settings.API, e.logger)
	program.AddReloadHandler(&group, e.reload)
	program.AddDrainHandler(ctx, partsCtx, &group, func() { e.drain(partsCtx, callerServer) })

	e.logger.Info("started", zap.String("zone", e.settings.Zone), zap.String("callers", e.settings.Callers), zap.Uint64("incarnation", e.record.Incarnation))
	err = group.Run()
	e.logger.Info("stopped", zap.Error(err))
	_ = e.logger.Sync() // A failure can't be logged any more.
	return err
}

// ready reports whether the load balancer may send new connections to this entry.
func (e *entry) ready() bool {
	return !e.stopping.Load() && e.jobs.Ready()
}

// closeConnections returns a handler that closes each connection after its next
// response once the entry is stopping, so that callers connect to another entry.
func (e *entry) closeConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// watchOperatorState applies changes to the operator state until ctx is done. The entry takes no jobs
// before it has the first one, and so none that were canceled before it started.
func (e *entry) watchOperatorState(ctx context.Context) error {
	e.jobs.RestoreCancellations(ctx)
	w := storewatch.Watcher[pollenfront.OperatorState]{
		Apply:       e.jobs.SetOperatorState,
		Logger:      e.logger,
		Name:        "operator state",
		OnFailure:   e.jobs.HandleStoreFailure,
		Poll:        e.store.PollOperatorState,
		PollTimeout: operatorStatePollTimeout,
		Read:        e.store.OperatorState,
	}
	return w.Run(ctx)
}

// watchEntries applies changes to the registered entries until ctx is done. It
// registers this entry whenever the store does not hold its current record.
func (e *entry) watchEntries(ctx context.Context) error {
	w := storewatch.Watcher[pollenfront.Entries]{
		Apply: func(entries pollenfront.Entries) {
			e.jobs.SetEntries(entries)
			if entries.Records[e.record.Name] != e.record {
				e.register(ctx)
			}
		},
		Logger:      e.logger,
		Name:        "entries",
		Poll:        e.store.PollEntries,
		PollTimeout: entriesPollTimeout,
		Read:        e.store.Entries,
	}
	return w.Run(ctx)
}

// register writes the record by which agents find this entry. If that fails,
// watchEntries registers the entry again after its next poll.
func (e *entry) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := e.store.Register(ctx, e.record); err != nil {
		e.logger.Warn("entry not registered", zap.Error(err))
	}
}

// reload checks the settings file and logs whether it differs from the settings in
// force. It does not apply them, since addresses can't change while the process runs.
func (e *entry) reload() {
	var next settings.Entry
	if err := settings.Load(e.settingsFile, &next); err != nil {
		e.logger.Warn("settings not reloaded", zap.Error(err))
		return
	}
	e.logger.Info("settings reloaded", zap.Bool("differ", next != e.settings))
}

// drain stops the entry in a planned way. It makes the entry not ready, and keeps
// taking jobs until the load balancer has noticed. It then closes the listener for
// callers, refuses further jobs and waits until all are answered, whichever interface they came by. When only stopMargin remains of the
// stop limit, it aborts the jobs that are left.
func (e *entry) drain(ctx context.Context, callerServer *http.Server) {
	e.stopping.Store(true)
	e.logger.Info("leaving", zap.Int("jobs", e.jobs.SubmissionCount()))
	limitCtx, cancel := context.WithTimeout(ctx, time.Duration(e.settings.StopLimit)-stopMargin)
	defer cancel()
	program.Sleep(limitCtx, balancerDelay)
	drained := make(chan bool, 1)
	go func() { drained <- e.jobs.Drain(limitCtx) }()
	err := callerServer.Shutdown(limitCtx)
	if !<-drained || err != nil {
		e.jobs.AbortAll()
		program.Sleep(ctx, finalAnswerDelay)
	}
	e.logger.Info("left", zap.Int("jobs", e.jobs.SubmissionCount()), zap.Error(err))
}
