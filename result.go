package pollenfront

import "time"

// A Verdict is how a submission ended.
type Verdict int

// Verdicts.
const (
	VerdictCompleted Verdict = iota // Every task succeeded.
	VerdictFailed                   // A task has failed as many times as its route allows, or too many processes have crashed under it.
	VerdictRefused                  // No task of this submission has started, and none will.
	VerdictUnknown                  // The job did not complete, and tasks of it may have run.
	VerdictConflict                 // Another job with the same ID is running.
	VerdictCanceled                 // A caller has canceled the job. Its runs are stopped, and it is not started again.
)

// String returns the name of the verdict in answers, logs and metrics.
func (v Verdict) String() string {
	switch v {
	case VerdictCompleted:
		return "completed"
	case VerdictFailed:
		return "failed"
	case VerdictRefused:
		return "refused"
	case VerdictUnknown:
		return "unknown"
	case VerdictConflict:
		return "conflict"
	case VerdictCanceled:
		return "canceled"
	}
	return "invalid"
}

// A Result is the answer to a submission.
type Result struct {
	// Detail explains the reason in words. It may be empty.
	Detail string
	// ID is the ID of the job.
	ID string
	// Reason is empty if the job was completed.
	Reason Reason
	// RetryAfter is the time after which the caller of a refused job may submit
	// it again, or zero if no time is stated.
	RetryAfter time.Duration
	// Trace is for logs; callers don't get it.
	Trace Trace
	// Verdict is how the submission ended.
	Verdict Verdict
}

// RetryAfterSeconds returns the value of a Retry-After header: the given time
// in whole seconds, rounded up.
func RetryAfterSeconds(after time.Duration) int {
	return int((after + time.Second - 1) / time.Second)
}

// A Trace shows where the time of a submission went.
type Trace struct {
	// Due is the time after the arrival of the job up to which an answer is on
	// time.
	Due time.Duration
	// ExpectedRunTime is the expected run time of a task on a server of
	// slowness 1.
	ExpectedRunTime time.Duration
	// LastRunTime is the time from the start request for the run that ended last
	// to its end, or zero if there was no request or the time is unknown.
	LastRunTime time.Duration
	// LastSent is the time after the arrival of the job at which the run that
	// ended last was sent to a server.
	LastSent time.Duration
	// LastServer is the name of the agent beside the server of the run that
	// ended last.
	LastServer string
	// Runs is the number of runs that were sent to servers, for all tasks of the
	// job together.
	Runs int
}
