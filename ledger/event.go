package ledger

import (
	"encoding/json"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/view"
)

// An Event is a message or an instant that changes the ledger.
type Event interface{ event() }

// A Start asks to start a task.
type Start struct {
	Accepted uint64                `json:"accepted"` // View version under which the owner accepted the job.
	Attempt  uint64                `json:"attempt"`  // Grows with every attempt to start the same task.
	Deadline time.Time             `json:"deadline"` // Wall-clock time.
	Due      time.Time             `json:"due"`      // Queued tasks start in the order of this wall-clock time.
	Kind     string                `json:"kind"`
	Owner    pollenfront.EntryRef  `json:"owner"`
	Ref      pollenfront.TaskRef   `json:"ref"`
	Target   pollenfront.ServerRef `json:"target"` // Incarnation of the agent that is meant.
	Task     pollenfront.Task      `json:"task"`
}

// An Await asks how an attempt ended, after its answer was lost.
type Await struct {
	Attempt uint64              `json:"attempt"`
	Ref     pollenfront.TaskRef `json:"ref"`
}

// A Withdraw asks to take back a task that has not started.
type Withdraw struct {
	Ref pollenfront.TaskRef `json:"ref"`
}

// A Finished reports the end of a run. Err is a refusal.NotStarted error only
// if the backend server certainly did not start the task.
type Finished struct {
	Err     error
	Payload json.RawMessage
	Ref     pollenfront.TaskRef
}

// A ViewChanged brings a view, which is dropped unless it is newer.
type ViewChanged struct {
	View *view.View
}

// A Proved brings a proof that a version is current, from an entry's answer to
// a message sent at SentAt.
type Proved struct {
	Age     time.Duration
	SentAt  time.Time
	Version uint64
}

// A Leave makes the agent refuse new tasks.
type Leave struct{}

// A Tick lets time pass.
type Tick struct{}

func (Start) event()       {}
func (Await) event()       {}
func (Withdraw) event()    {}
func (Finished) event()    {}
func (ViewChanged) event() {}
func (Proved) event()      {}
func (Leave) event()       {}
func (Tick) event()        {}

// An Effect is something that the driver must do.
type Effect interface{ effect() }

// A Run passes a task to the backend server, which must not start it after
// StartBy.
type Run struct {
	Kind    string
	Ref     pollenfront.TaskRef
	StartBy time.Time
	Task    pollenfront.Task
}

// A Reply answers every waiting request for the task.
type Reply struct {
	Outcome pollenfront.Outcome
	Ref     pollenfront.TaskRef
}

func (Run) effect()   {}
func (Reply) effect() {}
