package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/agent/internal/driver"
	"github.com/pollenfront/pollenfront/observe"
	"github.com/pollenfront/pollenfront/platform"
	"github.com/pollenfront/pollenfront/program"
	"github.com/pollenfront/pollenfront/settings"
	"github.com/pollenfront/pollenfront/storewatch"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Parameters of an agent.
const (
	// entriesWait is how long the store holds a question for changes among
	// the entries.
	entriesWait = 4 * time.Second
	// headerTimeout bounds the time that the head of a request takes.
	headerTimeout = 3 * time.Second
	// stopMargin is kept free at the end of the time for a planned stop.
	stopMargin = 500 * time.Millisecond
)

// A server is an agent.
type server struct {
	dials    map[string]context.CancelFunc // By address of an entry.
	driver   *driver.Driver
	file     string // With the settings.
	logger   *zap.Logger
	process  *observe.Process
	seeds    map[string]bool // Addresses of entries that are always dialled.
	settings settings.Agent
	store    pollenfront.Store
}

// load reads the settings of an agent and returns what runs it until its context
// ends.
func load(file string) (func(context.Context) error, error) {
	var s settings.Agent
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	return newServer(file, s, observe.NewProcess("agent", s.Name, os.Stdout)).run, nil
}

// newServer returns an agent.
func newServer(file string, s settings.Agent, process *observe.Process) *server {
	hello := tasklink.Hello{
		Incarnation: uint64(time.Now().UnixMilli()), //nolint:gosec // After 1970.
		Name:        s.Name, Service: s.Service, Version: tasklink.Version, Zone: s.Zone,
	}
	seeds := make(map[string]bool)
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil { // The settings were checked.
			seeds[net.JoinHostPort(host, strconv.Itoa(s.LinkPort))] = true
		}
	}
	store := platform.NewStore(s.Store)
	return &server{
		dials:    make(map[string]context.CancelFunc),
		driver:   driver.New(hello, platform.NewBackendServer(s.Server), store, process.Registry, process.Logger),
		file:     file,
		logger:   process.Logger,
		process:  process,
		seeds:    seeds,
		settings: s,
		store:    store,
	}
}

// run runs the parts of the agent, which stop together.
func (s *server) run(ctx context.Context) error {
	partsCtx, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	var group run.Group
	go s.driver.RestoreAnnouncement(partsCtx)
	for _, part := range []func(context.Context) error{s.driver.Run, s.watchEntries} {
		group.Add(func() error { return part(partsCtx) }, func(error) { stopParts() })
	}
	announcements := platform.NewAnnouncementHandler(s.settings.Service, s.driver)
	program.AddServer(&group, &http.Server{Handler: announcements, ReadHeaderTimeout: headerTimeout}, s.settings.Announcements, s.logger)
	router := mux.NewRouter()
	s.process.Routes(router, s.driver.Dump)
	program.AddServer(&group, &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}, s.settings.API, s.logger)
	program.OnHangup(&group, s.reload)
	program.OnStop(ctx, partsCtx, &group, func() { s.leave(partsCtx) })

	s.logger.Info("started", zap.String("zone", s.settings.Zone), zap.String("server", s.settings.Server))
	err := group.Run()
	s.logger.Info("stopped", zap.Error(err))
	_ = s.logger.Sync() // Nothing is left to report a failure to.
	return err
}

// leave stops in a planned way: what is queued goes back to the entries, and the
// agent ends when nothing runs.
func (s *server) leave(ctx context.Context) {
	s.logger.Info("leaving")
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.settings.StopLimit)-stopMargin)
	defer cancel()
	s.driver.Drain(ctx)
}

// watchEntries keeps links to all entries.
func (s *server) watchEntries(ctx context.Context) error {
	s.dialAll(ctx, pollenfront.Entries{})
	w := storewatch.Watcher[pollenfront.Entries]{
		Apply:       func(entries pollenfront.Entries) { s.dialAll(ctx, entries) },
		Logger:      s.logger,
		Name:        "entries",
		Poll:        s.store.PollEntries,
		PollTimeout: entriesWait,
		Read:        s.store.Entries,
	}
	return w.Run(ctx)
}

// dialAll dials the entries that are new and stops dialling those that are gone.
func (s *server) dialAll(ctx context.Context, entries pollenfront.Entries) {
	wanted := make(map[string]bool)
	for address := range s.seeds {
		wanted[address] = true
	}
	for _, record := range entries.Records {
		wanted[record.Address] = true
	}
	for address := range wanted {
		if _, ok := s.dials[address]; ok {
			continue
		}
		dialCtx, cancel := context.WithCancel(ctx)
		s.dials[address] = cancel
		go s.driver.Dial(dialCtx, address)
	}
	for address, cancel := range s.dials {
		if !wanted[address] {
			cancel()
			delete(s.dials, address)
		}
	}
}

// reload checks the settings file and logs the outcome. Addresses can't change
// while the process runs.
func (s *server) reload() {
	var next settings.Agent
	if err := settings.Load(s.file, &next); err != nil {
		s.logger.Warn("settings not reloaded", zap.Error(err))
		return
	}
	s.logger.Info("settings reloaded")
}
