// Package view defines the view: the one versioned record of everything that
// pollenfront's processes agree on.
//
// The view lives in one row of the platform's table and changes only by
// compare-and-set on its version. A process replaces its copy only by one with
// a higher version, so that no accepted change ever reverts.
//
// # Usage
//
// A process that wants a change reads the row, calls Apply and writes the
// result back. Everything else only reads:
//
//	owner, ok := v.Owner(id)              // who owns a new job
//	err := v.CheckOwner(id, from, at)     // may this entry start its tasks
//	err = v.CheckServer("fast-1", "west") // may this server start tasks
package view

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/refusal"
)

// An EntryState is the state of an entry in the view.
type EntryState string

// States of an entry. An entry that has left or is fenced is not in the view.
const (
	EntryActive  EntryState = "active"  // Owns job IDs.
	EntryJoining EntryState = "joining" // Gets to know the agents and owns no jobs yet.
	EntryLeaving EntryState = "leaving" // Finishes its jobs and owns no new ones.
)

// An Entry is an entry process that has joined.
type Entry struct {
	API         string     `json:"api"` // Address of the callers' HTTP API.
	Incarnation uint64     `json:"incarnation"`
	Name        string     `json:"name"`
	Peer        string     `json:"peer"` // Address for agents and other entries.
	State       EntryState `json:"state"`
	Zone        string     `json:"zone"`
}

// Ref returns the reference to e.
func (e Entry) Ref() pollenfront.EntryRef {
	return pollenfront.EntryRef{Incarnation: e.Incarnation, Name: e.Name}
}

// An EntrySet is the set of entries that owned job IDs from a version on, and
// of those that a majority is counted over. The latter has the entries that are
// leaving and those in zones that are out, too: they still run.
type EntrySet struct {
	Cause   Operation              `json:"cause"`
	Ceased  time.Time              `json:"ceased,omitzero"` // For a fence: when the entry had ceased to accept jobs.
	From    uint64                 `json:"from"`            // First version with this set.
	Members []pollenfront.EntryRef `json:"members"`
	Since   time.Time              `json:"since"`  // Wall-clock time of the change.
	Voters  []string               `json:"voters"` // Names.
}

// A Kind is a kind of job.
type Kind struct {
	Idempotent bool   `json:"idempotent"`
	Name       string `json:"name"`
}

// A Team is a client with a quota.
type Team struct {
	Changed uint64 `json:"changed"` // Version of the last change.
	Name    string `json:"name"`
	Quota   int    `json:"quota"`  // Tasks in flight over all entries.
	Weight  int    `json:"weight"` // Share of the slots when teams compete.
}

// A Zone is an availability zone.
type Zone struct {
	Changed uint64 `json:"changed"` // Version of the last change.
	Name    string `json:"name"`
	Out     bool   `json:"out"` // Taken out by operators.
}

// A RetiredServer is a backend server that gets no new work.
type RetiredServer struct {
	Changed uint64 `json:"changed"` // Version of the last change.
	Name    string `json:"name"`
}

// A View is one version of what is agreed on. Slices are sorted by name.
type View struct {
	Accepted  uint64          `json:"accepted"` // Newest version known to be accepted when this one was written.
	Changes   []AppliedChange `json:"changes"`  // The last changes, oldest first.
	Entries   []Entry         `json:"entries"`
	EntrySets []EntrySet      `json:"entry-sets"` // Of the last retention, oldest first.
	Kinds     []Kind          `json:"kinds"`
	Retired   []RetiredServer `json:"retired"`
	Settings  []Setting       `json:"settings"`
	Teams     []Team          `json:"teams"`
	Version   uint64          `json:"version"`
	Zones     []Zone          `json:"zones"`
}

// Entry returns the entry with the given name.
func (v *View) Entry(name string) (Entry, bool) {
	i := slices.IndexFunc(v.Entries, func(e Entry) bool { return e.Name == name })
	if i < 0 {
		return Entry{}, false
	}
	return v.Entries[i], true
}

// Has reports whether the given incarnation of an entry is in the view, active
// or leaving. One that is not has left or is fenced.
func (v *View) Has(ref pollenfront.EntryRef) bool {
	e, ok := v.Entry(ref.Name)
	return ok && e.Incarnation == ref.Incarnation
}

// Kind returns the kind with the given name.
func (v *View) Kind(name string) (Kind, bool) {
	i := slices.IndexFunc(v.Kinds, func(k Kind) bool { return k.Name == name })
	if i < 0 {
		return Kind{}, false
	}
	return v.Kinds[i], true
}

// Team returns the team with the given name.
func (v *View) Team(name string) (Team, bool) {
	i := slices.IndexFunc(v.Teams, func(t Team) bool { return t.Name == name })
	if i < 0 {
		return Team{}, false
	}
	return v.Teams[i], true
}

// CheckServer returns a refusal.ZoneOut or refusal.ServerRetired error if the
// server may not start tasks.
func (v *View) CheckServer(name, zone string) error {
	if v.ZoneOut(zone) {
		return refusal.New(refusal.ZoneOut, "zone %s is taken out", zone).At(v.Version)
	}
	if v.ServerRetired(name) {
		return refusal.New(refusal.ServerRetired, "backend server %s is retired", name).At(v.Version)
	}
	return nil
}

// ServerRetired reports whether operators have retired the server.
func (v *View) ServerRetired(name string) bool {
	return slices.ContainsFunc(v.Retired, func(r RetiredServer) bool { return r.Name == name })
}

// ZoneOut reports whether operators have taken the zone out.
func (v *View) ZoneOut(name string) bool {
	return slices.ContainsFunc(v.Zones, func(z Zone) bool { return z.Name == name && z.Out })
}
