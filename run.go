package pollenfront

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file run.go -o run_gen.go -tests=false -io=false
//go:generate go run github.com/tinylib/msgp@v1.6.5 -file resources.go -o resources_gen.go -tests=false -io=false

// A TaskID identifies a task by its job, its step in the job, and its index in
// the step.
//
//msgp:tuple TaskID
type TaskID struct {
	Index int
	Job   string
	Step  int
}

// A RunID identifies one run of a task. A later run of the task has a higher
// Number, but numbers may be skipped.
//
//msgp:tuple RunID
type RunID struct {
	Number int
	TaskID
}

// An Ending states how a run of a task ended.
type Ending string

// Endings of a run.
const (
	EndingDone       Ending = "done"        // The task succeeded.
	EndingFailed     Ending = "failed"      // The task failed.
	EndingLost       Ending = "lost"        // The run was cut short: its lease expired, or its server or agent was lost.
	EndingNotStarted Ending = "not-started" // The run has not started and never will.
	EndingStopped    Ending = "stopped"     // The run was stopped on request.
)
