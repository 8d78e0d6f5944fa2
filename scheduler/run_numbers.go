package scheduler

import (
	"maps"
	"time"
)

// runNumberRetention is how long the run numbers of an ended job are kept. Agents list ends of
// runs when they link again, and answer late, for less than that.
const runNumberRetention = 15 * time.Second

// runNumbers holds the highest run numbers of ended jobs by ID, so that a job which is submitted
// again does not use them for other runs.
type runNumbers map[string]usedNumber

// A usedNumber is the highest run number of a job that has ended.
type usedNumber struct {
	endedAt time.Duration
	number  int
}

// record records the run numbers of a job that ends now.
func (r runNumbers) record(now time.Duration, j *job) {
	highest := 0
	for _, t := range j.tasks {
		highest = max(highest, t.run.Number)
	}
	if highest > 0 {
		r[j.ID] = usedNumber{endedAt: now, number: highest}
	}
}

// apply makes the runs of a new job continue the numbers of an earlier job with the same ID.
func (r runNumbers) apply(j *job) {
	for _, t := range j.tasks {
		t.run.Number = r[j.ID].number
	}
}

// expire removes the numbers that are older than runNumberRetention.
func (r runNumbers) expire(now time.Duration) {
	maps.DeleteFunc(r, func(_ string, used usedNumber) bool { return now-used.endedAt > runNumberRetention })
}

// remove removes a job that has ended.
func (s *Scheduler) remove(now time.Duration, j *job) {
	s.runNumbers.record(now, j)
	delete(s.jobs, j.ID)
}
