package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront/demandshare"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Parameters of overloaded entries.
const (
	// heardLifetime is how long an entry counts as overloaded after another entry has
	// named it. On idle links commands come twice a second, and name one entry each.
	heardLifetime = 1500 * time.Millisecond
	// overloadFactor is how much the demand of an overloaded entry exceeds its share.
	// An entry refuses jobs whose wait would make them late, so its demand hardly exceeds
	// its share by more than the 1.6 times of its work within which an answer is on time.
	overloadFactor = 1.2
	// roomShare is the part of the capacity that is free on a server which can serve
	// further entries.
	roomShare = 0.25
)

// An overload is what an agent knows of overloaded entries.
type overload struct {
	// heard holds the times at which entries have named overloaded ones, by name hash.
	heard map[uint32]time.Duration
	// linked are the name hashes of the linked entries that are overloaded at this server,
	// in the order of the names.
	linked []uint32
}

// findOverloaded finds the overloaded entries among the linked ones, and forgets those of
// which nothing was heard for heardLifetime.
func (x *Executor) findOverloaded(now time.Duration) {
	if x.shares == nil {
		return
	}
	x.overload.linked = x.overload.linked[:0]
	shares := x.Shares(now)
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		if share := shares[name]; share.Target > 0 && share.Demand > overloadFactor*share.Target {
			x.overload.linked = append(x.overload.linked, demandshare.NameHash(name))
		}
	}
	maps.DeleteFunc(x.overload.heard, func(_ uint32, at time.Duration) bool { return now-at > heardLifetime })
}

// overloadedEntry returns the name hash of an overloaded entry for an update to another
// entry, or zero if there is none.
func (x *Executor) overloadedEntry(now time.Duration, receiver string) uint32 {
	return demandshare.SelectOverloaded(x.overload.linked, int(now/UpdateInterval), demandshare.NameHash(receiver))
}

// OverloadedEntries returns the name hashes of the overloaded entries: the linked ones that
// are overloaded at this server, and those that linked entries have named.
func (x *Executor) OverloadedEntries() []uint32 {
	hashes := slices.AppendSeq(slices.Clone(x.overload.linked), maps.Keys(x.overload.heard))
	slices.Sort(hashes)
	return hashes
}

// HasRoom reports whether the server has capacity for further entries.
func (x *Executor) HasRoom(now time.Duration) bool {
	return x.State() == tasklink.StateReady && float64(x.unreservedResources(now).CPU) >= roomShare*float64(x.server.capacity.learned.CPU)
}
