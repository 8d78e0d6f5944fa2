// Package tokenlog keeps the fencing tokens that agents have told an entry of, so that the next
// process of an agent can begin above those of the former ones.
//
// An agent's process begins with the time of day, which may have been set back since its
// predecessor began. Every entry of the agent's cell was told of the tokens of the former process,
// and tells the next one when it links, before it sends a task to it. No call to the store is
// needed for this, and an agent that is lost with its zone still has entries elsewhere.
//
// # Usage
//
//	log := tokenlog.New()
//	log.Record(now, agent, hello.Token)
//	commands.TokenFloor = log.Floor(agent)
package tokenlog

import (
	"maps"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/fencing"
)

const (
	// maxAgents limits the agents of which tokens are kept.
	maxAgents = 20_000
	// retention is how long the tokens of an agent are kept after it was last heard of. It is
	// longer than a request to a server may be delayed, and than most agents are down.
	retention = time.Minute
)

// A Log holds the fencing tokens of agents. It is not safe for concurrent use.
type Log struct {
	records map[string]record
}

// A record is what is known of the tokens of an agent.
type record struct {
	// at is when the agent was last heard of.
	at time.Duration
	// floor is the highest token of the former incarnations, and token that of the newest one.
	floor, token uint64
	incarnation  uint64
}

// New returns an empty Log.
func New() *Log {
	return &Log{records: make(map[string]record)}
}

// Record records that an agent uses tokens up to the given one, or only that it was heard of if the
// token is zero. A token that no agent can use is ignored.
func (l *Log) Record(now time.Duration, agent pollenfront.AgentRef, token uint64) {
	r, known := l.records[agent.Name]
	if !known && len(l.records) >= maxAgents {
		return
	}
	if known && r.incarnation != agent.Incarnation {
		r.floor, r.token = max(r.floor, r.token), 0
	}
	if token < fencing.MaxToken {
		r.token = max(r.token, token)
	}
	r.at, r.incarnation = now, agent.Incarnation
	l.records[agent.Name] = r
}

// Floor returns the highest token that former incarnations of an agent have used, as far as known,
// or zero.
func (l *Log) Floor(agent pollenfront.AgentRef) uint64 {
	r, known := l.records[agent.Name]
	if known && r.incarnation != agent.Incarnation {
		return max(r.floor, r.token)
	}
	return r.floor
}

// Expire removes the tokens of agents that were last heard of long ago.
func (l *Log) Expire(now time.Duration) {
	maps.DeleteFunc(l.records, func(_ string, r record) bool { return now-r.at > retention })
}
