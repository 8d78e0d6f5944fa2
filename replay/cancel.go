package replay

import (
	"maps"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// Parameters of requests to cancel a job.
const (
	// cancelBound is the time after the acknowledgement of a request after which no task of the
	// job may start.
	cancelBound         = 3 * time.Second
	cancelCheckInterval = 50 * time.Millisecond
	// cancelRetryDelay is the time after which a caller sends a request again that was not
	// acknowledged.
	cancelRetryDelay = 2500 * time.Millisecond
	cancelTimeLimit  = 4 * time.Second
	// cancelStopTime is the time that a server may take to stop a run.
	cancelStopTime = 50 * time.Millisecond
)

// CancelJobs requests to cancel a share of the jobs that have no answer. Each request goes to a
// random entry, and again to another one until it is acknowledged.
func (f *Fleet) CancelJobs(at time.Duration, share float64) {
	f.scheduleAt(at, func() {
		for _, id := range slices.Sorted(maps.Keys(f.jobs)) {
			if j := f.jobs[id]; !j.done && f.random.Float64() < share {
				f.requestCancel(j)
			}
		}
	})
}

// requestCancel sends a request to cancel a job to a random entry.
func (f *Fleet) requestCancel(j *callerJob) {
	if j.canceledAt > 0 {
		return
	}
	e := f.entries[f.random.IntN(len(f.entries))]
	f.schedule(callerEntryDelay, func() {
		e.handleEvent(e.generation, func() {
			e.applyEffects(e.scheduler.CancelJob(f.now, j.ref()))
			e.awaitCancel(j, f.now)
		})
	})
	f.schedule(cancelRetryDelay, func() { f.requestCancel(j) })
}

// ref returns the reference to the job.
func (j *callerJob) ref() pollenfront.JobRef {
	return pollenfront.JobRef{ID: j.id, Route: j.kind.Name}
}

// awaitCancel acknowledges a request to cancel a job as soon as its outcome is known.
func (e *entryNode) awaitCancel(j *callerJob, since time.Duration) {
	outcome, known := e.scheduler.CancelOutcome(e.fleet.now, j.ref(), e.fleet.now-since, cancelTimeLimit)
	switch {
	case !known:
		e.schedule(cancelCheckInterval, func() { e.awaitCancel(j, since) })
	case outcome != pollenfront.CancelUnconfirmed:
		e.fleet.acknowledgeCancel(j, outcome)
	}
}

// acknowledgeCancel records the acknowledgement of a request to cancel a job. If the fleet
// checks cancellations, the job must be over after cancelBound.
func (f *Fleet) acknowledgeCancel(j *callerJob, outcome pollenfront.CancelOutcome) {
	if j.canceledAt > 0 {
		return
	}
	j.canceledAt = f.now
	f.result.CancelOutcomes[outcome]++
	if outcome == pollenfront.CancelNoJob && !j.done {
		f.result.UnfoundJobs++
	}
	if !f.settings.CheckCancellations {
		return
	}
	if outcome == pollenfront.CancelNoJob && f.activeRunCount(j) > 0 {
		f.recordViolation("job %s was reported as not existing while its tasks are running", j.id)
	}
	f.schedule(cancelBound+cancelStopTime, func() {
		if n := f.activeRunCount(j); n > 0 {
			f.recordViolation("%d tasks of job %s are running %v after its cancellation was acknowledged", n, j.id, cancelBound+cancelStopTime)
		}
		if outcome == pollenfront.CancelDone && !j.done {
			f.recordViolation("the caller of job %s has no answer %v after its cancellation was acknowledged", j.id, cancelBound+cancelStopTime)
		}
	})
}

// checkStartAfterCancel records a violation if a task of the job starts too late after a request
// to cancel it was acknowledged, and the fleet checks cancellations.
func (f *Fleet) checkStartAfterCancel(j *callerJob) {
	if f.settings.CheckCancellations && j.canceledAt > 0 && f.now > j.canceledAt+cancelBound {
		f.recordViolation("a task of job %s is started %v after its cancellation was acknowledged", j.id, f.now-j.canceledAt)
	}
}

// activeRunCount returns the number of tasks of a job that are running.
func (f *Fleet) activeRunCount(j *callerJob) int {
	n := 0
	for i := range j.taskCount {
		if f.activeRuns[pollenfront.TaskID{Index: i, Job: j.id}] != nil {
			n++
		}
	}
	return n
}
