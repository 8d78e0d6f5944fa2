package pollenfront

import "time"

// A message that states more elements is rejected before memory is allocated for them.
//
//msgp:limit arrays:65536 maps:65536

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file crash.go -o crash_gen.go -tests=false -io=false

// A Crash is the end of a process without notice, with the tasks that it was working on.
// An agent that is silent for so long that its runs count as lost may only be cut off.
//
//msgp:tuple Crash
type Crash struct {
	// Age is the time since the crash was detected.
	Age     time.Duration
	Process Process
	// Reporter is the name of the entry or agent that has detected the crash. Several
	// entries detect that of an agent, each for its own tasks.
	Reporter string
	Tasks    []CrashedTask
}

// A CrashedTask is a task that a process was working on when it crashed.
//
//msgp:tuple CrashedTask
type CrashedTask struct {
	// Age is the time from the start of the task's run to the crash.
	Age time.Duration
	// Route is the name of the job's route.
	Route string
	// Started is whether the task had certainly been started.
	Started bool
	Task    TaskID
}

// A Process is one incarnation of a process.
//
//msgp:tuple Process
type Process struct {
	Incarnation uint64
	Kind        ProcessKind
	// Name is the name of the entry or agent. A backend server has that of its agent.
	Name string
}

// A ProcessKind is what a process is.
type ProcessKind string

// Kinds of processes that work on tasks.
const (
	ProcessAgent  ProcessKind = "agent"
	ProcessEntry  ProcessKind = "entry"
	ProcessServer ProcessKind = "server"
)
