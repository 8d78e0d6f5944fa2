package view

import (
	"hash/fnv"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/refusal"
)

// Owner returns the entry that owns the job under v. It returns false if no
// entry is active.
func (v *View) Owner(id pollenfront.JobID) (Entry, bool) {
	ref, ok := ownerIn(v.Members(), id)
	if !ok {
		return Entry{}, false
	}
	return v.Entry(ref.Name)
}

// OwnerAt returns the entry that owned the job at an earlier version. It
// returns false if the version is older than the history in v, newer than v,
// or had no active entry.
func (v *View) OwnerAt(id pollenfront.JobID, version uint64) (pollenfront.EntryRef, bool) {
	if version > v.Version {
		return pollenfront.EntryRef{}, false
	}
	for i := len(v.EntrySets) - 1; i >= 0; i-- {
		if v.EntrySets[i].From <= version {
			return ownerIn(v.EntrySets[i].Members, id)
		}
	}
	return pollenfront.EntryRef{}, false
}

// CheckOwner returns an error if the entry from may not start tasks of a job
// that it accepted under the view version at: a refusal.Fenced error if its
// incarnation is not in v, a refusal.NotOwner error if it did not own the job.
func (v *View) CheckOwner(id pollenfront.JobID, from pollenfront.EntryRef, at uint64) error {
	if !v.Has(from) {
		return refusal.New(refusal.Fenced, "entry %s incarnation %d is not in view %d", from.Name, from.Incarnation, v.Version).At(v.Version)
	}
	owner, ok := v.OwnerAt(id, at)
	if !ok || owner != from {
		return refusal.New(refusal.NotOwner, "entry %s did not own job %s at version %d", from.Name, id, at).At(v.Version)
	}
	return nil
}

// Voters returns the names of the entries that a majority is counted over.
func (v *View) Voters() []string {
	if len(v.EntrySets) == 0 {
		return nil
	}
	return v.EntrySets[len(v.EntrySets)-1].Voters
}

// FormerOwners returns the other entries that may have accepted the job before
// self came to own it, newest first. Settle is the time after a change during
// which a former owner that was not fenced may still accept a job, and skew the
// greatest lead of a job ID over the clock of the entry that wrote the change.
func (v *View) FormerOwners(id pollenfront.JobID, self pollenfront.EntryRef, settle, skew time.Duration) []pollenfront.EntryRef {
	var former []pollenfront.EntryRef
	seen := map[pollenfront.EntryRef]bool{self: true}
	for i := len(v.EntrySets) - 2; i >= 0; i-- {
		owner, ok := ownerIn(v.EntrySets[i].Members, id)
		if !ok || seen[owner] {
			continue
		}
		ceased := v.EntrySets[i+1].ceased(settle)
		if !id.Time().After(ceased.Add(skew)) {
			seen[owner] = true
			former = append(former, owner)
		}
	}
	return former
}

// ceased returns when an entry that owned jobs before the set came into force,
// and no longer did after, had ceased to accept them. An entry that was fenced
// had done so before, and so had one that its successor replaced. Any other was
// alive at the change, and may have accepted jobs until the change reached it.
func (s EntrySet) ceased(settle time.Duration) time.Time {
	switch {
	case s.Cause == OpFence && !s.Ceased.IsZero():
		return s.Ceased
	case s.Cause == OpJoin:
		return s.Since
	}
	return s.Since.Add(settle)
}

// UnsettledSets returns the entry sets that must confirm v before it counts as
// accepted: a majority of each set that was in force since the newest version
// that was known to be accepted when v was written.
func (v *View) UnsettledSets() []EntrySet {
	for i := len(v.EntrySets) - 1; i >= 0; i-- {
		if v.EntrySets[i].From <= v.Accepted {
			return v.EntrySets[i:]
		}
	}
	return v.EntrySets
}

// Members returns the entries that own jobs under v.
func (v *View) Members() []pollenfront.EntryRef {
	if len(v.EntrySets) == 0 {
		return nil
	}
	return v.EntrySets[len(v.EntrySets)-1].Members
}

// ownerIn returns the member with the highest rendezvous weight for id.
// Incarnations do not enter into the weight, so that an entry which restarts
// owns the same job IDs as before.
func ownerIn(members []pollenfront.EntryRef, id pollenfront.JobID) (pollenfront.EntryRef, bool) {
	var owner pollenfront.EntryRef
	var highest uint64
	found := false
	for _, member := range members {
		weight := rendezvousWeight(member.Name, id)
		if !found || weight > highest {
			owner, highest, found = member, weight, true
		}
	}
	return owner, found
}

// rendezvousWeight returns the weight of an entry for a job ID.
func rendezvousWeight(name string, id pollenfront.JobID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix is the finalizer of SplitMix64, which spreads the weak high bits of FNV.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
