package pollenfront

import (
	"context"
	"time"
)

// Jobs runs the jobs that callers submit to an entry.
type Jobs interface {
	// Config returns the configuration in force. An entry that has just started
	// may not have read one yet: Config then waits briefly, and returns nil if
	// there still is none.
	Config(ctx context.Context) *Config

	// Cancel cancels a job, whichever entry runs it: the job gets VerdictCanceled and its
	// runs are stopped. While the cancellation is remembered, the job is not started where it
	// is met. Cancel waits until it is known whether the job exists, but no longer than
	// timeLimit.
	Cancel(ctx context.Context, job JobRef, timeLimit time.Duration) CancelOutcome

	// Pending returns the number of a route's jobs of which no task was sent to
	// a server yet.
	Pending(route Route) int

	// Submit runs a job and returns its result. If the same job is already
	// running, Submit waits for the result of that one. If another job with the
	// same ID is running, the verdict is VerdictConflict. A job that may run at
	// most once does not run if its ID was submitted before. If ctx ends, the
	// caller has left: once no other caller waits for the job, its runs are
	// stopped.
	Submit(ctx context.Context, submission Submission) Result

	// RecordRefusal logs and counts a request that was refused before it became
	// a submission. id may be empty.
	RecordRefusal(id string, reason Reason, detail string)
}

// A CancelOutcome is how a request to cancel a job ended.
type CancelOutcome int

// Outcomes of requests to cancel a job. The cancellation stays in force after each of them.
const (
	CancelDone        CancelOutcome = iota // The entry that had the job has canceled it.
	CancelNoJob                            // No entry that could be reached has the job.
	CancelUnconfirmed                      // It is not known whether the job exists.
)

// String returns the name of the outcome in logs and metrics.
func (o CancelOutcome) String() string {
	switch o {
	case CancelDone:
		return "done"
	case CancelNoJob:
		return "no-job"
	case CancelUnconfirmed:
		return "unconfirmed"
	}
	return "invalid"
}
