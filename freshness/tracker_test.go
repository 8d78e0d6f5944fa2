package freshness_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pollenfront/pollenfront/freshness"
	"github.com/pollenfront/pollenfront/view"
)

// A world is a table and entries that can be cut off from it, from each other,
// and frozen. Versions change only their number.
type world struct {
	accepted map[uint64]time.Time
	cutTable map[int]bool
	cutPeers map[[2]int]bool
	entries  []*entry
	frozen   map[int]bool
	now      time.Time
	tableUp  bool
	version  uint64
}

// An entry is a tracker with its version.
type entry struct {
	tracker *freshness.Tracker
	version uint64
}

func newWorld(entries int) *world {
	w := &world{
		accepted: map[uint64]time.Time{}, cutPeers: map[[2]int]bool{}, cutTable: map[int]bool{}, frozen: map[int]bool{},
		now: time.Unix(1000, 0), tableUp: true, version: 1,
	}
	for i := range entries {
		w.entries = append(w.entries, &entry{tracker: freshness.NewTracker(name(i))})
	}
	for _, e := range w.entries {
		w.adopt(e, 1)
	}
	return w
}

// viewOf returns a view with n owners.
func viewOf(version uint64, n int) *view.View {
	set := view.EntrySet{From: 1}
	for i := range n {
		set.Voters = append(set.Voters, name(i))
	}
	return &view.View{EntrySets: []view.EntrySet{set}, Version: version}
}

func name(i int) string { return fmt.Sprintf("e%d", i) }

func (w *world) adopt(e *entry, version uint64) {
	if version <= e.version {
		return
	}
	e.version = version
	e.tracker.SetView(viewOf(version, len(w.entries)))
}

func (w *world) readTable(i int) {
	if w.frozen[i] || w.cutTable[i] || !w.tableUp {
		return
	}
	w.adopt(w.entries[i], w.version)
	w.entries[i].tracker.TableRead(w.now, w.version)
	w.noteAccepted()
}

func (w *world) ping(t *rapid.T, i, j int) {
	if i == j || w.frozen[i] || w.frozen[j] || w.cutPeers[[2]int{min(i, j), max(i, j)}] {
		return
	}
	a, b := w.entries[i], w.entries[j]
	sentAt := w.now
	// The answer may take a while, during which nothing else changes here.
	report := b.tracker.Report(w.now)
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "answer-ms")) * time.Millisecond)
	a.tracker.Peer(sentAt, report)
	if report.Version > a.version {
		w.adopt(a, report.Version)
	}
	w.noteAccepted()
}

func (w *world) write() {
	if w.tableUp {
		w.version++
	}
}

// noteAccepted applies the rule for acceptance: committed, and held by a
// majority of the entries.
func (w *world) noteAccepted() {
	holders := 0
	for _, e := range w.entries {
		if e.version >= w.version {
			holders++
		}
	}
	if _, known := w.accepted[w.version]; !known && holders >= freshness.Majority(len(w.entries)) {
		w.accepted[w.version] = w.now
	}
}

// check fails if an entry may start tasks under a version although a newer one
// has been accepted for longer than the limit.
func (w *world) check(t *rapid.T) {
	for i, e := range w.entries {
		if w.frozen[i] || !e.tracker.Fresh(w.now) {
			continue
		}
		for version, at := range w.accepted {
			if version > e.version && w.now.Sub(at) > freshness.Limit {
				t.Fatalf("entry %d is fresh with version %d, %v after version %d was accepted", i, e.version, w.now.Sub(at), version)
			}
		}
	}
}

func TestNoProofOutlivesAnAcceptedChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "entries")
		w := newWorld(n)
		one := rapid.IntRange(0, n-1)
		t.Repeat(map[string]func(*rapid.T){
			"": w.check,
			"cut-peers": func(t *rapid.T) {
				a, b := one.Draw(t, "a"), one.Draw(t, "b")
				flip(w.cutPeers, [2]int{min(a, b), max(a, b)})
			},
			"cut-table": func(t *rapid.T) { flip(w.cutTable, one.Draw(t, "entry")) },
			"freeze":    func(t *rapid.T) { flip(w.frozen, one.Draw(t, "entry")) },
			"ping":      func(t *rapid.T) { w.ping(t, one.Draw(t, "from"), one.Draw(t, "to")) },
			"ping-all": func(t *rapid.T) {
				for i := range n {
					for j := range n {
						w.ping(t, i, j)
					}
				}
			},
			"read":        func(t *rapid.T) { w.readTable(one.Draw(t, "entry")) },
			"table-fault": func(*rapid.T) { w.tableUp = !w.tableUp },
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"write": func(*rapid.T) { w.write() },
		})
	})
}

func flip[K comparable](m map[K]bool, key K) { m[key] = !m[key] }

func TestTracker(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name  string
		after time.Duration
		do    func(*freshness.Tracker)
		fresh bool
	}{
		{name: "nothing is proved at first", do: func(*freshness.Tracker) {}},
		{name: "a read of the table proves", do: func(x *freshness.Tracker) { x.TableRead(start, 7) }, fresh: true},
		{name: "a proof ages", after: freshness.Limit + time.Millisecond, do: func(x *freshness.Tracker) { x.TableRead(start, 7) }},
		{name: "a read of a newer version proves nothing", do: func(x *freshness.Tracker) { x.TableRead(start, 8) }},
		{name: "a proof of an older version holds for this one", do: func(x *freshness.Tracker) { x.TableRead(start, 6) }, fresh: true},
		{
			name: "a proof outlives a change of the view", fresh: true,
			do: func(x *freshness.Tracker) { x.TableRead(start, 7); x.SetView(viewOf(8, 3)) },
		},
		{name: "a passed proof keeps its age", do: func(x *freshness.Tracker) { x.Passed(start, 7, freshness.Limit+1) }},
		{name: "one of three is no majority", after: 4 * time.Second, do: func(x *freshness.Tracker) { x.TableRead(start, 7) }},
		{
			name: "two of three are a majority", after: 4 * time.Second, fresh: true,
			do: func(x *freshness.Tracker) {
				x.Peer(start.Add(3*time.Second), freshness.PeerReport{Name: "e1", TableDown: true, Version: 7})
			},
		},
		{
			name: "a peer with a newer view proves nothing", after: 4 * time.Second,
			do: func(x *freshness.Tracker) {
				x.Peer(start.Add(3*time.Second), freshness.PeerReport{Name: "e1", Version: 8})
			},
		},
		{
			name: "an entry that is not in the view has no say in the majority", after: 4 * time.Second,
			do: func(x *freshness.Tracker) {
				x.Peer(start.Add(3*time.Second), freshness.PeerReport{Name: "e9", Version: 7})
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker := freshness.NewTracker("e0")
			tracker.SetView(viewOf(7, 3))
			test.do(tracker)
			qt.Assert(t, tracker.Fresh(start.Add(test.after)), qt.Equals, test.fresh)
		})
	}
}
