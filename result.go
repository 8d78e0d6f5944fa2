package pollenfront

import "time"

// A Verdict says how a submission ended.
type Verdict int

// Verdicts.
const (
	VerdictCompleted Verdict = iota // Every task succeeded.
	VerdictFailed                   // A task has failed as often as its route allows.
	VerdictRefused                  // Nothing of this submission was started, and nothing will be.
	VerdictUnknown                  // The job was given up, and a task may have run.
	VerdictConflict                 // Another job with the same ID is under way.
)

// String returns the verdict as logs and metrics name it.
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
	}
	return "invalid"
}

// A Result ends a submission.
type Result struct {
	Detail     string // Of the reason, for people.
	ID         string
	Reason     Reason        // Empty if it was completed.
	RetryAfter time.Duration // Of a refusal: when the caller may come back.
	Trace      Trace
	Verdict    Verdict
}

// RetrySeconds returns a time after which a caller may come back in whole
// seconds, rounded up.
func RetrySeconds(after time.Duration) int {
	return int((after + time.Second - 1) / time.Second)
}

// A Trace tells what took a submission's time.
type Trace struct {
	Due      time.Duration // Time after its arrival until which it was in time.
	Expected time.Duration // Run time of a task on a server of slowness 1.
	LastRun  time.Duration // Of the task that ended last.
	LastSent time.Duration // Time after the arrival at which that task was sent to a server.
	Runs     int           // Ordered for all its tasks.
	Server   string        // That ran the task that ended last.
}
