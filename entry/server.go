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

// Parameters of an entry.
const (
	// answerTime is the time to write the last answers of an entry that stops.
	answerTime           = 100 * time.Millisecond
	callersHeaderTimeout = 3 * time.Second
	callersIdleTimeout   = 2 * time.Minute
	// entriesWait is how long the store holds a question for changes among
	// the entries, which come seldom.
	entriesWait = 5 * time.Second
	// ordersWait is how long the store holds a question for new orders. A
	// connection that went silent is noticed soon after.
	ordersWait = 700 * time.Millisecond
	// registerTimeout bounds one attempt to register.
	registerTimeout = time.Second
	// stopMargin is kept free at the end of the time for a planned stop.
	stopMargin = 400 * time.Millisecond
	// takeOver is how long an entry that stops still takes jobs: the balancer
	// needs two seconds to notice.
	takeOver = 2200 * time.Millisecond
)

// A server is an entry.
type server struct {
	file     string // With the settings.
	jobs     *jobs.Jobs
	logger   *zap.Logger
	process  *observe.Process
	record   pollenfront.EntryRecord
	settings settings.Entry
	stopping atomic.Bool
	store    pollenfront.Store
}

// load reads the settings of an entry and returns what runs it until its context
// ends.
func load(file string) (func(context.Context) error, error) {
	var s settings.Entry
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	return newServer(file, s, observe.NewProcess("entry", s.Name, os.Stdout)).run, nil
}

// newServer returns an entry.
func newServer(file string, s settings.Entry, process *observe.Process) *server {
	incarnation := uint64(time.Now().UnixMilli()) //nolint:gosec // After 1970.
	store := platform.NewStore(s.Store)
	hello := tasklink.Hello{Incarnation: incarnation, Name: s.Name, Version: tasklink.Version, Zone: s.Zone}
	taken := jobs.New(hello, store, process.Registry, process.Logger)
	taken.SetRemoteFactor(s.RemoteFactor)
	return &server{
		file:     file,
		jobs:     taken,
		logger:   process.Logger,
		process:  process,
		record:   pollenfront.EntryRecord{Address: s.Advertise, Incarnation: incarnation, Name: s.Name, Zone: s.Zone},
		settings: s,
		store:    store,
	}
}

// run runs the parts of the entry, which stop together.
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
		Handler: s.closing(platform.NewCallerHandler(s.jobs)), IdleTimeout: callersIdleTimeout, ReadHeaderTimeout: callersHeaderTimeout,
	}
	program.AddServer(&group, callersServer, s.settings.Callers, s.logger)
	readiness := &http.Server{Handler: platform.NewReadinessHandler(s.ready), ReadHeaderTimeout: callersHeaderTimeout}
	program.AddServer(&group, readiness, s.settings.Readiness, s.logger)
	router := mux.NewRouter()
	s.process.Routes(router, s.jobs.Dump)
	callers.NewAPI(s.jobs).Routes(router)
	program.AddServer(&group, &http.Server{Handler: router, ReadHeaderTimeout: callersHeaderTimeout}, s.settings.API, s.logger)
	program.OnHangup(&group, s.reload)
	program.OnStop(ctx, partsCtx, &group, func() { s.leave(partsCtx, callersServer) })

	s.logger.Info("started", zap.String("zone", s.settings.Zone), zap.String("callers", s.settings.Callers), zap.Uint64("incarnation", s.record.Incarnation))
	err = group.Run()
	s.logger.Info("stopped", zap.Error(err))
	_ = s.logger.Sync() // Nothing is left to report a failure to.
	return err
}

// ready reports whether the balancer may send new connections here.
func (s *server) ready() bool {
	return !s.stopping.Load() && s.jobs.Ready()
}

// closing asks callers to open their next connection elsewhere once the entry
// is stopping.
func (s *server) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// watchOperatorState keeps the operators' orders in force.
func (s *server) watchOperatorState(ctx context.Context) error {
	w := storewatch.Watcher[pollenfront.OperatorState]{
		Apply:       s.jobs.SetOperatorState,
		Logger:      s.logger,
		Name:        "orders",
		Poll:        s.store.PollOperatorState,
		PollTimeout: ordersWait,
		Read:        s.store.OperatorState,
	}
	return w.Run(ctx)
}

// watchEntries keeps this entry registered, and counts the others.
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
		PollTimeout: entriesWait,
		Read:        s.store.Entries,
	}
	return w.Run(ctx)
}

// register writes the record by which agents find this entry. A write that
// fails is repeated when the next state of the entries is known.
func (s *server) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := s.store.Register(ctx, s.record); err != nil {
		s.logger.Warn("could not register", zap.Error(err))
	}
}

// reload checks the settings file and logs what differs. Addresses can't
// change while the process runs.
func (s *server) reload() {
	var next settings.Entry
	if err := settings.Load(s.file, &next); err != nil {
		s.logger.Warn("settings not reloaded", zap.Error(err))
		return
	}
	s.logger.Info("settings reloaded", zap.Bool("differ", next != s.settings))
}

// leave stops in a planned way. The balancer sends no more connections, and
// jobs that arrive until it has noticed are served. Then the entry closes its
// listener, and ends when all its jobs are answered. Jobs that are still under
// way near the end of the time for a stop are given up.
func (s *server) leave(ctx context.Context, callers *http.Server) {
	s.stopping.Store(true)
	s.logger.Info("leaving", zap.Int("jobs", s.jobs.SubmissionCount()))
	limitCtx, cancel := context.WithTimeout(ctx, time.Duration(s.settings.StopLimit)-stopMargin)
	defer cancel()
	program.Sleep(limitCtx, takeOver)
	err := callers.Shutdown(limitCtx)
	if err != nil {
		s.jobs.AbortAll()
		program.Sleep(ctx, answerTime)
	}
	s.logger.Info("left", zap.Int("jobs", s.jobs.SubmissionCount()), zap.Error(err))
}
