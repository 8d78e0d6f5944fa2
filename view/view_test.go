package view_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/view"
)

const retention = 5 * time.Minute

var start = time.Now()

// apply applies changes in turn, a second apart.
func apply(t testing.TB, v *view.View, changes ...view.Change) *view.View {
	t.Helper()
	for i, change := range changes {
		next, err := v.Apply(change, start.Add(time.Duration(i)*time.Second), retention)
		qt.Assert(t, err, qt.IsNil)
		v = next
	}
	return v
}

func join(name string, incarnation uint64, zone string) view.Change {
	return view.Change{Entry: view.Entry{Incarnation: incarnation, Name: name, Zone: zone}, ID: name, Operation: view.OpJoin}
}

// active returns the changes by which an entry comes to own jobs.
func active(name, zone string) []view.Change {
	ref := pollenfront.EntryRef{Incarnation: 1, Name: name}
	return []view.Change{join(name, 1, zone), {ID: name + "-active", Operation: view.OpActivate, Ref: ref}}
}

func TestApply(t *testing.T) {
	base := apply(t, &view.View{}, join("e1", 1, "west"), join("e2", 1, "east"))
	e1 := pollenfront.EntryRef{Incarnation: 1, Name: "e1"}
	tests := []struct {
		name   string
		first  view.Change // Applied before, as another operator's.
		change view.Change
		want   refusal.Kind
	}{
		{name: "take out", change: view.Change{Name: "west", Operation: view.OpTakeOutZone}},
		{name: "take out an unknown zone", change: view.Change{Name: "north", Operation: view.OpTakeOutZone}, want: refusal.BadRequest},
		{
			name: "racing operators", first: view.Change{Name: "west", Operation: view.OpTakeOutZone}, want: refusal.Conflict,
			change: view.Change{Base: 2, Name: "west", Operation: view.OpReturnZone},
		},
		{
			name: "operators at two zones do not race", first: view.Change{Name: "east", Operation: view.OpTakeOutZone},
			change: view.Change{Base: 2, Name: "west", Operation: view.OpTakeOutZone},
		},
		{name: "fence", change: view.Change{Operation: view.OpFence, Ref: e1}},
		{
			name: "a late fence does not hit the successor", first: join("e1", 2, "west"), want: refusal.Conflict,
			change: view.Change{Operation: view.OpFence, Ref: e1},
		},
		{name: "restart at the same address", change: join("e1", 2, "west")},
		{
			name: "restart at another address while the old one may run", want: refusal.Conflict,
			change: view.Change{Entry: view.Entry{Incarnation: 2, Name: "e1", Peer: "127.0.1.9:7000", Zone: "west"}, Operation: view.OpJoin},
		},
		{name: "reinstate a server that is not retired", change: view.Change{Name: "x", Operation: view.OpReinstate}, want: refusal.UnknownServer},
		{name: "quota of zero", change: view.Change{Operation: view.OpSetTeam, Team: view.Team{Name: "a", Weight: 1}}, want: refusal.BadRequest},
		{name: "unknown setting", change: view.Change{Operation: view.OpSetting, Setting: view.Setting{Key: "x", Value: "1"}}, want: refusal.BadRequest},
		{name: "unknown policy", change: view.Change{Operation: view.OpSetting, Setting: view.Setting{Key: "policy", Value: "x"}}, want: refusal.BadRequest},
		{name: "unknown operation", change: view.Change{Operation: "x"}, want: refusal.BadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := base
			if test.first.Operation != "" {
				v = apply(t, v, test.first)
			}
			next, err := v.Apply(test.change, start, retention)
			if test.want != "" {
				qt.Assert(t, refusal.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, next.Version, qt.Equals, v.Version+1)
		})
	}
}

func TestEntriesOfAZoneThatIsOutOwnNoNewJobs(t *testing.T) {
	v := apply(t, &view.View{}, append(active("e1", "west"), active("e2", "east")...)...)
	v = apply(t, v, view.Change{Name: "west", Operation: view.OpTakeOutZone})
	qt.Assert(t, v.Members(), qt.DeepEquals, []pollenfront.EntryRef{{Incarnation: 1, Name: "e2"}})
	qt.Assert(t, v.Voters(), qt.DeepEquals, []string{"e1", "e2"}, qt.Commentf("they still run and vote"))
	v = apply(t, v, view.Change{Name: "west", Operation: view.OpReturnZone})
	qt.Assert(t, v.Members(), qt.HasLen, 2)
}

