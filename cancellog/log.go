// Package cancellog keeps the cancellations of jobs, so that a job which was canceled at any
// entry is not started, by whichever process it is met.
//
// Entries and agents each have a Log, and pass the cancellations that they learn of to all of
// their peers. A cancellation therefore reaches the entry that runs the job, and the agents
// beside the servers that run its tasks, without the store.
//
// # Usage
//
//	log := cancellog.New()
//	isNew := log.Add(now, cancellation, peer)
//	cancellations, cursor := log.Since(now, cursor, peer)
//	if log.Contains(job) { … }
package cancellog

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// Limits on cancellations.
const (
	// maxIDSize and maxRouteSize bound the parts of a JobRef that peers may state, in bytes.
	maxIDSize    = 64
	maxRouteSize = 1024
	// maxRecords is the number of cancellations that are kept.
	maxRecords = 2048
	// minRetention is how long a cancellation is kept although others arrive that have no room.
	// By then the runs of the job have ended, so that a start of it is no second run.
	minRetention = 2 * time.Second
	// retention is how long a cancellation is kept. It is longer than a submission may be
	// delayed.
	retention = 15 * time.Second
)

// A Log holds the cancellations of the last seconds. It is not safe for concurrent use.
type Log struct {
	// firstSeqNum is the sequence number of the first record.
	firstSeqNum uint64
	// newest maps each job to the sequence number of its newest record.
	newest map[pollenfront.JobRef]uint64
	// records lists the cancellations in the order in which they were added. A job has a
	// second record if it was found later.
	records []record
}

// A record is a cancellation in a Log.
type record struct {
	// at is when the cancellation was requested.
	at    time.Duration
	found bool
	job   pollenfront.JobRef
	// source is the peer from which the cancellation was learned, or empty.
	source string
}

// New returns an empty Log.
func New() *Log {
	return &Log{firstSeqNum: 1, newest: make(map[pollenfront.JobRef]uint64)}
}

// Add adds a cancellation that was learned from a peer, or here if peer is empty. It returns
// false if it states nothing new, or can't be kept: it is too old or too large, or there is no
// room for it.
func (l *Log) Add(now time.Duration, c pollenfront.Cancellation, peer string) bool {
	if c.Age > retention || len(c.ID) > maxIDSize || len(c.Route) > maxRouteSize {
		return false
	}
	if known, ok := l.find(c.JobRef); ok && (known.found || !c.Found) {
		return false
	}
	if len(l.records) == maxRecords {
		if now-l.records[0].at < minRetention {
			return false
		}
		l.removeFirst()
	}
	l.records = append(l.records, record{at: now - max(0, c.Age), found: c.Found, job: c.JobRef, source: peer})
	l.newest[c.JobRef] = l.last()
	return true
}

// find returns the newest record of a job, or false if there is none.
func (l *Log) find(job pollenfront.JobRef) (record, bool) {
	seqNum, ok := l.newest[job]
	if !ok {
		return record{}, false
	}
	return l.records[seqNum-l.firstSeqNum], true
}

// last returns the sequence number of the last record.
func (l *Log) last() uint64 {
	return l.firstSeqNum + uint64(len(l.records)) - 1
}

// removeFirst removes the first record.
func (l *Log) removeFirst() {
	if job := l.records[0].job; l.newest[job] == l.firstSeqNum {
		delete(l.newest, job)
	}
	l.records = slices.Delete(l.records, 0, 1)
	l.firstSeqNum++
}

// Expire removes the cancellations that are older than retention.
func (l *Log) Expire(now time.Duration) {
	for len(l.records) > 0 && now-l.records[0].at > retention {
		l.removeFirst()
	}
}

// Contains reports whether a job was canceled.
func (l *Log) Contains(job pollenfront.JobRef) bool {
	_, ok := l.newest[job]
	return ok
}

// Find returns the cancellation of a job, or false if it was not canceled.
func (l *Log) Find(now time.Duration, job pollenfront.JobRef) (pollenfront.Cancellation, bool) {
	r, ok := l.find(job)
	return r.cancellation(now), ok
}

// cancellation returns the cancellation of which r is the record.
func (r *record) cancellation(now time.Duration) pollenfront.Cancellation {
	return pollenfront.Cancellation{Age: now - r.at, Found: r.found, JobRef: r.job}
}

// SeqNum returns the sequence number of the cancellation of a job, or zero if it was not
// canceled. A peer that was told of all cancellations up to a cursor knows those with a
// sequence number up to it.
func (l *Log) SeqNum(job pollenfront.JobRef) uint64 {
	return l.newest[job]
}

// HasNews reports whether Since returns any cancellation.
func (l *Log) HasNews(cursor uint64, peer string) bool {
	for seqNum := max(cursor+1, l.firstSeqNum); seqNum <= l.last(); seqNum++ {
		if l.isNews(seqNum, peer) {
			return true
		}
	}
	return false
}

// isNews reports whether peer is to be told of a record: it is the newest one of its job, and
// was not learned from peer.
func (l *Log) isNews(seqNum uint64, peer string) bool {
	r := &l.records[seqNum-l.firstSeqNum]
	return l.newest[r.job] == seqNum && (r.source == "" || r.source != peer)
}

// Since returns the cancellations that were added after the one at cursor and not learned from
// peer, and the cursor for the next call. The first cursor is zero.
func (l *Log) Since(now time.Duration, cursor uint64, peer string) ([]pollenfront.Cancellation, uint64) {
	var news []pollenfront.Cancellation
	for seqNum := max(cursor+1, l.firstSeqNum); seqNum <= l.last(); seqNum++ {
		if l.isNews(seqNum, peer) {
			news = append(news, l.records[seqNum-l.firstSeqNum].cancellation(now))
		}
	}
	return news, max(cursor, l.last())
}
