// Package crashlog keeps the crashes of processes with the tasks that they were working
// on, so that a task which crashes every process that works on it is not started without
// a limit.
//
// Entries and agents each have a Log, and pass the crashes that they learn of to all of
// their peers. A crash therefore reaches the entries and agents that have no link to the
// crashed process, and those that start later, without the store.
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
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// Limits on crashes.
const (
	// batchSize is the largest number of crashes that Since returns.
	batchSize = 64
	// maxCrashes is the number of servers that may crash under a task.
	maxCrashes = 2
	// maxUncertainCrashes is the number of processes that may crash under a task if it is
	// not certain that the task was running: an agent was lost, which operators also kill
	// and the network cuts off, or a server did not answer its start.
	maxUncertainCrashes = 3
	// maxRecords is the number of crashes that are kept.
	maxRecords = 512
	// minAge is added to the age of a run, so that runs of a few milliseconds are about
	// as suspicious as each other.
	minAge = 5 * time.Millisecond
	// minSuspicion is the share in the suspicion of a crash from which on a job is a
	// likely culprit. Starting a less suspicious job again is worth the risk of a crash.
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

// A count is how many processes have crashed while they were working on a task. servers are
// those servers on which the task had certainly been started.
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
	// jobShares holds the shares of the jobs in the suspicion of having caused the crash.
	jobShares map[string]float64
	// mostLikely is the job with the largest share.
	mostLikely string
	// routeShares holds the shares of the routes.
	routeShares map[string]float64
	// source is the peer from which the crash was learned, or empty.
	source string
}

// newRecord returns the record of a crash that was learned from a peer. The shorter a task
// had run, the larger is its share in the suspicion. The shares add up to 1.
func newRecord(now time.Duration, crash pollenfront.Crash, peer string) record {
	r := record{at: now - crash.Age, crash: crash, jobShares: make(map[string]float64), routeShares: make(map[string]float64), source: peer}
	sum := 0.0
	for i := range crash.Tasks {
		sum += weight(&crash.Tasks[i])
	}
	for i := range crash.Tasks {
		crashed := &crash.Tasks[i]
		share := weight(crashed) / sum
		r.jobShares[crashed.Task.Job] += share
		r.routeShares[crashed.Route] += share
	}
	for job, share := range r.jobShares {
		if share > r.jobShares[r.mostLikely] || share == r.jobShares[r.mostLikely] && job < r.mostLikely {
			r.mostLikely = job
		}
	}
	return r
}

// weight returns the weight of a task in the suspicion of having caused a crash.
func weight(crashed *pollenfront.CrashedTask) float64 {
	return 1 / (max(0, crashed.Age) + minAge).Seconds()
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
	l.records = append(l.records, newRecord(now, crash, peer))
	l.countTasks(&crash, 1)
	return true
}

// countTasks adds change to the counts of the tasks of a crash.
func (l *Log) countTasks(crash *pollenfront.Crash, change int) {
	for _, crashed := range crash.Tasks {
		c := l.counts[crashed.Task]
		c.all += change
		if crash.Process.Kind == pollenfront.ProcessServer && crashed.Started {
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
	return l.Failed(task) || l.counts[task].all >= maxUncertainCrashes
}

// Failed reports whether so many servers have certainly crashed under a task that its job
// has failed.
func (l *Log) Failed(task pollenfront.TaskID) bool {
	return l.counts[task].servers >= maxCrashes
}

// LikelyCulprit reports whether a job is likely to have caused a crash of a server that it
// was on.
func (l *Log) LikelyCulprit(job string) bool {
	return l.countCulprit(job, 0) > 0
}

// MostLikelyCulprit reports whether a job is the one that is most likely to have caused a
// crash of a server that it was on.
func (l *Log) MostLikelyCulprit(job string) bool {
	return l.countServerCrashes(0, func(r *record) bool { return r.mostLikely == job }) > 0
}

// countCulprit returns the number of crashes since the given time that a job is likely to
// have caused.
func (l *Log) countCulprit(job string, since time.Duration) int {
	return l.countServerCrashes(since, func(r *record) bool { return r.jobShares[job] >= minSuspicion })
}

// Crashes returns the number of crashes since the given time, of servers for which
// condition holds.
func (l *Log) Crashes(since time.Duration, condition func(server pollenfront.Process) bool) int {
	return l.countServerCrashes(since, func(r *record) bool { return condition(r.crash.Process) })
}

// RouteCrashes returns the number of crashes since the given time, of servers for which
// condition holds, that a job of a route is likely to have caused.
func (l *Log) RouteCrashes(route string, since time.Duration, condition func(server pollenfront.Process) bool) int {
	return l.countServerCrashes(since, func(r *record) bool { return r.routeShares[route] >= minSuspicion && condition(r.crash.Process) })
}

// HasCulprit reports whether a job of a route is likely to have caused two or more crashes
// since the given time.
func (l *Log) HasCulprit(route string, since time.Duration) bool {
	return l.countServerCrashes(since, func(r *record) bool {
		return slices.ContainsFunc(r.crash.Tasks, func(crashed pollenfront.CrashedTask) bool {
			return crashed.Route == route && l.Failed(crashed.Task) && l.countCulprit(crashed.Task.Job, since) >= maxCrashes
		})
	}) > 0
}

// RouteShares returns how likely it is that a job of each route has caused the crash that
// was added last: the shares of the routes in the suspicion, from 0 to 1.
func (l *Log) RouteShares() map[string]float64 {
	if len(l.records) == 0 {
		return nil
	}
	return l.records[len(l.records)-1].routeShares
}

// ServerCrashed reports whether a server has crashed since the given time with tasks of
// other jobs than the given one only.
func (l *Log) ServerCrashed(since time.Duration, except string) bool {
	return l.countServerCrashes(since, func(r *record) bool { return r.jobShares[except] == 0 }) > 0
}

// countServerCrashes returns the number of crashes of servers since the given time for
// which condition holds.
func (l *Log) countServerCrashes(since time.Duration, condition func(r *record) bool) int {
	n := 0
	for i := range l.records {
		r := &l.records[i]
		if r.at >= since && r.crash.Process.Kind == pollenfront.ProcessServer && condition(r) {
			n++
		}
	}
	return n
}

// Len returns the number of crashes in the log.
func (l *Log) Len() int {
	return len(l.records)
}
