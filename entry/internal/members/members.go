// Package members keeps the entry's copy of the view: it reads the platform's
// table, exchanges reports with the other entries, writes changes, and fences
// entries that are dead.
//
// # Usage
//
//	m := members.New(self, table, settings, metrics, logger)
//	m.OnView(func(v *view.View) { … })
//	go m.Run(ctx)
//	err := m.Join(ctx)
//	result, err := m.Change(ctx, change, false)
package members

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/freshness"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/settings"
	"github.com/pollenfront/pollenfront/view"
)

// Times of the membership.
const (
	acceptWait       = 5 * time.Second // Longest wait for a change to be accepted.
	acceptedMemory   = 64              // Accepted versions whose instant is kept.
	callTimeout      = time.Second
	fenceTimeout     = 3 * time.Second        // Longest time from the votes to the writes of a fence.
	deadAfter        = 2 * time.Second        // Silence after which an entry may be fenced.
	promiseTime      = 10 * time.Second       // Entries that were reported as silent are not answered for it.
	pingTimeout      = 600 * time.Millisecond // Shorter than freshness.ContactLimit, so that one silent entry does not cost the contact to the others.
	pauseLimit       = time.Second            // A longer gap between two rounds means that this process was paused.
	roundInterval    = 500 * time.Millisecond
	voteLimit        = 3 * roundInterval // Greatest age of another entry's vote.
	writeRetries     = 8
	writeRetryPause  = 50 * time.Millisecond
	rejoinRetryPause = 500 * time.Millisecond
)

// viewKey is the key of the view's row in the platform's table.
const viewKey = "view"

// A Members keeps the view of one entry.
type Members struct {
	accepted  []acceptance // In the order of versions.
	conns     map[string]*peer.Conn
	handler   peer.Handler
	heard     map[string]hearing
	joined    bool // Whether the present incarnation has joined.
	lastRound time.Time
	left      bool // Whether this entry leaves for good.
	logger    *zap.Logger
	metrics   *peer.Metrics
	mutex     sync.Mutex
	onFenced  func(pollenfront.EntryRef)
	onView    []func(*view.View)
	promised  map[string]time.Time // When an entry was last reported as silent.
	self      view.Entry
	settings  settings.Entry
	table     pollenfront.Table
	tracker   *freshness.Tracker
	view      *view.View
}

// An acceptance is the instant at which a version was learned to be accepted.
type acceptance struct {
	at      time.Time
	version uint64
}

// A hearing is what was last heard from another entry.
type hearing struct {
	at      time.Time
	silence []peer.Silence
	version uint64
}

// New returns a Members for the entry self, which has not joined yet.
func New(self view.Entry, table pollenfront.Table, s settings.Entry, metrics *peer.Metrics, logger *zap.Logger) *Members {
	return &Members{
		conns:    make(map[string]*peer.Conn),
		heard:    make(map[string]hearing),
		logger:   logger,
		metrics:  metrics,
		promised: make(map[string]time.Time),
		self:     self,
		settings: s,
		table:    table,
		tracker:  freshness.NewTracker(self.Name),
		view:     &view.View{},
	}
}

// OnFenced sets the function that is told the new incarnation after this entry
// was fenced and has rejoined.
func (m *Members) OnFenced(f func(pollenfront.EntryRef)) {
	m.onFenced = f
}

// OnView adds a function that is told every newer view.
func (m *Members) OnView(f func(*view.View)) {
	m.onView = append(m.onView, f)
}

// SetHandler sets the handler that serves calls on dialled connections.
func (m *Members) SetHandler(handler peer.Handler) {
	m.handler = handler
}

// Run reads the table and pings the other entries until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		m.round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// View returns the present view.
func (m *Members) View() *view.View {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.view
}

// Self returns the present incarnation of this entry.
func (m *Members) Self() pollenfront.EntryRef {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.self.Ref()
}

// Report returns what this entry says about its own view.
func (m *Members) Report() freshness.PeerReport {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.tracker.Report(time.Now())
}

// Fresh reports whether the view is proved to be current.
func (m *Members) Fresh() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.tracker.Fresh(time.Now())
}

// AcceptedFor returns how long this entry has known that a version, or a later
// one, is accepted. It returns false if it does not know.
func (m *Members) AcceptedFor(version uint64) (time.Duration, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, a := range m.accepted {
		if a.version >= version {
			return time.Since(a.at), true
		}
	}
	return 0, false
}

