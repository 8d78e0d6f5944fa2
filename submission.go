package pollenfront

import "time"

// A Submission is a job that a caller has submitted. Its tasks are all alike.
type Submission struct {
	// AtMostOnce is set if a task must not be run again once a run of it may
	// have started. Otherwise, a task may be run again from the start after an
	// earlier run has ended.
	AtMostOnce bool
	// DataLabel is the label of the servers near the job's data. The tasks take
	// longer on other servers. It is empty if the location does not matter.
	DataLabel string
	// Estimate is the caller's estimate of the run time of a task, which is
	// often far off.
	Estimate time.Duration
	// ID is the ID that the caller has chosen for the job.
	ID string
	// Need is the amount of resources that one task needs.
	Need Resources
	// Payload is passed to the backend server with each task.
	Payload string
	// Route is the route of the job, as configured when the job was submitted.
	Route Route
	// Step is the number of the job's step that the tasks belong to.
	Step int
	// TaskCount is the number of tasks.
	TaskCount int
	// TimeLimit is how long the caller waits for the answer.
	TimeLimit time.Duration
}

// Ref returns the reference to the job.
func (s *Submission) Ref() JobRef {
	return JobRef{ID: s.ID, Route: s.Route.Address()}
}
