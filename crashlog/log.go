// Package crashlog keeps the crashes of processes with the tasks that they were working
// on, so that a task which crashes every process that works on it is not started without
// a limit.
//
// Entries and agents each have a Log, and pass the crashes that they learn of to all of
// their peers. A crash therefore reaches the entries and agents that have no link to the
// crashed process, and those that start later. They need the store for neither.
//
// A process takes along tasks that have nothing to do with its crash. One crash
// therefore only makes a task suspect. A task that has exceeded the limit must not be
// started again. The shorter a task had run when its server crashed, the likelier it has
// caused the crash.
//
// # Usage
//
//	log := crashlog.New()
//	isNew := log.Add(now, crash, peer)
//	crashes, cursor := log.Since(now, cursor, peer)
//	if log.Exceeded(task) { … }
package crashlog

import (
	"maps"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// Limits on crashes.
const (
	// batchSize is the largest number of crashes that Since returns.
	batchSize = 64
	// maxCrashes is the number of crashes with which a task exceeds the limit, if one of
	// them is that of a server.
	maxCrashes = 2
	// maxOtherCrashes replaces maxCrashes if none of them is that of a server. Agents are
	// also killed and restarted by operators, and cut off by the network.
	maxOtherCrashes = 3
	// maxRecords is the number of crashes that are kept.
	maxRecords = 512
	// minAge is added to the age of a run, so that runs of a few milliseconds are about
	// as suspicious as each other.
	minAge = 5 * time.Millisecond
	// minSuspicion is the share in the suspicion of a crash from which on a job is a
	// likely culprit. A crash costs more than this share of it is worth.
	minSuspicion = 0.1
	// retention is how long a crash is kept. It is longer than callers submit a job
	// again.
	retention = 2 * time.Minute
)

// A Log holds the crashes of the last minutes. It is not safe for concurrent use.
type Log struct {
	counts map[pollenfront.TaskID]count
	// firstSeqNum is the sequence number of the first record.
	firstSeqNum uint64
	known       map[key]bool
	// records lists the crashes in the order in which they were added.
	records []record
}

// A count is how many processes have crashed while they were working on a task.
type count struct {
	all, servers int
}

// A key identifies a crash.
type key struct {
	process  pollenfront.Process
	reporter string
}

// keyOf returns the key of a crash.
func keyOf(crash *pollenfront.Crash) key {
	return key{process: crash.Process, reporter: crash.Reporter}
}

// A record is a crash in a Log.
type record struct {
	at    time.Duration
	crash pollenfront.Crash
	// source is the peer from which the crash was learned, or empty.
	source string
}

// New returns an empty Log.
func New() *Log {
	return &Log{counts: make(map[pollenfront.TaskID]count), firstSeqNum: 1, known: make(map[key]bool)}
}

// Add adds a crash that was learned from a peer, or detected here if peer is empty. It
// returns false if the crash is known, without tasks, or too old to be kept.
func (l *Log) Add(now time.Duration, crash pollenfront.Crash, peer string) bool {
	if l.known[keyOf(&crash)] || len(crash.Tasks) == 0 || crash.Age > retention {
		return false
	}
	if len(l.records) == maxRecords {
		l.removeFirst()
	}
	l.known[keyOf(&crash)] = true
	l.records = append(l.records, record{at: now - crash.Age, crash: crash, source: peer})
	l.countTasks(&crash, 1)
	return true
}

// countTasks adds change to the counts of the tasks of a crash.
func (l *Log) countTasks(crash *pollenfront.Crash, change int) {
	for _, crashed := range crash.Tasks {
		c := l.counts[crashed.Task]
		c.all += change
		if crash.Process.Kind == pollenfront.ProcessServer {
			c.servers += change
		}
		l.counts[crashed.Task] = c
		if c.all == 0 {
			delete(l.counts, crashed.Task)
		}
	}
}

// removeFirst removes the first record.
func (l *Log) removeFirst() {
	crash := &l.records[0].crash
	l.countTasks(crash, -1)
	delete(l.known, keyOf(crash))
	l.records = slices.Delete(l.records, 0, 1)
	l.firstSeqNum++
}

// Expire removes the crashes that are older than retention.
func (l *Log) Expire(now time.Duration) {
	for len(l.records) > 0 && now-l.records[0].at > retention {
		l.removeFirst()
	}
}

// Since returns crashes that were added after the one at cursor and not learned from
// peer, and the cursor for the next call. The first cursor is zero.
func (l *Log) Since(now time.Duration, cursor uint64, peer string) ([]pollenfront.Crash, uint64) {
	var crashes []pollenfront.Crash
	next := max(cursor, l.firstSeqNum-1)
	for _, r := range l.records[next-(l.firstSeqNum-1):] {
		if len(crashes) == batchSize {
			break
		}
		next++
		if r.source == "" || r.source != peer {
			r.crash.Age = now - r.at
			crashes = append(crashes, r.crash)
		}
	}
	return crashes, next
}

// Suspect reports whether a process has crashed while it was working on a task.
func (l *Log) Suspect(task pollenfront.TaskID) bool {
	return l.counts[task].all > 0
}

// Exceeded reports whether so many processes have crashed while they were working on a
// task that it must not be started again.
func (l *Log) Exceeded(task pollenfront.TaskID) bool {
	c := l.counts[task]
	if c.servers == 0 {
		return c.all >= maxOtherCrashes
	}
	return c.all >= maxCrashes
}

// LikelyCulprit reports whether a job is likely to have caused a crash of a server that it
// was on.
func (l *Log) LikelyCulprit(job string) bool {
	return l.countCulprit(job, 0) > 0
}

// MostLikelyCulprit reports whether a job is the one that is most likely to have caused a
// crash of a server that it was on.
func (l *Log) MostLikelyCulprit(job string) bool {
	return l.countCrashes(0, func(crash *pollenfront.Crash) bool {
		shares := shares(crash, jobOf)
		return shares[job] > 0 && shares[job] == slices.Max(slices.Collect(maps.Values(shares)))
	}) > 0
}

// countCulprit returns the number of crashes since the given time that a job is likely to
// have caused.
func (l *Log) countCulprit(job string, since time.Duration) int {
	return l.countCrashes(since, func(crash *pollenfront.Crash) bool { return shares(crash, jobOf)[job] >= minSuspicion })
}

// RouteCrashes returns the number of crashes of servers since the given time that a job of
// a route is likely to have caused, and whether there is a job of it that is likely to have
// caused two or more of them.
func (l *Log) RouteCrashes(route string, since time.Duration) (crashes int, certain bool) {
	crashes = l.countCrashes(since, func(crash *pollenfront.Crash) bool {
		for i := range crash.Tasks {
			crashed := &crash.Tasks[i]
			certain = certain || crashed.Route == route && l.counts[crashed.Task].servers > 1 && l.countCulprit(crashed.Task.Job, since) > 1
		}
		return RouteSuspicion(crash, route) >= minSuspicion
	})
	return crashes, certain
}

// countCrashes returns the number of crashes of servers since the given time for which
// condition holds.
func (l *Log) countCrashes(since time.Duration, condition func(crash *pollenfront.Crash) bool) int {
	n := 0
	for i := range l.records {
		r := &l.records[i]
		if r.at >= since && r.crash.Process.Kind == pollenfront.ProcessServer && condition(&r.crash) {
			n++
		}
	}
	return n
}

// RouteSuspicion returns how likely it is that a job of a route has caused a crash, from 0
// to 1.
func RouteSuspicion(crash *pollenfront.Crash, route string) float64 {
	return shares(crash, func(crashed *pollenfront.CrashedTask) string { return crashed.Route })[route]
}

// jobOf returns the ID of the job of a task.
func jobOf(crashed *pollenfront.CrashedTask) string {
	return crashed.Task.Job
}

// shares divides the suspicion of having caused a crash among groups of its tasks. The
// shares add up to 1.
func shares(crash *pollenfront.Crash, group func(crashed *pollenfront.CrashedTask) string) map[string]float64 {
	weights, sum := make(map[string]float64), 0.0
	for i := range crash.Tasks {
		crashed := &crash.Tasks[i]
		weight := 1 / (max(0, crashed.Age) + minAge).Seconds()
		weights[group(crashed)] += weight
		sum += weight
	}
	for name := range weights {
		weights[name] /= sum
	}
	return weights
}

// ServerCrashed reports whether a server has crashed since the given time with tasks of
// other jobs than the given one only.
func (l *Log) ServerCrashed(since time.Duration, except string) bool {
	return l.countCrashes(since, func(crash *pollenfront.Crash) bool {
		return !slices.ContainsFunc(crash.Tasks, func(crashed pollenfront.CrashedTask) bool { return crashed.Task.Job == except })
	}) > 0
}

// Len returns the number of crashes in the log.
func (l *Log) Len() int {
	return len(l.records)
}
