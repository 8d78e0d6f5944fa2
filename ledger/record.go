package ledger

import (
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/refusal"
)

// A state is the state of a record.
type state int

// States of a record.
const (
	stateRefused state = iota // No attempt up to the recorded one starts.
	stateQueued
	stateRunning
	stateFinished
)

// A record is what the ledger keeps of a task.
type record struct {
	attempt uint64
	outcome pollenfront.Outcome
	owner   pollenfront.EntryRef
	start   Start
	started time.Time
	state   state
}

// find returns the record of a task, or nil.
func (l *Ledger) find(ref pollenfront.TaskRef) *record {
	return l.byJob[ref.Job][ref.Task]
}

// create adds a record of a task that is refused up to attempt zero.
func (l *Ledger) create(ref pollenfront.TaskRef) *record {
	tasks, ok := l.byJob[ref.Job]
	if !ok {
		tasks = make(map[string]*record)
		l.byJob[ref.Job] = tasks
		l.expiry = append(l.expiry, ref.Job)
	}
	r := &record{state: stateRefused}
	tasks[ref.Task] = r
	l.records++
	return r
}

// expire drops the records of jobs whose IDs are too old to be accepted
// again, in the order of arrival.
func (l *Ledger) expire(now time.Time) {
	for len(l.expiry) > 0 {
		id := l.expiry[0]
		if now.Sub(id.Time()) <= 2*l.retention || l.busy(id) {
			return
		}
		l.records -= len(l.byJob[id])
		for _, r := range l.byJob[id] {
			l.size -= len(r.outcome.Payload)
		}
		delete(l.byJob, id)
		l.expiry = l.expiry[1:]
	}
}

// busy reports whether a task of the job is queued or running.
func (l *Ledger) busy(id pollenfront.JobID) bool {
	for _, r := range l.byJob[id] {
		if r.state == stateQueued || r.state == stateRunning {
			return true
		}
	}
	return false
}

// Export returns the records of all tasks that have started, for another
// process to keep when this one leaves.
func (l *Ledger) Export() []pollenfront.TaskRecord {
	var records []pollenfront.TaskRecord
	for id, tasks := range l.byJob {
		for name, r := range tasks {
			if r.state == stateRunning || r.state == stateFinished {
				records = append(records, l.export(pollenfront.TaskRef{Job: id, Task: name}, r))
			}
		}
	}
	return records
}

// export returns a record in the form that other processes read.
func (l *Ledger) export(ref pollenfront.TaskRef, r *record) pollenfront.TaskRecord {
	return pollenfront.TaskRecord{
		Attempt: r.attempt, Finished: r.state == stateFinished, Outcome: r.outcome, Ref: ref, Server: l.self.Ref(),
	}
}

// notStarted returns the outcome of an attempt that was refused.
func notStarted(err error) pollenfront.Outcome {
	refused := refusal.From(err)
	return pollenfront.Outcome{Detail: refused.Detail, Reason: string(refused.Kind), State: pollenfront.OutcomeNotStarted}
}

// outcomeOf returns the outcome of a run that started.
func outcomeOf(e Finished, runTime time.Duration) pollenfront.Outcome {
	outcome := pollenfront.Outcome{Payload: e.Payload, RunTime: pollenfront.Duration(runTime), State: pollenfront.OutcomeSucceeded}
	if e.Err == nil {
		return outcome
	}
	refused := refusal.From(e.Err)
	outcome.Detail, outcome.Reason = refused.Detail, string(refused.Kind)
	outcome.State = pollenfront.OutcomeFailed
	if refused.Kind == refusal.OutcomeUnknown {
		outcome.State = pollenfront.OutcomeUnknown
	}
	return outcome
}
