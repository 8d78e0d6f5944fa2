package view

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/refusal"
)

// Limits on what the view remembers.
const (
	maxAppliedChanges = 128
	maxEntrySets      = 64
)

// An Operation is what a change does.
type Operation string

// Operations, in alphabetical order.
const (
	OpActivate    Operation = "activate"      // Makes an entry that has joined an owner.
	OpFence       Operation = "fence"         // Removes an incarnation of an entry that is dead.
	OpJoin        Operation = "join"          // Adds an entry that owns no jobs yet; replaces its earlier incarnation.
	OpLeave       Operation = "leave"         // Marks an entry as leaving.
	OpLeft        Operation = "left"          // Removes an entry that has finished its jobs.
	OpReinstate   Operation = "reinstate"     // Takes a server back that was retired.
	OpRetire      Operation = "retire"        // Stops new work for a server.
	OpReturnZone  Operation = "return-zone"   // Takes a zone back.
	OpSetKind     Operation = "set-kind"      // Adds or replaces a kind.
	OpSetTeam     Operation = "set-team"      // Adds or replaces a team.
	OpSetting     Operation = "set"           // Changes a setting.
	OpTakeOutZone Operation = "take-out-zone" // Stops new work in a zone.
)

// A Change is one requested change of the view. Only the fields that the
// operation needs are set.
type Change struct {
	Accepted  uint64               `json:"accepted,omitempty"` // Newest version that the writer knows to be accepted.
	Base      uint64               `json:"base,omitempty"`     // Version that the operator looked at; zero to overwrite.
	By        string               `json:"by"`                 // Who asked for the change.
	Entry     Entry                `json:"entry,omitzero"`
	ID        string               `json:"id"` // Unique, so that a lost answer can be resolved.
	Kind      Kind                 `json:"kind,omitzero"`
	Name      string               `json:"name,omitempty"` // Of a zone or a server.
	Operation Operation            `json:"operation"`
	Ref       pollenfront.EntryRef `json:"ref,omitzero"`
	Setting   Setting              `json:"setting,omitzero"`
	Silent    time.Time            `json:"silent,omitzero"` // For a fence: when the entry had ceased to accept jobs.
	Team      Team                 `json:"team,omitzero"`
}

// An AppliedChange is a change that is part of the view.
type AppliedChange struct {
	At        time.Time `json:"at"`
	By        string    `json:"by"`
	ID        string    `json:"id"`
	Operation Operation `json:"operation"`
	Version   uint64    `json:"version"`
}

// AppliedAt returns the version that the change with the given ID made.
func (v *View) AppliedAt(changeID string) (uint64, bool) {
	for _, applied := range v.Changes {
		if applied.ID == changeID {
			return applied.Version, true
		}
	}
	return 0, false
}

// Apply returns the successor of v after change. Entry sets that were replaced
// longer than retention before now are dropped. It returns a refusal.Conflict
// error if the object was changed after the version that the operator looked
// at, and a refusal.BadRequest error if the change makes no sense.
func (v *View) Apply(change Change, now time.Time, retention time.Duration) (*View, error) {
	next, err := v.clone()
	if err != nil {
		return nil, err
	}
	next.Version++
	if err := next.perform(change, v.Version); err != nil {
		return nil, err
	}
	next.Changes = append(next.Changes, AppliedChange{
		At: now, By: change.By, ID: change.ID, Operation: change.Operation, Version: next.Version,
	})
	next.Changes = tail(next.Changes, maxAppliedChanges)
	next.Accepted = max(next.Accepted, change.Accepted)
	next.recordEntrySet(change, now, retention)
	return next, nil
}

// clone returns a deep copy of v.
func (v *View) clone() (*View, error) {
	encoded, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	var c View
	if err := json.Unmarshal(encoded, &c); err != nil {
		return nil, err
	}
	return &c, nil
}

// perform carries out change on v, whose version is already the new one.
func (v *View) perform(change Change, present uint64) error {
	switch change.Operation {
	case OpJoin:
		return v.join(change.Entry)
	case OpActivate:
		return v.setState(change.Ref, EntryActive)
	case OpLeave:
		return v.setState(change.Ref, EntryLeaving)
	case OpLeft, OpFence:
		return v.removeEntry(change.Ref)
	case OpTakeOutZone, OpReturnZone:
		return v.setZone(change, present)
	case OpRetire, OpReinstate:
		return v.setRetired(change, present)
	case OpSetTeam:
		return v.setTeam(change, present)
	case OpSetKind:
		if change.Kind.Name == "" {
			return refusal.New(refusal.BadRequest, "a kind needs a name")
		}
		v.Kinds = put(v.Kinds, change.Kind, func(k Kind) string { return k.Name })
		return nil
	case OpSetting:
		return v.setSetting(change, present)
	}
	return refusal.New(refusal.BadRequest, "unknown operation %q", change.Operation)
}

// join adds an entry. It replaces an earlier incarnation only if that had the
// same address: then it can't run any more. One with another address may, and
// has to be fenced first.
func (v *View) join(entry Entry) error {
	if old, ok := v.Entry(entry.Name); ok && old.Peer != entry.Peer {
		return refusal.New(refusal.Conflict, "entry %s is in the view with address %s, and may still run there", old.Name, old.Peer).At(v.Version - 1)
	}
	entry.State = EntryJoining
	v.Entries = put(v.Entries, entry, func(e Entry) string { return e.Name })
	return v.addZone(entry.Zone)
}

