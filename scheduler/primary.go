package scheduler

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/pollenfront/pollenfront"
)

// SetEntries takes the entries that share the servers, this one among them.
//
// Each server has one home entry, which prefers it. Entries place tasks on
// reports that are a few milliseconds old; if all of them preferred the same
// fast servers, they would fill these together and leave the others idle. The
// home of a server is in its zone where an entry is there.
func (s *Scheduler) SetEntries(entries []pollenfront.EntryRecord) {
	s.entries = slices.SortedFunc(slices.Values(entries), func(a, b pollenfront.EntryRecord) int { return cmp.Compare(a.Name, b.Name) })
	for _, a := range s.sortedAgents {
		a.primary = s.isPrimary(a)
	}
}

// isPrimary reports whether this entry is the home of an agent's server.
func (s *Scheduler) isPrimary(a *agent) bool {
	home, best, near := s.name, uint64(0), false
	for _, e := range s.entries {
		inZone := e.Zone == a.zone
		if near && !inZone {
			continue
		}
		if weight := rendezvous(e.Name, a.Name); inZone && !near || weight > best {
			home, best, near = e.Name, weight, inZone
		}
	}
	return home == s.name
}

// rendezvous returns the weight of an entry for an agent.
func rendezvous(entry, agent string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(agent))
	// The lower bits of similar names differ more than the upper ones.
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}
