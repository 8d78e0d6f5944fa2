package pollenfront

import (
	"encoding/json"
	"time"
)

// Limits on what a caller may submit.
const (
	MaxBodySize    = 4 << 20 // bytes
	MaxPayloadSize = 64 << 10
	MaxTasksPerJob = 360
)

// A Job is a set of tasks that is answered as a whole.
type Job struct {
	Deadline time.Time `json:"deadline"` // Wall-clock time after which the answer is worthless.
	ID       JobID     `json:"id"`       // Chosen by the caller, a UUIDv7.
	Kind     string    `json:"kind"`     // One of the view's kinds.
	Tasks    []Task    `json:"tasks"`
	Team     string    `json:"team"` // One of the view's teams.
}

// A Task is the unit of work that one backend server runs.
type Task struct {
	Declared Duration        `json:"declared,omitempty"` // The caller's guess of the run time, often far off.
	Name     string          `json:"name"`               // Unique within its job.
	Payload  json.RawMessage `json:"payload,omitempty"`
}

// A TaskRef names one task of one job.
type TaskRef struct {
	Job  JobID  `json:"job"`
	Task string `json:"task"`
}

// A TaskResult is what a backend server returned for a task.
type TaskResult struct {
	Name    string          `json:"name"`
	Payload json.RawMessage `json:"payload,omitempty"`
	RunTime Duration        `json:"run-time"`
	Server  string          `json:"server"`
}

// A Status is the final state of a job.
type Status string

// Statuses of an answer.
const (
	StatusComplete Status = "complete"        // Every task succeeded.
	StatusFailed   Status = "failed"          // At least one task failed or was cancelled after a start.
	StatusNotRun   Status = "not-run"         // No task of the job was started, by this or any earlier submission.
	StatusRefused  Status = "refused"         // This submission was not accepted and started nothing; says nothing of earlier ones.
	StatusUnknown  Status = "outcome-unknown" // A task may have run, and its outcome can't be learned.
)

// An Answer is the final answer to a job. Results is set only if Status is
// StatusComplete, and then holds one result for every task of the job.
type Answer struct {
	Job        JobID        `json:"job"`
	Message    string       `json:"message,omitempty"`
	Reason     string       `json:"reason,omitempty"`
	Results    []TaskResult `json:"results,omitempty"`
	RetryAfter Duration     `json:"retry-after,omitempty"`
	Status     Status       `json:"status"`
}
