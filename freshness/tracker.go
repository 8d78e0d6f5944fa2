// Package freshness keeps the proofs that a process's view is current.
//
// A proof says: at this instant no newer version of the view was accepted.
// There are three kinds. A read of the platform's table that returned the
// version at hand proves it at the instant the read was sent. Another process
// can pass on its own proof with its age. And answers from a majority of the
// entries that none of them knows a newer version prove it too, also while the
// table is out: an accepted change has been confirmed by a majority, and two
// majorities share a member.
//
// # Usage
//
//	t := freshness.NewTracker(self)
//	t.SetView(v)
//	t.TableRead(sentAt, version)
//	if age, ok := t.Age(now); !ok || age > freshness.Limit { … refuse … }
package freshness

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront/view"
)

// ContactLimit is how long an entry may accept jobs after a majority of the
// entries has last answered it. The others may fence it only after a longer
// silence, so that it has ceased to accept by then.
const ContactLimit = 1200 * time.Millisecond

// Limit is the greatest age of a proof under which a task may start. It bounds
// how long after an accepted change work can still start under the old view.
const Limit = 3 * time.Second

// A PeerReport is what another entry says about its own view.
type PeerReport struct {
	Age       time.Duration `json:"age"`       // Of its newest proof.
	HasProof  bool          `json:"has-proof"` // Whether Age is set.
	Name      string        `json:"name"`
	TableDown bool          `json:"table-down"` // Its last reads of the table failed.
	Version   uint64        `json:"version"`
}

// A Tracker keeps the newest proof that a view is current. Instants are
// monotonic and local to the process.
type Tracker struct {
	agreed  map[string]time.Time // Instant up to which an entry knew no newer version.
	contact map[string]time.Time // Instant of the last message to an entry that it answered.
	members []string             // Names of the entries that a majority is counted over.
	proof   time.Time
	self    string    // Name of the entry, empty in an agent.
	tableAt time.Time // Instant of the last successful read, sent.
	version uint64
}

// NewTracker returns a Tracker for the entry named self, or for an agent if
// self is empty.
func NewTracker(self string) *Tracker {
	return &Tracker{self: self, agreed: make(map[string]time.Time), contact: make(map[string]time.Time)}
}

// SetView tells the tracker which view the process holds now. A proof of an
// older version holds for it too: what was not newer than that version is not
// newer than this one.
func (t *Tracker) SetView(v *view.View) {
	if v.Version <= t.version {
		return
	}
	t.version = v.Version
	t.members = v.Voters()
}

// TableRead records that a read of the table, sent at sentAt, returned the
// given version.
func (t *Tracker) TableRead(sentAt time.Time, version uint64) {
	t.tableAt = later(t.tableAt, sentAt)
	if version <= t.version {
		t.proof = later(t.proof, sentAt)
	}
}

// TableDown reports whether no read of the table sent in the last Limit has
// succeeded.
func (t *Tracker) TableDown(now time.Time) bool {
	return now.Sub(t.tableAt) > Limit
}

// Passed records a proof that another process passed on, in an answer to a
// message sent at sentAt. The proof counts from sentAt, the latest instant
// that is certainly not after the answer was made.
func (t *Tracker) Passed(sentAt time.Time, version uint64, age time.Duration) {
	if version <= t.version {
		t.proof = later(t.proof, sentAt.Add(-age))
	}
}

// Peer records another entry's report, in an answer to a message sent at
// sentAt.
func (t *Tracker) Peer(sentAt time.Time, report PeerReport) {
	if report.Version <= t.version { // One that is ahead may have seen this entry fenced.
		t.contact[report.Name] = later(t.contact[report.Name], sentAt)
	}
	if report.HasProof {
		t.Passed(sentAt, report.Version, report.Age)
	}
	if report.Version <= t.version {
		t.agreed[report.Name] = later(t.agreed[report.Name], sentAt)
	}
}

// Age returns the age of the newest proof. It returns false if there is none.
func (t *Tracker) Age(now time.Time) (time.Duration, bool) {
	proof := later(t.proof, t.majorityProof(now))
	if proof.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(proof)), true
}

// Fresh reports whether the newest proof is no older than Limit.
func (t *Tracker) Fresh(now time.Time) bool {
	age, ok := t.Age(now)
	return ok && age <= Limit
}

// Remaining returns how long the newest proof still allows starts. It is zero
// or less if it no longer does.
func (t *Tracker) Remaining(now time.Time) time.Duration {
	age, ok := t.Age(now)
	if !ok {
		return 0
	}
	return Limit - age
}

// Report returns what this process says about its own view.
func (t *Tracker) Report(now time.Time) PeerReport {
	age, ok := t.Age(now)
	return PeerReport{Age: age, HasProof: ok, Name: t.self, TableDown: t.TableDown(now), Version: t.version}
}

// InContact reports whether a majority of the entries, this one included, has
// answered within ContactLimit.
func (t *Tracker) InContact(now time.Time) bool {
	at := t.majorityInstant(now, t.contact)
	return !at.IsZero() && now.Sub(at) <= ContactLimit
}

// majorityProof returns the instant up to which a majority of the entries has
// said that it knows no newer version. It returns the zero time if there is no
// such majority.
func (t *Tracker) majorityProof(now time.Time) time.Time {
	return t.majorityInstant(now, t.agreed)
}

// majorityInstant returns the newest instant that the instants of a majority
// of the entries reach. The instant of the process itself is now.
func (t *Tracker) majorityInstant(now time.Time, byName map[string]time.Time) time.Time {
	if !slices.Contains(t.members, t.self) {
		return time.Time{}
	}
	needed := Majority(len(t.members)) - 1 // The process itself is one.
	if needed == 0 {
		return now
	}
	var instants []time.Time
	for _, name := range t.members {
		if at, ok := byName[name]; ok && name != t.self {
			instants = append(instants, at)
		}
	}
	if len(instants) < needed {
		return time.Time{}
	}
	slices.SortFunc(instants, func(a, b time.Time) int { return b.Compare(a) })
	return instants[needed-1]
}

// Majority returns the smallest majority of n.
func Majority(n int) int {
	return n/2 + 1
}

// later returns the later of two instants.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
