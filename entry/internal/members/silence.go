package members

import (
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/freshness"
	"github.com/pollenfront/pollenfront/peer"
)

// Abandoned reports whether an entry is silent and can't be fenced now, since
// the table is down.
func (m *Members) Abandoned(name string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	if name == m.settings.Name || !m.tracker.TableDown(now) {
		return false
	}
	return now.Sub(m.heard[name].at) > deadAfter
}

// Silence returns for how long the other entries have been silent, if they
// have been so for long enough to be fenced.
func (m *Members) Silence() []peer.Silence {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.silence(time.Now())
}

// MayAnswer reports whether a ping of an entry may be answered. A vote that an
// entry is silent is a promise not to answer it until the fence that the vote
// may lead to has been written: an entry that resumes in between must not take
// the answer for contact, and accept jobs that the fence says it did not.
func (m *Members) MayAnswer(name string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	at, ok := m.promised[name]
	return !ok || time.Since(at) > promiseTime
}

// silence returns for how long the other entries have been silent, and promises
// not to answer those that have been so.
func (m *Members) silence(now time.Time) []peer.Silence {
	var silence []peer.Silence
	for _, e := range m.view.Entries {
		if d := now.Sub(m.heard[e.Name].at); e.Name != m.settings.Name && d > deadAfter {
			m.promised[e.Name] = now
			silence = append(silence, peer.Silence{For: d, Name: e.Name})
		}
	}
	return silence
}

// A deadEntry is an entry that a majority does not hear.
type deadEntry struct {
	ref      pollenfront.EntryRef
	silentAt time.Time // Wall-clock time since which it can't have accepted jobs.
}

// deadEntries returns the entries that a majority, with recent votes, does not
// hear. Such an entry has ceased to accept jobs: each vote says since when the
// voter has not answered it.
func (m *Members) deadEntries(now time.Time) []deadEntry {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var dead []deadEntry
	for _, own := range m.silence(now) {
		shortest := own.For
		voted := m.majorityOfEachSet(func(voter string) bool {
			if voter == m.settings.Name {
				return true
			}
			vote, ok := m.vote(voter, own.Name, now)
			if ok {
				shortest = min(shortest, vote)
			}
			return ok
		})
		if e, ok := m.view.Entry(own.Name); ok && voted {
			dead = append(dead, deadEntry{ref: e.Ref(), silentAt: now.Add(freshness.ContactLimit - shortest)})
		}
	}
	return dead
}

// vote returns for how long another entry has not heard the one named. It
// returns false if that entry's last report is old or does not say so.
func (m *Members) vote(voter, name string, now time.Time) (time.Duration, bool) {
	h := m.heard[voter]
	if now.Sub(h.at) >= voteLimit {
		return 0, false
	}
	for _, s := range h.silence {
		if s.Name == name {
			return s.For, true
		}
	}
	return 0, false
}

// forgetSilence starts the count of silence anew after this process itself was
// paused.
func (m *Members) forgetSilence(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	paused := !m.lastRound.IsZero() && now.Sub(m.lastRound) > roundInterval+pauseLimit
	m.lastRound = now
	if !paused {
		return
	}
	for name, h := range m.heard {
		h.at = now
		h.silence = nil
		m.heard[name] = h
	}
}
