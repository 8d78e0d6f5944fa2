package pollenfront

import "time"

// A ServerOutlook is what an entry expects of a server for one task.
type ServerOutlook struct {
	Cost    time.Duration // Expected time until the task is done there.
	Free    Room          // Not needed by what is known to be there or on the way.
	Penalty time.Duration // By which another server is preferred.
	Soon    bool          // Whether it has room, or will have it when the task gets there.
}

// A TaskOutlook is what is left of a task's time.
type TaskOutlook struct {
	Begun   bool          // Whether some tasks of the job were sent to servers.
	InTime  time.Duration // Time left in which the job is in time.
	Overdue bool          // Whether the latest start with which the job is in time has passed.
	Useful  time.Duration // Time left in which a late answer is of use.
}

// A Chooser chooses the server of a task.
type Chooser interface {
	// Choose returns the index of the chosen server, or -1 if the task waits.
	Choose(task TaskOutlook, servers []ServerOutlook) int
}