// Apply replaces the view by a newer one. It returns false if v is not newer.
func (m *Members) Apply(v *view.View) bool {
	m.mutex.Lock()
	if v.Version <= m.view.Version {
		m.mutex.Unlock()
		return false
	}
	before := m.view
	m.view = v
	m.tracker.SetView(v)
	now := time.Now()
	for _, e := range v.Entries {
		if old, ok := before.Entry(e.Name); !ok || old.Incarnation != e.Incarnation {
			m.heard[e.Name] = hearing{at: now}
			delete(m.promised, e.Name)
		}
	}
	m.mutex.Unlock()
	m.logger.Info("view changed", zap.Uint64("version", v.Version), zap.Int("entries", len(v.Entries)))
	for _, f := range m.onView {
		f(v)
	}
	return true
}

// InContact reports whether a majority of the entries has answered lately. An
// entry that is not may be fenced by the others, and must not accept jobs.
func (m *Members) InContact() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.tracker.InContact(time.Now())
}

// Hear takes in another entry's report. It returns true if the other entry has
// a newer view.
func (m *Members) Hear(report freshness.PeerReport, silence []peer.Silence, sentAt time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.heard[report.Name] = hearing{at: time.Now(), silence: silence, version: report.Version}
	if !sentAt.IsZero() {
		m.tracker.Peer(sentAt, report)
	}
	m.noteAccepted()
	return report.Version > m.view.Version
}

// Accepted returns the newest version that is known to be accepted.
func (m *Members) Accepted() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.newestAccepted()
}

// checkAccepted checks whether the present view is accepted, and returns the
// newest version that is.
func (m *Members) checkAccepted() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.noteAccepted()
	return m.newestAccepted()
}

// NoteAccepted takes in that another entry knows a version to be accepted.
func (m *Members) NoteAccepted(version uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.recordAccepted(version)
}

// Unconfirmed returns the names of the entries in the view that have not
// confirmed a version.
func (m *Members) Unconfirmed(version uint64) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var names []string
	for _, e := range m.view.Entries {
		if !m.confirmed(e.Name, version) {
			names = append(names, e.Name)
		}
	}
	return names
}

// Versions returns the version that each entry in the view has reported.
func (m *Members) Versions() map[string]uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	versions := make(map[string]uint64)
	for _, e := range m.view.Entries {
		versions[e.Name] = m.heard[e.Name].version
	}
	versions[m.self.Name] = m.view.Version
	return versions
}

// noteAccepted checks whether the present view is accepted: a majority of each
// set of entries that is not settled yet has confirmed it.
func (m *Members) noteAccepted() {
	version := m.view.Version
	if m.newestAccepted() < version && m.majorityOfEachSet(func(name string) bool { return m.confirmed(name, version) }) {
		m.recordAccepted(version)
	}
}

// majorityOfEachSet reports whether a majority of each set of entries that is
// not settled yet has a property.
func (m *Members) majorityOfEachSet(has func(name string) bool) bool {
	for _, set := range m.view.UnsettledSets() {
		count := 0
		for _, voter := range set.Voters {
			if has(voter) {
				count++
			}
		}
		if len(set.Voters) > 0 && count < freshness.Majority(len(set.Voters)) {
			return false
		}
	}
	return true
}

// recordAccepted records that a version is accepted.
func (m *Members) recordAccepted(version uint64) {
	if version <= m.newestAccepted() {
		return
	}
	m.accepted = append(m.accepted, acceptance{at: time.Now(), version: version})
	m.accepted = m.accepted[max(0, len(m.accepted)-acceptedMemory):]
}

// newestAccepted returns the newest version that is known to be accepted.
func (m *Members) newestAccepted() uint64 {
	if len(m.accepted) == 0 {
		return 0
	}
	return m.accepted[len(m.accepted)-1].version
}

// confirmed reports whether an entry is known to hold a version. A restarted
// entry confirms for its earlier incarnation, which can't run any more: both
// listen on the same address.
func (m *Members) confirmed(name string, version uint64) bool {
	return name == m.self.Name || m.heard[name].version >= version
}

// isConflict reports whether err is a conflict with another writer.
func isConflict(err error) bool {
	return refusal.Is(err, refusal.Conflict)
}
