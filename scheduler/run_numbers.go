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
	// former has the newest run of each task of a canceled job, to log when the job is
	// submitted again.
	former []*formerRun
	number int
}

// record records the run numbers of a job that ends now.
func (r runNumbers) record(now time.Duration, j *job) {
	highest := 0
	for _, t := range j.tasks {
		highest = max(highest, t.run.Number)
	}
	if highest > 0 {
		r[j.ID] = usedNumber{endedAt: now, former: j.formerRuns(), number: highest}
	}
}

// formerRuns returns the newest run of each task if the job was canceled, and nil otherwise.
func (j *job) formerRuns() []*formerRun {
	if !j.canceled {
		return nil
	}
	former := make([]*formerRun, len(j.tasks))
	for i, t := range j.tasks {
		former[i] = t.former
	}
	return former
}

// apply makes the runs of a new job continue the numbers of an earlier job with the same ID.
func (r runNumbers) apply(j *job) {
	used := r[j.ID]
	for i, t := range j.tasks {
		t.run.Number = used.number
		if i < len(used.former) {
			t.former = used.former[i]
		}
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
