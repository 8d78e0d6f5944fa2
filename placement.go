package pollenfront

import "time"

// A ServerCandidate is a backend server that a task could be sent to, with the
// entry's estimates for that task.
type ServerCandidate struct {
	// CanStart reports whether the server has free resources for the task, or
	// will have them by the time the task arrives there.
	CanStart bool
	// Free is the amount of resources that is not needed by the tasks known to
	// be on the server or on the way to it. It can be negative.
	Free Resources
	// Penalty is added to TimeToFinish when servers are compared, so that other
	// servers are preferred.
	Penalty time.Duration
	// TimeToFinish is the expected time until the server has finished the task.
	TimeToFinish time.Duration
}

// A TaskTiming states how urgent a task is.
type TaskTiming struct {
	// JobStarted reports whether tasks of the same job were already sent to
	// servers.
	JobStarted bool
	// PastLatestStart reports whether the job's latest start has passed, which
	// is the latest time at which it can start and be on time.
	PastLatestStart bool
	// UntilDue is the time within which the task must end for the job to be on
	// time.
	UntilDue time.Duration
	// UntilExpiry is the time within which the task must end for a late answer
	// to be of any use.
	UntilExpiry time.Duration
}

// A Chooser chooses the backend server for a task.
type Chooser interface {
	// Choose returns the index of the chosen server, or -1 if the task should
	// wait.
	Choose(task TaskTiming, servers []ServerCandidate) int
}
