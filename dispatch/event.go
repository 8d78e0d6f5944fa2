package dispatch

import (
	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/estimate"
	"github.com/pollenfront/pollenfront/ledger"
	"github.com/pollenfront/pollenfront/view"
)

// An Event is a message or an instant that changes the dispatcher.
type Event interface{ event() }

// A Submit brings a job that this entry owns and has not seen before.
// Recovered holds the records that agents have of it from a former owner.
type Submit struct {
	Accepted    uint64 // View version under which the entry accepted it.
	Job         pollenfront.Job
	Recovered   []pollenfront.TaskRecord
	Unaccounted string // An agent that may hold records and can't be asked, or empty.
}

// mayHaveRun reports whether a former owner may have started a task of the job.
func (e Submit) mayHaveRun() bool {
	return len(e.Recovered) > 0 || e.Unaccounted != ""
}

// A Cancel asks to give a job up.
type Cancel struct {
	Job pollenfront.JobID
}

// A TaskEnded reports the outcome of an attempt.
type TaskEnded struct {
	Attempt uint64
	Outcome pollenfront.Outcome
	Ref     pollenfront.TaskRef
	Server  pollenfront.ServerRef
}

// A ServerSeen brings an announcement or a heartbeat of a backend server.
type ServerSeen struct {
	Load   pollenfront.Load
	Server pollenfront.Server
}

// A LoadSeen brings the load that came with an answer.
type LoadSeen struct {
	Load   pollenfront.Load
	Server pollenfront.ServerRef
}

// A ServerGone reports that a backend server is leaving or was lost.
type ServerGone struct {
	Server pollenfront.ServerRef
}

// A ViewChanged brings a newer view.
type ViewChanged struct {
	View *view.View
}

// A Fenced tells that the entry was taken for dead and has rejoined as Self.
// Jobs that still need a start are given up: another entry may own them.
type Fenced struct {
	Self pollenfront.EntryRef
}

// A Learned brings what another entry has learned of run times.
type Learned struct {
	Estimates estimate.Snapshot
}

// A Tick lets time pass.
type Tick struct{}

func (Submit) event()      {}
func (Cancel) event()      {}
func (TaskEnded) event()   {}
func (ServerSeen) event()  {}
func (LoadSeen) event()    {}
func (ServerGone) event()  {}
func (ViewChanged) event() {}
func (Fenced) event()      {}
func (Learned) event()     {}
func (Tick) event()        {}

// An Effect is something that the driver must do.
type Effect interface{ effect() }

// A StartTask sends a start to the agent of a server. Join is set if the task
// was started by a former owner and only its outcome is wanted.
type StartTask struct {
	Join   bool
	Server pollenfront.ServerRef
	Start  ledger.Start
}

// A WithdrawTask asks an agent to give a queued task back.
type WithdrawTask struct {
	Ref    pollenfront.TaskRef
	Server pollenfront.ServerRef
}

// An AnswerJob is the final answer to a job. There is one for each job.
type AnswerJob struct {
	Answer pollenfront.Answer
}

func (StartTask) effect()    {}
func (WithdrawTask) effect() {}
func (AnswerJob) effect()    {}
