package pollenfront

import "context"

// Jobs takes the jobs of callers.
type Jobs interface {
	// Config returns the configuration in force. An entry that has just
	// started waits a moment for the first one; there is none yet if it
	// returns nil.
	Config(ctx context.Context) *Config

	// Pending returns the number of a route's jobs that wait to start.
	Pending(route Route) int

	// Submit runs a job and returns how it ended. If ctx ends, the caller has
	// left: the job's runs are stopped.
	Submit(ctx context.Context, submission Submission) Result

	// RecordRefusal notes that a request was refused by its form.
	RecordRefusal(id string, reason Reason, detail string)
}
