package pollenfront

import "time"

// A Submission is a job as a caller submitted it, whose tasks are all alike.
// Unless AtMostOnce is set, they may run again from the start once an earlier run has
// ended.
type Submission struct {
	AtMostOnce bool          // No task may run again once a run of it may have begun.
	Count      int           // Tasks.
	DataLabel  string        // Of the servers near the job's data, or empty. Elsewhere its tasks take longer.
	Estimate   time.Duration // The caller's guess of a task's run time, often far off.
	ID         string        // Chosen by the caller.
	Need       Resources     // Of one task.
	Payload    string        // Passed to the backend server with each task.
	Route      Route         // As configured when the job was submitted.
	Step       int           // Number of the step that the tasks belong to.
	TimeLimit  time.Duration // How long the caller waits for the answer.
}
