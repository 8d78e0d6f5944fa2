package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/refusal"
)

// A taskState is the state of a task at its owner.
type taskState int

// States of a task.
const (
	taskQueued taskState = iota
	taskSent             // An attempt is under way.
	taskSucceeded
	taskFailed  // Started and failed, or its outcome is unknown.
	taskDropped // Given up without a start.
)

// A waitFor says which server a queued task waits for.
type waitFor struct {
	server string
	wait   time.Duration
}

// String describes the wait to an operator.
func (w waitFor) String() string {
	if w.server == "" {
		return "no backend server has had room yet"
	}
	return fmt.Sprintf("%s is expected to be free in %v and to finish them first", w.server, w.wait.Round(time.Millisecond))
}

// A task is what the dispatcher keeps of a task.
type task struct {
	attempt uint64
	choice  Choice
	pollenfront.Task
	outcome   pollenfront.Outcome
	refusals  int // Attempts that did not start.
	sentAt    time.Time
	server    pollenfront.ServerRef
	state     taskState
	withdrawn bool // Whether a withdrawal was sent for this attempt.
}

// A job is what the dispatcher keeps of a job until all its attempts ended.
type job struct {
	accepted uint64
	answered bool
	arrived  time.Time
	key      time.Time // Jobs of a team are served in the order of this instant.
	pollenfront.Job
	note     waitFor
	queued   []*task // Longest first.
	sent     int
	started  bool // Whether a task may have started.
	succeeds int
	tasks    map[string]*task
}

// newJob returns a job whose tasks are all queued, the longest declared first.
func newJob(e Submit, now time.Time) *job {
	j := &job{accepted: e.Accepted, arrived: now, Job: e.Job, tasks: make(map[string]*task, len(e.Job.Tasks))}
	for _, t := range e.Job.Tasks {
		added := &task{Task: t}
		j.tasks[t.Name] = added
		j.queued = append(j.queued, added)
	}
	slices.SortStableFunc(j.queued, func(a, b *task) int { return cmp.Compare(b.Declared, a.Declared) })
	return j
}

// unqueue takes a task out of the queue.
func (j *job) unqueue(t *task) {
	j.queued = slices.DeleteFunc(j.queued, func(queued *task) bool { return queued == t })
}

// complete returns the answer of a job whose tasks all succeeded.
func (j *job) complete() pollenfront.Answer {
	answer := pollenfront.Answer{Job: j.ID, Status: pollenfront.StatusComplete}
	for _, t := range j.Tasks {
		done := j.tasks[t.Name]
		answer.Results = append(answer.Results, pollenfront.TaskResult{
			Name: t.Name, Payload: done.outcome.Payload, RunTime: done.outcome.RunTime, Server: done.server.Name,
		})
	}
	return answer
}

// givenUp returns the answer of a job that is given up for the reason.
func (j *job) givenUp(reason *refusal.Error) pollenfront.Answer {
	answer := pollenfront.Answer{
		Job: j.ID, Message: reason.Error(), Reason: string(reason.Kind), RetryAfter: reason.RetryAfter, Status: pollenfront.StatusFailed,
	}
	switch {
	case reason.Kind == refusal.OutcomeUnknown:
		answer.Status = pollenfront.StatusUnknown
	case !j.started && j.sent == 0:
		answer.Status = pollenfront.StatusNotRun
	}
	return answer
}

// wait describes why tasks of the job are queued.
func (j *job) wait() string {
	if len(j.queued) == 0 {
		return ""
	}
	return fmt.Sprintf("%d of %d tasks queued: %s", len(j.queued), len(j.Tasks), j.note)
}
