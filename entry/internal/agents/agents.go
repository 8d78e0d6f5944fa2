// Package agents keeps the entry's links to the agents: their connections,
// their versions, and the account of who can be asked for records.
//
// # Usage
//
//	a := agents.New(retention, logger)
//	outcome := a.Start(ctx, server, start)
//	records, unaccounted := a.Adopt(ctx, job, version)
package agents

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/dispatch"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/roster"
)

// Times of the links to agents.
const (
	adoptTimeout  = 1500 * time.Millisecond
	clockSkew     = 2 * time.Second // Greatest difference allowed between two clocks.
	resolveWindow = 3 * time.Second // Wait for a lost agent to connect again.
	retryPause    = 50 * time.Millisecond
	silenceLimit  = 5 * time.Second // A connection without heartbeats is closed after it.
	sweepInterval = time.Second
)

// A Sink takes in the events of the agents.
type Sink func(dispatch.Event)

// Agents are all agents that this entry knows.
type Agents struct {
	handed    map[pollenfront.JobID][]pollenfront.TaskRecord // Of agents that left.
	links     map[pollenfront.ServerRef]*link
	logger    *zap.Logger
	mutex     sync.Mutex
	retention time.Duration
	roster    *roster.Roster
	sink      Sink
	surveyed  bool
}

// A link is the connection to one incarnation of an agent.
type link struct {
	conn    *peer.Conn
	heardAt time.Time
	leaving bool
	server  pollenfront.Server
	version uint64
}

// An Agent describes an agent to operators.
type Agent struct {
	Leaving bool   `json:"leaving"`
	Name    string `json:"name"`
	Version uint64 `json:"version"` // Of its view, as last reported.
	Zone    string `json:"zone"`
}

// New returns Agents that keep records for the given retention and pass events
// to sink.
func New(retention time.Duration, sink Sink, logger *zap.Logger) *Agents {
	return &Agents{
		handed:    make(map[pollenfront.JobID][]pollenfront.TaskRecord),
		links:     make(map[pollenfront.ServerRef]*link),
		logger:    logger,
		retention: retention,
		roster:    roster.New(),
		sink:      sink,
	}
}

// Run closes silent connections and forgets old records until ctx ends.
func (a *Agents) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.sweep(time.Now())
		}
	}
}

// Heartbeat takes in a heartbeat that came over a connection.
func (a *Agents) Heartbeat(conn *peer.Conn, beat peer.Heartbeat) {
	ref := beat.Server.Ref()
	now := time.Now()
	a.mutex.Lock()
	k := a.links[ref]
	if k == nil || k.conn != conn {
		k = &link{conn: conn, server: beat.Server}
		a.links[ref] = k
		go a.watch(ref, conn)
	}
	k.heardAt, k.leaving, k.version = now, beat.Leaving, beat.Version
	a.roster.Connected(ref, now)
	a.mutex.Unlock()
	a.sink(dispatch.ServerSeen{Load: beat.Load, Server: beat.Server})
	if beat.Leaving {
		a.sink(dispatch.ServerGone{Server: ref})
	}
}

// HandOver takes in records of an agent that is leaving. The last message
// names the agent.
func (a *Agents) HandOver(over peer.HandOver) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, r := range over.Records {
		a.handed[r.Ref.Job] = append(a.handed[r.Ref.Job], r)
	}
	if over.Server.Name != "" {
		a.roster.Left(over.Server, time.Now())
	}
}

// Roster returns the agents that this entry knows.
func (a *Agents) Roster() []roster.Member {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.roster.Members()
}

// Records returns the records of agents that left.
func (a *Agents) Records() []pollenfront.TaskRecord {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var all []pollenfront.TaskRecord
	for _, records := range a.handed {
		all = append(all, records...)
	}
	return all
}

// Merge takes in what another entry knows, when this one joins.
func (a *Agents) Merge(reply peer.RosterReply) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.roster.Merge(reply.Members, time.Now())
	for _, r := range reply.Records {
		a.handed[r.Ref.Job] = append(a.handed[r.Ref.Job], r)
	}
}

// List describes all connected agents to operators.
func (a *Agents) List() []Agent {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var list []Agent
	for _, k := range a.links {
		list = append(list, Agent{Leaving: k.leaving, Name: k.server.Name, Version: k.version, Zone: k.server.Zone})
	}
	return list
}

// ViewChanged tells all agents that there is a newer view.
func (a *Agents) ViewChanged(version uint64) {
	for _, k := range a.connected() {
		_ = k.conn.Notify(context.Background(), peer.MethodViewChanged, peer.ViewChanged{Version: version})
	}
}

// connected returns the links that are up.
func (a *Agents) connected() []*link {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	links := make([]*link, 0, len(a.links))
	for _, k := range a.links {
		links = append(links, k)
	}
	return links
}

// conn returns the connection to an incarnation of an agent, or nil.
func (a *Agents) conn(ref pollenfront.ServerRef) *peer.Conn {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if k := a.links[ref]; k != nil {
		return k.conn
	}
	return nil
}

// watch waits for the end of a connection. The agent counts as lost unless it
// connects again.
func (a *Agents) watch(ref pollenfront.ServerRef, conn *peer.Conn) {
	<-conn.Done()
	a.mutex.Lock()
	k := a.links[ref]
	current := k != nil && k.conn == conn
	if current {
		delete(a.links, ref)
		a.roster.Lost(ref, time.Now())
	}
	a.mutex.Unlock()
	if current {
		a.logger.Info("agent disconnected", zap.String("server", ref.Name), zap.Uint64("incarnation", ref.Incarnation))
		a.sink(dispatch.ServerGone{Server: ref})
	}
}

// sweep closes silent connections and forgets what is too old to matter.
func (a *Agents) sweep(now time.Time) {
	for _, k := range a.connected() {
		a.mutex.Lock()
		silent := now.Sub(k.heardAt) > silenceLimit
		a.mutex.Unlock()
		if silent {
			k.conn.Close()
		}
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.roster.Forget(now.Add(-2 * a.retention))
	for id := range a.handed {
		if now.Sub(id.Time()) > 2*a.retention {
			delete(a.handed, id)
		}
	}
}
