package scheduler

import (
	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/cell"
)

// SetEntries sets the registered entries, which must include this one.
//
// Each server has one primary entry, which prefers it. Entries place tasks by
// reports that are a few milliseconds old. If all entries preferred the same fast
// servers, they would fill these at the same time and leave the others idle. The
// primary entry of a server is in the server's zone if that zone has an entry.
func (s *Scheduler) SetEntries(entries []pollenfront.EntryRecord) {
	s.entries = entries
	for _, a := range s.sortedAgents {
		a.primary = s.isPrimary(a)
	}
}

// IsPrimary reports whether this entry is the primary entry of the server of the agent
// with the given name.
func (s *Scheduler) IsPrimary(name string) bool {
	a, ok := s.agents[name]
	return ok && a.primary
}

// isPrimary reports whether this entry is the primary entry of an agent's server.
func (s *Scheduler) isPrimary(a *agent) bool {
	primary := cell.Primary(a.Name, a.zone, s.entries)
	return primary == s.name || primary == ""
}