func TestFormerOwners(t *testing.T) {
	const settle, skew = 6 * time.Second, time.Second
	v := apply(t, &view.View{}, active("e1", "west")...)
	v, err := v.Apply(view.Change{Operation: view.OpFence, Ref: pollenfront.EntryRef{Incarnation: 1, Name: "e1"}}, start.Add(time.Minute), retention)
	qt.Assert(t, err, qt.IsNil)
	for _, change := range active("e2", "east") {
		v, err = v.Apply(change, start.Add(time.Minute), retention)
		qt.Assert(t, err, qt.IsNil)
	}
	self := pollenfront.EntryRef{Incarnation: 1, Name: "e2"}
	old, recent := idAt(start.Add(time.Minute)), idAt(start.Add(time.Minute+settle+skew+time.Second))
	qt.Assert(t, v.FormerOwners(old, self, settle, skew), qt.DeepEquals, []pollenfront.EntryRef{{Incarnation: 1, Name: "e1"}})
	qt.Assert(t, v.FormerOwners(recent, self, settle, skew), qt.HasLen, 0)
}

// idAt returns a job ID that was created at a time.
func idAt(at time.Time) pollenfront.JobID {
	hex := fmt.Sprintf("%012x", at.UnixMilli())
	return pollenfront.JobID(hex[:8] + "-" + hex[8:] + "-7000-8000-000000000000")
}

func TestOwnershipMovesOnlyWithTheEntryThatChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 2, 8, rapid.ID).Draw(t, "entries")
		v := &view.View{}
		for _, name := range names {
			for _, change := range active(name, "west") {
				next, err := v.Apply(change, start, retention)
				if err != nil {
					t.Fatal(err)
				}
				v = next
			}
		}
		gone := v.Entries[rapid.IntRange(0, len(names)-1).Draw(t, "gone")]
		next, err := v.Apply(view.Change{Operation: view.OpLeft, Ref: gone.Ref()}, start, retention)
		if err != nil {
			t.Fatal(err)
		}
		for range 50 {
			id := pollenfront.NewJobID()
			before, _ := v.Owner(id)
			after, ok := next.Owner(id)
			if !ok || after.Ref() == gone.Ref() || (before.Ref() != gone.Ref() && before.Ref() != after.Ref()) {
				t.Fatalf("job moved from %s to %s when %s left", before.Name, after.Name, gone.Name)
			}
			at, ok := next.OwnerAt(id, v.Version)
			if !ok || at != before.Ref() {
				t.Fatalf("the owner at version %d was %s, not %s", v.Version, before.Name, at.Name)
			}
		}
	})
}

func TestViewsNeverRevert(t *testing.T) {
	base := apply(t, &view.View{}, join("e1", 1, "west"), join("e2", 1, "east"))
	rapid.Check(t, func(t *rapid.T) {
		v := base
		out := map[string]bool{}
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			zone := rapid.SampledFrom([]string{"east", "west"}).Draw(t, "zone")
			takeOut := rapid.Bool().Draw(t, "take-out")
			base := uint64(rapid.IntRange(0, int(v.Version)).Draw(t, "base"))
			change := view.Change{Base: base, ID: fmt.Sprint(i), Name: zone, Operation: view.OpReturnZone}
			if takeOut {
				change.Operation = view.OpTakeOutZone
			}
			next, err := v.Apply(change, start, retention)
			if err != nil {
				continue
			}
			out[zone] = takeOut
			v = next
			for name, want := range out {
				if v.ZoneOut(name) != want {
					t.Fatalf("zone %s reverted", name)
				}
			}
			if version, ok := v.AppliedAt(change.ID); !ok || version != v.Version {
				t.Fatalf("change %s can't be read back", change.ID)
			}
		}
	})
}

// An entry whose zone was taken out may accept jobs under the view before until
// the change reaches it, also if it dies later.
func TestFormerOwnerThatDiedAfterItsZoneWasTakenOut(t *testing.T) {
	const settle, skew = 3 * time.Second, time.Second
	v := apply(t, &view.View{}, append(active("e1", "west"), active("e2", "east")...)...)
	takenOut := start.Add(time.Minute)
	v, err := v.Apply(view.Change{Name: "west", Operation: view.OpTakeOutZone}, takenOut, retention)
	qt.Assert(t, err, qt.IsNil)
	e1 := pollenfront.EntryRef{Incarnation: 1, Name: "e1"}
	fence := view.Change{Operation: view.OpFence, Ref: e1, Silent: takenOut.Add(10 * time.Second)}
	v, err = v.Apply(fence, takenOut.Add(12*time.Second), retention)
	qt.Assert(t, err, qt.IsNil)
	self := pollenfront.EntryRef{Incarnation: 1, Name: "e2"}
	for n := range 20 {
		id := idAt(takenOut.Add(2500 * time.Millisecond))[:35] + pollenfront.JobID(fmt.Sprintf("%x", n%16))
		owner, _ := v.OwnerAt(id, 4)
		former := v.FormerOwners(id, self, settle, skew)
		qt.Assert(t, len(former) == 1, qt.Equals, owner == e1, qt.Commentf("owner %v, former %v", owner, former))
	}
}
