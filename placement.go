package pollenfront

import "time"

// A ServerCandidate is a server considered for a task, with what the entry
// expects of it.
type ServerCandidate struct {
	Available bool          // Whether it has room, or will have it when the task gets there.
	Cost      time.Duration // Expected time until the task is done there.
	Free      Resources     // Not needed by what is known to be there or on the way.
	Penalty   time.Duration // By which another server is preferred.
}

// A TaskTiming is what is left of a task's time.
type TaskTiming struct {
	JobStarted      bool          // Whether some tasks of the job were sent to servers.
	PastLatestStart bool          // Whether the latest start with which the job is in time has passed.
	UntilDue        time.Duration // Time left in which the job is in time.
	UntilExpiry     time.Duration // Time left in which a late answer is of use.
}

// A Chooser chooses the server of a task.
type Chooser interface {
	// Choose returns the index of the chosen server, or -1 if the task waits.
	Choose(task TaskTiming, servers []ServerCandidate) int
}
