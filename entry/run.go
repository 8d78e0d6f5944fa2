package main

import (
	"context"
	"time"

	"github.com/gorilla/mux"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/debuglog"
	"github.com/pollenfront/pollenfront/entry/internal/agents"
	"github.com/pollenfront/pollenfront/entry/internal/callers"
	"github.com/pollenfront/pollenfront/entry/internal/handover"
	"github.com/pollenfront/pollenfront/entry/internal/members"
	"github.com/pollenfront/pollenfront/entry/internal/operators"
	"github.com/pollenfront/pollenfront/entry/internal/owner"
	"github.com/pollenfront/pollenfront/observe"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/platform"
	"github.com/pollenfront/pollenfront/program"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/settings"
	"github.com/pollenfront/pollenfront/view"
)

// load reads the settings of an entry and returns what runs it until its
// context ends.
func load(file string) (func(context.Context) error, error) {
	var s settings.Entry
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	process, err := observe.NewProcess("entry", s.Name, s.Debug)
	if err != nil {
		return nil, err
	}
	return newNode(s, process).run, nil
}

// A node holds the parts of an entry.
type node struct {
	agents   *agents.Agents
	callers  *callers.API
	logger   *zap.Logger
	members  *members.Members
	metrics  *peer.Metrics
	owner    *owner.Owner
	process  *observe.Process
	router   *handover.Router
	settings settings.Entry
}

// newNode connects the parts of an entry.
func newNode(s settings.Entry, process *observe.Process) *node {
	var table pollenfront.Table = platform.NewTable(s.Table, s.IP)
	if s.Debug {
		table = debuglog.NewTable(table, process.Logger)
	}
	self := view.Entry{
		API: s.AdvertiseAPI, Incarnation: uint64(time.Now().UnixMilli()), Name: s.Name, Peer: s.AdvertisePeer, Zone: s.Zone,
	}
	n := &node{logger: process.Logger, metrics: peer.NewMetrics(process.Registry), process: process, settings: s}
	n.members = members.New(self, table, s, n.metrics, process.Logger)
	n.owner = owner.New(n.members, time.Duration(s.Retention), process.Registry)
	n.agents = agents.New(time.Duration(s.Retention), n.owner.Step, process.Logger)
	n.owner.Attach(n.agents)
	n.router = handover.NewRouter(n.members, n.owner)
	n.callers = callers.NewAPI(n.router, n.members, n.agents.Surveyed, process.Registry)
	n.members.SetHandler(n.handler())
	n.members.OnView(n.owner.ViewChanged)
	n.members.OnView(func(v *view.View) { n.agents.ViewChanged(v.Version) })
	n.members.OnFenced(n.owner.Fenced)
	return n
}

// run runs the parts of the entry, which stop together.
func (n *node) run(ctx context.Context) error {
	listener, err := peer.Listen(n.settings.Peer, n.handler(), n.metrics)
	if err != nil {
		return refusal.Wrap(err, "listen for agents and entries")
	}
	partsCtx, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	var group run.Group
	group.Add(listener.Serve, func(error) { listener.Close() })
	for _, part := range []func(context.Context) error{n.agents.Run, n.owner.Run} {
		group.Add(func() error { return part(partsCtx) }, func(error) { stopParts() })
	}
	group.Add(func() error { return n.join(partsCtx) }, func(error) { stopParts() })

	r := mux.NewRouter()
	n.callers.Routes(r)
	operators.NewAPI(n.members, n.agents, n.owner).Routes(r)
	n.process.Routes(r, n.dump)
	program.AddHTTP(&group, n.settings.API, r)

	group.Add(func() error {
		<-ctx.Done()
		n.leave(partsCtx)
		return nil
	}, func(error) {})

	n.logger.Info("started", zap.String("zone", n.settings.Zone), zap.String("api", n.settings.API))
	err = group.Run()
	n.logger.Info("stopped", zap.Error(err))
	return err
}

// join joins the view, learns the agents from the other entries, and then
// keeps the view.
func (n *node) join(ctx context.Context) error {
	if err := n.members.Join(ctx); err != nil {
		return nil //nolint:nilerr // The entry was stopped before it could join.
	}
	go func() {
		n.agents.Survey(ctx, n.others, n.askRoster)
		if err := n.members.Activate(ctx); err != nil {
			n.logger.Warn("could not become an owner", zap.Error(err))
		}
	}()
	return n.members.Run(ctx)
}

// others returns the names of the other entries in the view.
func (n *node) others() []string {
	var names []string
	for _, e := range n.members.View().Entries {
		if e.Name != n.settings.Name {
			names = append(names, e.Name)
		}
	}
	return names
}

// askRoster asks another entry for its roster.
func (n *node) askRoster(ctx context.Context, entry string) (peer.RosterReply, error) {
	var reply peer.RosterReply
	err := n.members.Call(ctx, entry, peer.MethodRoster, peer.Empty{}, &reply)
	return reply, err
}

// leave stops in a planned way: the balancer and the other entries are told,
// every job and every caller gets its answer, and then the entry goes.
func (n *node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.StopLimit))
	defer cancel()
	n.logger.Info("leaving")
	n.callers.Stop()
	if err := n.members.Leave(ctx); err != nil {
		n.logger.Warn("could not announce the leave", zap.Error(err))
	}
	sleep(ctx, time.Duration(n.settings.DrainDelay))
	for ctx.Err() == nil && (n.owner.Busy() > 0 || n.callers.Waiting() > 0) {
		sleep(ctx, 10*time.Millisecond)
	}
	if err := n.members.Left(ctx); err != nil {
		n.logger.Warn("could not leave the view", zap.Error(err))
	}
}

// dump returns the state of the entry.
func (n *node) dump() any {
	return struct {
		Accepted uint64               `json:"accepted"`
		Dispatch any                  `json:"dispatch"`
		Fresh    bool                 `json:"fresh"`
		Roster   any                  `json:"roster"`
		Self     pollenfront.EntryRef `json:"self"`
		Silence  []peer.Silence       `json:"silence"`
		View     *view.View           `json:"view"`
	}{
		Accepted: n.members.Accepted(),
		Dispatch: n.owner.Dump(""),
		Fresh:    n.members.Fresh(),
		Roster:   n.agents.Roster(),
		Self:     n.members.Self(),
		Silence:  n.members.Silence(),
		View:     n.members.View(),
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
