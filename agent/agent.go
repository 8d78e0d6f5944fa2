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
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/cell"
	"github.com/pollenfront/pollenfront/observe"
	"github.com/pollenfront/pollenfront/platform"
	"github.com/pollenfront/pollenfront/program"
	"github.com/pollenfront/pollenfront/settings"
	"github.com/pollenfront/pollenfront/storewatch"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Parameters of an agent.
const (
	// entriesPollTimeout is how long the store may hold a poll for changes to
	// the entries.
	entriesPollTimeout = 4 * time.Second
	// readHeaderTimeout bounds the time to read the header of an HTTP request.
	readHeaderTimeout = 3 * time.Second
	// stopMargin is the part of the stop limit that is reserved for the shutdown
	// after draining.
	stopMargin = 500 * time.Millisecond
)

// An agent holds the parts of the process that runs beside a backend server.
type agent struct {
	driver       *driver.Driver
	entryDialer  *entryDialer
	logger       *zap.Logger
	process      *observe.Process
	settings     settings.Agent
	settingsFile string
	store        pollenfront.Store
}

// load reads and checks the settings in file. It returns a function that runs the
// agent until its context is done.
func load(file string) (func(context.Context) error, error) {
	var s settings.Agent
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	return newAgent(file, s, observe.NewProcess("agent", s.Name, os.Stdout)).run, nil
}

// newAgent returns an agent with the settings s, which were read from file. Its
// incarnation is the wall-clock time in milliseconds, so that a restarted agent has a
// higher one.
func newAgent(file string, s settings.Agent, process *observe.Process) *agent {
	hello := tasklink.Hello{
		Incarnation: uint64(time.Now().UnixMilli()), //nolint:gosec // UnixMilli is not negative after 1970.
		Name:        s.Name, Service: s.Service, Version: tasklink.Version, Zone: s.Zone,
	}
	var seeds []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil { // The check of the settings has rejected invalid seeds.
			seeds = append(seeds, net.JoinHostPort(host, strconv.Itoa(s.LinkPort)))
		}
	}
	store := platform.NewStore(s.Store)
	d := driver.New(hello, platform.NewBackendServer(s.Server), store, process.Registry, process.Logger)
	if s.DemandShares {
		d.EnableDemandShares()
	}
	d.SetInterference(s.Interference)
	return &agent{
		driver:       d,
		entryDialer:  newEntryDialer(d, cell.New(bootclock.Now(), s.Name, s.Zone, seeds)),
		logger:       process.Logger,
		process:      process,
		settings:     s,
		settingsFile: file,
		store:        store,
	}
}

// run runs the agent until ctx is done and the agent has drained, or until one of
// its parts fails.
func (a *agent) run(ctx context.Context) error {
	partsCtx, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	var group run.Group
	go a.driver.RestoreAnnouncement(partsCtx)
	for _, part := range []func(context.Context) error{a.driver.Run, a.driver.WatchEvents, a.entryDialer.run, a.watchEntries} {
		group.Add(func() error { return part(partsCtx) }, func(error) { stopParts() })
	}
	announcements := platform.NewAnnouncementHandler(a.settings.Service, a.driver)
	program.AddServer(&group, &http.Server{Handler: announcements, ReadHeaderTimeout: readHeaderTimeout}, a.settings.Announcements, a.logger)
	router := mux.NewRouter()
	a.process.Routes(router, a.driver.Dump)
	program.AddServer(&group, &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout}, a.settings.API, a.logger)
	program.AddReloadHandler(&group, a.reload)
	program.AddDrainHandler(ctx, partsCtx, &group, func() { a.drain(partsCtx) })

	a.logger.Info("started", zap.String("zone", a.settings.Zone), zap.String("server", a.settings.Server))
	err := group.Run()
	a.logger.Info("stopped", zap.Error(err))
	_ = a.logger.Sync() // A failure can't be logged.
	return err
}

// drain returns the queued tasks to the entries and waits until no run is left, or
// until only stopMargin remains of the stop limit.
func (a *agent) drain(ctx context.Context) {
	a.logger.Info("leaving")
	ctx, cancel := context.WithTimeout(ctx, time.Duration(a.settings.StopLimit)-stopMargin)
	defer cancel()
	a.driver.Drain(ctx)
}

// watchEntries applies changes to the registered entries until ctx is done.
func (a *agent) watchEntries(ctx context.Context) error {
	w := storewatch.Watcher[pollenfront.Entries]{
		Apply: func(entries pollenfront.Entries) {
			a.driver.RecordInvalidRows("entries", entries.InvalidRows)
			a.entryDialer.setEntries(ctx, entries)
		},
		Logger:      a.logger,
		Name:        "entries",
		Poll:        a.store.PollEntries,
		PollTimeout: entriesPollTimeout,
		Read:        a.store.Entries,
	}
	return w.Run(ctx)
}

// reload checks the settings file and logs the result. It applies nothing, since
// addresses can't change while the process runs.
func (a *agent) reload() {
	var next settings.Agent
	if err := settings.Load(a.settingsFile, &next); err != nil {
		a.logger.Warn("settings not reloaded", zap.Error(err))
		return
	}
	a.logger.Info("settings reloaded")
}
