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
	"github.com/pollenfront/pollenfront/entry/internal/callers"
	"github.com/pollenfront/pollenfront/entry/internal/jobs"
	"github.com/pollenfront/pollenfront/observe"
	"github.com/pollenfront/pollenfront/platform"
	"github.com/pollenfront/pollenfront/program"
	"github.com/pollenfront/pollenfront/settings"
	"github.com/pollenfront/pollenfront/storewatch"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Time limits of an entry.
const (
	// balancerDelay is how long a stopping entry keeps taking jobs. The balancer
	// needs two seconds to notice that the entry is not ready.
	balancerDelay     = 2200 * time.Millisecond
	callerIdleTimeout = 2 * time.Minute
	// entriesPollTimeout is how long the store holds a poll for changes to the
	// entries. It is long, as entries change rarely.
	entriesPollTimeout = 5 * time.Second
	// finalAnswerDelay is how long a stopping entry waits for the answers of
	// aborted jobs to be written.
	finalAnswerDelay = 100 * time.Millisecond
	// operatorStatePollTimeout is how long the store holds a poll for changes
	// to the operator state. It is short, as a dead connection is only
	// noticed when a poll times out.
	operatorStatePollTimeout = 700 * time.Millisecond
	readHeaderTimeout        = 3 * time.Second
	// registerTimeout is the timeout of one attempt to register.
	registerTimeout = time.Second
	// stopMargin is the part of the stop limit that is reserved for answering
	// aborted jobs and exiting.
	stopMargin = 400 * time.Millisecond
)

// A server is an entry process. file is the path of its settings file, and record
// is what it registers in the store.
type server struct {
	file     string
	jobs     *jobs.Jobs
	logger   *zap.Logger
	process  *observe.Process
	record   pollenfront.EntryRecord
	settings settings.Entry
	stopping atomic.Bool
	store    pollenfront.Store
}

// load reads the settings file of an entry and returns a function that runs the entry
// until its context ends.
func load(file string) (func(context.Context) error, error) {
	var s settings.Entry
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	return newServer(file, s, observe.NewProcess("entry", s.Name, os.Stdout)).run, nil
}

// newServer returns an entry with the settings s, read from file. Its incarnation is
// the wall-clock time in milliseconds, so that a restarted entry has a higher one.
func newServer(file string, s settings.Entry, process *observe.Process) *server {
	incarnation := uint64(time.Now().UnixMilli()) //nolint:gosec // The current time is not negative.
	store := platform.NewStore(s.Store)
	hello := tasklink.Hello{Incarnation: incarnation, Name: s.Name, Version: tasklink.Version, Zone: s.Zone}
	j := jobs.New(hello, store, process.Registry, process.Logger)
	j.SetRemoteFactor(s.RemoteFactor)
	return &server{
		file:     file,
		jobs:     j,
		logger:   process.Logger,
		process:  process,
		record:   pollenfront.EntryRecord{Address: s.Advertise, Incarnation: incarnation, Name: s.Name, Zone: s.Zone},
		settings: s,
		store:    store,
	}
}

