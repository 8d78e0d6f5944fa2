package pollenfront

import "encoding/json"

// An OutcomeState says how the attempt to run a task ended.
type OutcomeState string

// Outcome states.
const (
	OutcomeFailed     OutcomeState = "failed"      // The task started and failed.
	OutcomeNotStarted OutcomeState = "not-started" // The attempt did not start the task and never will.
	OutcomeSucceeded  OutcomeState = "succeeded"   // The task started and succeeded.
	OutcomeUnknown    OutcomeState = "unknown"     // The task may have started; how it ended can't be learned.
)

// An Outcome is how the attempt to run a task ended.
type Outcome struct {
	Detail  string          `json:"detail,omitempty"`
	Payload json.RawMessage `json:"payload,omitempty"`
	Reason  string          `json:"reason,omitempty"` // A refusal kind, for outcomes other than succeeded.
	RunTime Duration        `json:"run-time,omitempty"`
	State   OutcomeState    `json:"state"`
}

// A TaskRecord is an agent's record of a task.
type TaskRecord struct {
	Attempt  uint64    `json:"attempt"`
	Finished bool      `json:"finished"` // Whether Outcome is set.
	Outcome  Outcome   `json:"outcome,omitzero"`
	Ref      TaskRef   `json:"ref"`
	Server   ServerRef `json:"server"`
}
