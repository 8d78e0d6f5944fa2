package pollenfront

import "context"

// Jobs runs the jobs that callers submit to an entry.
type Jobs interface {
	// Config returns the configuration in force. An entry that has just started
	// may not have read one yet: Config then waits briefly, and returns nil if
	// there still is none.
	Config(ctx context.Context) *Config

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
