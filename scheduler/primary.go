package scheduler

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/pollenfront/pollenfront"
)

// SetEntries sets the entries that share the servers, which must include this one.
//
// Each server has one primary entry, which prefers it. Entries place tasks by
// reports that are a few milliseconds old. If all entries preferred the same fast
// servers, they would fill these at the same time and leave the others idle. The
// primary entry of a server is in the server's zone if that zone has an entry.
func (s *Scheduler) SetEntries(entries []pollenfront.EntryRecord) {
	s.entries = slices.SortedFunc(slices.Values(entries), func(a, b pollenfront.EntryRecord) int { return cmp.Compare(a.Name, b.Name) })
	for _, a := range s.sortedAgents {
		a.primary = s.isPrimary(a)
	}
}

// isPrimary reports whether this entry is the primary entry of an agent's server.
// The primary entry is chosen by rendezvous hashing among the entries in the
// server's zone, or among all entries if there are none in it. All entries that have
// the same records choose the same one, and a new entry becomes the primary entry
// only of its share of the servers.
func (s *Scheduler) isPrimary(a *agent) bool {
	primary, maxWeight, foundInZone := s.name, uint64(0), false
	for _, e := range s.entries {
		sameZone := e.Zone == a.zone
		if foundInZone && !sameZone {
			continue
		}
		if weight := rendezvousWeight(e.Name, a.Name); sameZone && !foundInZone || weight > maxWeight {
			primary, maxWeight, foundInZone = e.Name, weight, sameZone
		}
	}
	return primary == s.name
}

// rendezvousWeight returns the weight of an entry for an agent in rendezvous
// hashing.
func rendezvousWeight(entry, agent string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(agent))
	// FNV-1a hashes of similar names differ less in the upper bits than in the lower
	// ones, so the bits are mixed before weights are compared.
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}