// run runs all parts of the entry until one of them ends or ctx ends. On the end of
// ctx the entry is drained first.
func (s *server) run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.settings.Links)
	if err != nil {
		return merry.Prepend(err, "listen for agents")
	}
	partsCtx, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	var group run.Group
	group.Add(func() error { return s.jobs.Serve(listener) }, func(error) { _ = listener.Close() })
	for _, part := range []func(context.Context) error{s.jobs.Run, s.watchOperatorState, s.watchEntries} {
		group.Add(func() error { return part(partsCtx) }, func(error) { stopParts() })
	}
	callersServer := &http.Server{
		Handler: s.closeConnections(platform.NewCallerHandler(s.jobs)), IdleTimeout: callerIdleTimeout, ReadHeaderTimeout: readHeaderTimeout,
	}
	program.AddServer(&group, callersServer, s.settings.Callers, s.logger)
	readiness := &http.Server{Handler: platform.NewReadinessHandler(s.ready), ReadHeaderTimeout: readHeaderTimeout}
	program.AddServer(&group, readiness, s.settings.Readiness, s.logger)
	router := mux.NewRouter()
	s.process.Routes(router, s.jobs.Dump)
	callers.NewAPI(s.jobs).Routes(router)
	program.AddServer(&group, &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout}, s.settings.API, s.logger)
	program.OnHangup(&group, s.reload)
	program.OnStop(ctx, partsCtx, &group, func() { s.drain(partsCtx, callersServer) })

	s.logger.Info("started", zap.String("zone", s.settings.Zone), zap.String("callers", s.settings.Callers), zap.Uint64("incarnation", s.record.Incarnation))
	err = group.Run()
	s.logger.Info("stopped", zap.Error(err))
	_ = s.logger.Sync() // A failure can't be logged any more.
	return err
}

// ready reports whether the balancer may send new connections to this entry.
func (s *server) ready() bool {
	return !s.stopping.Load() && s.jobs.Ready()
}

// closeConnections returns a handler that closes each connection after its next
// response once the entry is stopping, so that callers connect to another entry.
func (s *server) closeConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// watchOperatorState applies changes to the operator state until ctx ends.
func (s *server) watchOperatorState(ctx context.Context) error {
	w := storewatch.Watcher[pollenfront.OperatorState]{
		Apply:       s.jobs.SetOperatorState,
		Logger:      s.logger,
		Name:        "operator state",
		Poll:        s.store.PollOperatorState,
		PollTimeout: operatorStatePollTimeout,
		Read:        s.store.OperatorState,
	}
	return w.Run(ctx)
}

// watchEntries applies changes to the registered entries until ctx ends. It registers
// this entry whenever the store does not hold its current record.
func (s *server) watchEntries(ctx context.Context) error {
	w := storewatch.Watcher[pollenfront.Entries]{
		Apply: func(entries pollenfront.Entries) {
			s.jobs.SetEntries(entries)
			if entries.Records[s.record.Name] != s.record {
				s.register(ctx)
			}
		},
		Logger:      s.logger,
		Name:        "entries",
		Poll:        s.store.PollEntries,
		PollTimeout: entriesPollTimeout,
		Read:        s.store.Entries,
	}
	return w.Run(ctx)
}

// register writes the record by which agents find this entry. A failed write is
// retried when watchEntries has the next state of the entries.
func (s *server) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := s.store.Register(ctx, s.record); err != nil {
		s.logger.Warn("entry not registered", zap.Error(err))
	}
}

// reload checks the settings file and logs whether it differs from the settings in
// force. It does not apply them, since addresses can't change while the process runs.
func (s *server) reload() {
	var next settings.Entry
	if err := settings.Load(s.file, &next); err != nil {
		s.logger.Warn("settings not reloaded", zap.Error(err))
		return
	}
	s.logger.Info("settings reloaded", zap.Bool("differ", next != s.settings))
}

// drain stops the entry in a planned way. It makes the entry not ready, and keeps
// taking jobs until the balancer has noticed. It then closes the listener for callers
// and waits until all jobs are answered. Jobs that are not answered stopMargin before
// the stop limit are aborted.
func (s *server) drain(ctx context.Context, callersServer *http.Server) {
	s.stopping.Store(true)
	s.logger.Info("leaving", zap.Int("jobs", s.jobs.SubmissionCount()))
	limitCtx, cancel := context.WithTimeout(ctx, time.Duration(s.settings.StopLimit)-stopMargin)
	defer cancel()
	program.Sleep(limitCtx, balancerDelay)
	err := callersServer.Shutdown(limitCtx)
	if err != nil {
		s.jobs.AbortAll()
		program.Sleep(ctx, finalAnswerDelay)
	}
	s.logger.Info("left", zap.Int("jobs", s.jobs.SubmissionCount()), zap.Error(err))
}