// addZone adds a zone that the view does not have yet.
func (v *View) addZone(name string) error {
	if name == "" {
		return refusal.New(refusal.BadRequest, "an entry needs a zone")
	}
	if slices.ContainsFunc(v.Zones, func(z Zone) bool { return z.Name == name }) {
		return nil
	}
	v.Zones = put(v.Zones, Zone{Changed: v.Version, Name: name}, func(z Zone) string { return z.Name })
	return nil
}

// setState changes the state of an entry.
func (v *View) setState(ref pollenfront.EntryRef, state EntryState) error {
	for i := range v.Entries {
		if v.Entries[i].Ref() == ref {
			v.Entries[i].State = state
			return nil
		}
	}
	return refusal.New(refusal.Fenced, "entry %s incarnation %d is not in view %d", ref.Name, ref.Incarnation, v.Version-1)
}

// removeEntry removes an incarnation of an entry. Removing one that is not
// there is an error, so that a late fence can't hit its successor.
func (v *View) removeEntry(ref pollenfront.EntryRef) error {
	if !v.Has(ref) {
		return refusal.New(refusal.Conflict, "entry %s incarnation %d is not in view %d", ref.Name, ref.Incarnation, v.Version-1).At(v.Version - 1)
	}
	v.Entries = slices.DeleteFunc(v.Entries, func(e Entry) bool { return e.Ref() == ref })
	return nil
}

// setZone takes a zone out or back.
func (v *View) setZone(change Change, present uint64) error {
	i := slices.IndexFunc(v.Zones, func(z Zone) bool { return z.Name == change.Name })
	if i < 0 {
		return refusal.New(refusal.BadRequest, "unknown zone %q; `pollenctl show zones` lists the zones", change.Name)
	}
	if err := checkBase("zone "+change.Name, change.Base, v.Zones[i].Changed, present); err != nil {
		return err
	}
	v.Zones[i].Out = change.Operation == OpTakeOutZone
	v.Zones[i].Changed = v.Version
	return nil
}

// setRetired retires a server or takes it back.
func (v *View) setRetired(change Change, present uint64) error {
	if change.Name == "" {
		return refusal.New(refusal.BadRequest, "the name of a backend server is missing")
	}
	i := slices.IndexFunc(v.Retired, func(r RetiredServer) bool { return r.Name == change.Name })
	if i >= 0 {
		if err := checkBase("backend server "+change.Name, change.Base, v.Retired[i].Changed, present); err != nil {
			return err
		}
	}
	if change.Operation == OpReinstate {
		if i < 0 {
			return refusal.New(refusal.UnknownServer, "backend server %s is not retired", change.Name)
		}
		v.Retired = slices.Delete(v.Retired, i, i+1)
		return nil
	}
	retired := RetiredServer{Changed: v.Version, Name: change.Name}
	v.Retired = put(v.Retired, retired, func(r RetiredServer) string { return r.Name })
	return nil
}

// setTeam adds or replaces a team.
func (v *View) setTeam(change Change, present uint64) error {
	team := change.Team
	if team.Name == "" || team.Quota < 1 || team.Weight < 1 {
		return refusal.New(refusal.BadRequest, "a team needs a name, a quota and a weight of at least 1; found %q, %d and %d", team.Name, team.Quota, team.Weight)
	}
	if old, ok := v.Team(team.Name); ok {
		if err := checkBase("team "+team.Name, change.Base, old.Changed, present); err != nil {
			return err
		}
	}
	team.Changed = v.Version
	v.Teams = put(v.Teams, team, func(t Team) string { return t.Name })
	return nil
}

// recordEntrySet adds the present set of owners to the history if it has
// changed, and drops sets that were replaced too long ago. The owners are the
// active entries outside of the zones that are taken out.
func (v *View) recordEntrySet(change Change, now time.Time, retention time.Duration) {
	members, voters := []pollenfront.EntryRef{}, []string{}
	for _, e := range v.Entries {
		voters = append(voters, e.Name)
		if e.State == EntryActive && !v.ZoneOut(e.Zone) {
			members = append(members, e.Ref())
		}
	}
	if !slices.Equal(members, v.Members()) || !slices.Equal(voters, v.Voters()) {
		v.EntrySets = append(v.EntrySets, EntrySet{Cause: change.Operation, Ceased: change.Silent, From: v.Version, Members: members, Since: now, Voters: voters})
	}
	for len(v.EntrySets) > 1 && now.Sub(v.EntrySets[1].Since) > retention {
		v.EntrySets = v.EntrySets[1:]
	}
	v.EntrySets = tail(v.EntrySets, maxEntrySets)
}

// checkBase returns a refusal.Conflict error if an object was changed after
// the version that the operator looked at.
func checkBase(object string, base, changed, present uint64) error {
	if base == 0 || changed <= base {
		return nil
	}
	return refusal.New(refusal.Conflict, "%s was changed in version %d, after version %d that this change is based on", object, changed, base).At(present)
}

// put replaces the element with the key of value, or inserts value in order.
func put[T any](sorted []T, value T, key func(T) string) []T {
	i, found := slices.BinarySearchFunc(sorted, key(value), func(element T, target string) int {
		return cmp.Compare(key(element), target)
	})
	if found {
		sorted[i] = value
		return sorted
	}
	return slices.Insert(sorted, i, value)
}

// tail returns the last n elements of s.
func tail[T any](s []T, n int) []T {
	return s[max(0, len(s)-n):]
}
