package dispatch

import (
	"slices"
	"time"
)

// A laneKey names the queue of one kind of job of one team.
type laneKey struct {
	kind string
	team string
}

// A lane is the queue of one kind of job of one team, in the order of job.key.
type lane struct {
	jobs   []*job // Each has queued tasks.
	key    laneKey
	queued int // Tasks.
}

// add inserts a job in order.
func (l *lane) add(j *job) {
	i, _ := slices.BinarySearchFunc(l.jobs, j.key, func(other *job, key time.Time) int {
		if other.key.After(key) {
			return 1
		}
		return -1
	})
	l.jobs = slices.Insert(l.jobs, i, j)
}

// remove takes a job out.
func (l *lane) remove(j *job) {
	l.jobs = slices.DeleteFunc(l.jobs, func(other *job) bool { return other == j })
}

// at returns the queued task at the given position, and its job.
func (l *lane) at(position int) (*job, *task) {
	for _, j := range l.jobs {
		if position < len(j.queued) {
			return j, j.queued[position]
		}
		position -= len(j.queued)
	}
	return nil, nil
}
