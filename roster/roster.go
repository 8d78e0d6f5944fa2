// Package roster keeps account of the agents' incarnations, so that an entry
// that comes to own a job knows whether every agent that may hold a record of
// it can be asked.
//
// # Usage
//
//	r := roster.New()
//	r.Connected(ref, now)
//	r.Lost(ref, now)          // it died; its records are gone
//	r.Left(ref, now)          // it handed its records over
//	name := r.Unaccounted(since)
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// A State is what is known of an agent's incarnation.
type State string

// States of an incarnation.
const (
	Connected State = "connected" // Can be asked.
	Dead      State = "dead"      // Died before a later incarnation started; its records are gone.
	Left      State = "left"      // Handed its records over.
	Lost      State = "lost"      // Is not reached from here; others may reach it.
)

// A Member is one incarnation of an agent.
type Member struct {
	Ref   pollenfront.ServerRef `json:"ref"`
	Since time.Time             `json:"since"` // Wall-clock time of the last change of State.
	State State                 `json:"state"`
}

// A Roster keeps account of agents. It is not safe for concurrent use.
type Roster struct {
	members map[pollenfront.ServerRef]Member
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{members: make(map[pollenfront.ServerRef]Member)}
}

// Connected records that an incarnation can be asked. Earlier incarnations of
// the agent that did not leave are dead since it started, which its number
// tells in Unix milliseconds.
func (r *Roster) Connected(ref pollenfront.ServerRef, now time.Time) {
	if m, ok := r.members[ref]; ok && m.State != Lost {
		return
	}
	r.set(ref, Connected, now)
	r.buryEarlier(ref)
}

// Lost records that an incarnation can't be asked.
func (r *Roster) Lost(ref pollenfront.ServerRef, now time.Time) {
	if m, ok := r.members[ref]; ok && m.State == Connected {
		r.set(ref, Lost, now)
	}
}

// Left records that an incarnation has handed its records over.
func (r *Roster) Left(ref pollenfront.ServerRef, now time.Time) {
	r.set(ref, Left, now)
}

// Merge takes in what another entry knows. Agents that the other entry is
// connected to count as lost until they connect here too.
func (r *Roster) Merge(members []Member, now time.Time) {
	for _, m := range members {
		if known, ok := r.members[m.Ref]; ok && (known.State != Lost || m.State == Connected || m.State == Lost) {
			continue
		}
		if m.State == Connected || m.State == Lost {
			m.State, m.Since = Lost, now
		}
		r.members[m.Ref] = m
	}
	for ref := range r.members {
		r.buryEarlier(ref)
	}
}

// Unaccounted returns the name of an agent that may have started tasks since
// the given time and can't be asked. It returns an empty string if there is
// none. An agent that is not reached from here counts however long that has
// been so: the former owner may have reached it.
func (r *Roster) Unaccounted(since time.Time) string {
	for _, m := range r.Members() {
		if m.State == Lost || m.State == Dead && m.Since.After(since) {
			return m.Ref.Name
		}
	}
	return ""
}

// Forget drops the incarnations that were lost or left before the given time.
func (r *Roster) Forget(before time.Time) {
	for ref, m := range r.members {
		if m.State != Connected && m.Since.Before(before) {
			delete(r.members, ref)
		}
	}
}

// Members returns all members in the order of names and incarnations.
func (r *Roster) Members() []Member {
	members := make([]Member, 0, len(r.members))
	for _, m := range r.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Ref.Name, b.Ref.Name), cmp.Compare(a.Ref.Incarnation, b.Ref.Incarnation))
	})
	return members
}

// buryEarlier marks the earlier incarnations of an agent as dead.
func (r *Roster) buryEarlier(ref pollenfront.ServerRef) {
	started := time.UnixMilli(int64(ref.Incarnation))
	for other, m := range r.members {
		if other.Name == ref.Name && other.Incarnation < ref.Incarnation && (m.State == Connected || m.State == Lost) {
			r.set(other, Dead, started)
		}
	}
}

// set records a state.
func (r *Roster) set(ref pollenfront.ServerRef, state State, now time.Time) {
	r.members[ref] = Member{Ref: ref, Since: now, State: state}
}
