package pollenfront

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file run.go -o run_gen.go -tests=false -io=false
//go:generate go run github.com/tinylib/msgp@v1.6.5 -file resources.go -o resources_gen.go -tests=false -io=false

// A TaskID names a task of a submission.
//
//msgp:tuple TaskID
type TaskID struct {
	Index int
	Job   string
	Step  int
}

// A RunID names one run of a task. The runs of a task are numbered upwards.
//
//msgp:tuple RunID
type RunID struct {
	Number int
	TaskID
}

// An Ending is how a run of a task ended.
type Ending string

// Endings of a run.
const (
	EndingDone       Ending = "done"        // The task succeeded.
	EndingFailed     Ending = "failed"      // The task failed.
	EndingLost       Ending = "lost"        // The backend server ended it: its lease lapsed, or the server went.
	EndingNotStarted Ending = "not-started" // The run has not started and never will.
	EndingStopped    Ending = "stopped"     // It was stopped on request.
)
