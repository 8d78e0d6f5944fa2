package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/agent/internal/book"
	"github.com/pollenfront/pollenfront/agent/internal/entries"
	"github.com/pollenfront/pollenfront/backend"
	"github.com/pollenfront/pollenfront/ledger"
	"github.com/pollenfront/pollenfront/observe"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/program"
	"github.com/pollenfront/pollenfront/settings"
)

// load reads the settings of an agent and returns what runs it.
func load(file string) (func(context.Context) error, error) {
	var s settings.Agent
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	return func(ctx context.Context) error { return runAgent(ctx, s) }, nil
}

// runAgent runs an agent until ctx ends, then leaves in a planned way.
func runAgent(ctx context.Context, s settings.Agent) error {
	process, err := observe.NewProcess("agent", s.Name, s.Debug)
	if err != nil {
		return err
	}
	self := pollenfront.Server{
		Incarnation: uint64(time.Now().UnixMilli()), Name: s.Name, Slots: s.Slots, Zone: s.Zone,
	}
	records := ledger.New(self, time.Duration(s.Retention))
	b := book.New(records, backend.NewClient(s.Backend, s.Connections), process.Registry)
	links := entries.NewLinks(self, b, s, peer.NewMetrics(process.Registry), process.Logger)
	return runGroup(ctx, s, process, b, links)
}

// runGroup runs the parts of the agent, which stop together.
func runGroup(ctx context.Context, s settings.Agent, process *observe.Process, b *book.Book, links *entries.Links) error {
	var group run.Group
	linksCtx, stopLinks := context.WithCancel(context.WithoutCancel(ctx))
	group.Add(func() error { return links.Run(linksCtx) }, func(error) { stopLinks() })

	router := mux.NewRouter()
	process.Routes(router, func() any { return b.State() })
	program.AddHTTP(&group, s.Status, router)

	group.Add(func() error {
		<-ctx.Done()
		process.Logger.Info("leaving")
		leaveCtx, cancel := context.WithTimeout(linksCtx, time.Duration(s.StopLimit))
		defer cancel()
		links.Leave(leaveCtx)
		return nil
	}, func(error) {})

	process.Logger.Info("started", zap.Int("slots", s.Slots), zap.String("zone", s.Zone))
	err := group.Run()
	process.Logger.Info("stopped", zap.Error(err))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
