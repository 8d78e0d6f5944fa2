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

// A Conclusion ends a submission.
type Conclusion struct {
	ID         string
	Reason     string
	RetryAfter time.Duration // Of a refusal: when the caller may come back.
	Verdict    Verdict
}
