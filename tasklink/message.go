// Package tasklink defines the protocol between entries and the agents beside
// backend servers: the messages, and the links that carry them.
//
// Every agent dials the entries of its cell (see package cell). Both sides first send a Hello; then the agent
// sends Updates and the entry sends Commands. A message is sent as a frame: its
// length in four bytes, big endian, followed by the message in MessagePack.
// Messages queued during a write are sent together in the next one, so that a
// burst costs a single write.
//
// Agents detect delayed commands by echoed timestamps. Each update carries the
// reading of the agent's clock, and each Commands message returns the newest
// reading that the entry has received. If this echo is old, the commands were
// delayed: either process may have been suspended, or the network between them
// cut or congested. No clocks need to be synchronized for this.
//
// # Usage
//
//	link := tasklink.NewLink(conn)
//	err := link.Send(&update)
//	err = link.Receive(&commands)
package tasklink

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file message.go -o message_gen.go -tests=false -marshal=true -io=false

// A message that states more elements is rejected before memory is allocated for them.
//
//msgp:limit arrays:65536 maps:65536

// Evidence and ages are encoded in few bytes. Each time.Duration in this file is an age, in whole
// milliseconds from 0 upwards.
//
//msgp:shim Evidence as:uint8 using:encodeEvidence/decodeEvidence
//msgp:shim time.Duration as:uint32 using:encodeAge/decodeAge

// Version is the version of the protocol. Both sides close a link if the other
// side uses a different version.
const Version = 8

// Hello is the first message on a link, in both directions.
//
//msgp:tuple Hello
type Hello struct {
	// Version is the sender's version of the protocol.
	Version int
	// Name is the name of the sending entry or agent.
	Name string
	// Incarnation differs after every restart of the sending process. It is a time of day, which
	// may be set back, so that a later one may be lower.
	Incarnation uint64
	// LinkSeqNum numbers the links that an agent opens, so that the entry can
	// ignore a Hello that arrives after that of a later link. Entries leave it
	// zero.
	LinkSeqNum uint64
	// Zone is the availability zone of the sender.
	Zone string
	// Service is the service of the agent's backend server. Entries leave it
	// empty.
	Service string
	// ConfigVersion is the version of the configuration that the entry has, or zero if
	// it has none. Agents leave it zero.
	ConfigVersion uint64
	// Runs lists all runs of the entry that the agent knows. Any other run that
	// the entry has sent over an earlier link did not reach this incarnation of
	// the agent and never will. Entries leave it empty.
	Runs []RunState
	// Cancellations lists the cancellations of jobs that the agent knows of. They apply before
	// Runs. Entries leave it empty.
	Cancellations []pollenfront.Cancellation
	// Token is the highest fencing token that the agent may use without telling the entry of a
	// higher one. Entries leave it zero.
	Token uint64
}

// A RunState is the state of a run on an agent.
//
//msgp:tuple RunState
type RunState struct {
	Run pollenfront.RunID
	// Ending is empty while the run is queued or running.
	Ending pollenfront.Ending
	// Reason explains the ending.
	Reason string
	// Evidence is what shows that the run is over, as in RunEnd.
	Evidence Evidence
	// EvidenceAge is the time since the evidence was taken, as in RunEnd.
	EvidenceAge time.Duration
}

// An Update is a message from an agent to an entry.
//
//msgp:tuple Update
type Update struct {
	// Clock is the reading of the agent's clock in nanoseconds. The entry echoes
	// it in Commands.
	Clock int64
	// LastSeqNum is the highest SeqNum of the StartTasks that Report takes into
	// account.
	LastSeqNum uint64
	Report     Report
	// RunEnds lists the runs of the entry that have ended since the previous
	// update.
	RunEnds []RunEnd
	// Crashes lists crashes of processes that the agent has not told the entry of yet.
	Crashes []pollenfront.Crash
	// Config is the newest configuration that the agent knows. It is only in the first
	// update to an entry that has none, since it may have started while the store is
	// unavailable.
	Config *pollenfront.Config
	// RouteCounts are the numbers of runs on the server by route. They are empty if the
	// setting interference of the agent is off, and so is Interference.
	RouteCounts []RouteCount
	// Interference holds the estimates that have changed, or is nil.
	Interference *Interference
	// Cancellations lists cancellations of jobs that the agent has not told the entry of yet.
	// They apply before RunEnds.
	Cancellations []pollenfront.Cancellation
	// CancellationSeqNum is the newest CancellationSeqNum in the commands on the link.
	CancellationSeqNum uint64
	// Withheld lists runs of the entry that have ended, but are not in RunEnds before a
	// delayed start of them can't be carried out any more, seconds later.
	Withheld []pollenfront.RunID
	// Token is like that of Hello, or zero if it has not changed.
	Token uint64
}

// A Report is the state of a backend server and its agent.
//
//msgp:tuple Report
type Report struct {
	State    State
	Capacity pollenfront.Resources
	// Free is the part of the capacity that no running or queued task needs. Its
	// fields are negative if these tasks need more than the capacity.
	Free pollenfront.Resources
	// Waits is, for each priority, the expected time in milliseconds until a
	// task that arrives now would start.
	Waits []int
	// Slowness is the ratio of actual to expected run times.
	Slowness float64
	// FailRate is the share of recent runs that failed, from 0 to 1.
	FailRate float64
	// DisabledZones is the newest list that the agent knows. Agents pass it on
	// to entries, which may not have read it from the store yet.
	DisabledZones DisabledZones `json:"Notice"`
	// RunSeconds is the mean run time of recent tasks in seconds.
	RunSeconds float64
	// Labels name the kind and the rack of the server.
	Labels []string
	// EntryCount is the number of entries that share the server.
	EntryCount int
	// EffectiveCapacity is the part of Capacity that the server provides, as the agent has
	// learned from rejected starts. If all of its fields are zero, it is not stated.
	EffectiveCapacity pollenfront.Resources
	// Share is the share of the receiving entry in the CPU of the server, in thousandths
	// of a core. It is zero if none is stated.
	Share int32
	// Overloaded is the demandshare.NameHash of another entry whose demand the server
	// can't meet, or zero.
	Overloaded uint32
}

// A State is whether tasks may be sent to a backend server, and if not, why.
//
//msgp:shim State as:uint8 using:uint8/State
type State uint8

// States of a backend server.
const (
	StateUnavailable State = iota // The server has not announced itself, has deregistered, or does not respond.
	StateReady                    // The server accepts tasks.
	StateDraining                 // The server or its agent is draining, or its zone is disabled.
)

// DisabledZones is a version of the list of availability zones that are out of
// service.
//
//msgp:tuple DisabledZones
type DisabledZones struct {
	// Version is the version of the operator state that the list is from. Of two
	// lists, the one with the higher version is in force.
	Version uint64
	Zones   []string `json:"ZonesOut"`
}

// A RunEnd reports to an entry that one of its runs has ended.
//
//msgp:tuple RunEnd
type RunEnd struct {
	Run    pollenfront.RunID
	Ending pollenfront.Ending
	// Reason explains the ending. It may be empty.
	Reason string
	// Superseded is set if the server does not accept the number of the run, as
	// it has seen this or a later run of the task. The next run needs a much
	// higher number.
	Superseded bool
	// Seconds is the time in seconds from the newest start request for the run to
	// its end, or zero if no request was sent.
	Seconds float64
	// Evidence is what shows that the run is over. Agents leave it empty if the run has
	// succeeded, so that frequent ends stay small.
	Evidence Evidence
	// EvidenceAge is the time since the evidence was taken, in whole milliseconds.
	EvidenceAge time.Duration
}

// Commands is a message from an entry to an agent.
//
//msgp:tuple Commands
type Commands struct {
	// EchoedClock is the Clock of the newest update that the entry has received.
	EchoedClock int64
	// DisabledZones is the newest list that the entry knows.
	DisabledZones DisabledZones
	// AgentCount is the number of agents of the receiving agent's service to which
	// the entry has links. Agents adapt the number of their links to it.
	AgentCount int
	// Crashes lists crashes of processes that the entry has not told the agent of yet.
	Crashes []pollenfront.Crash
	// Starts lists the runs to start.
	Starts []StartCommand
	// Stops lists the runs to stop. A run number also stands for all lower
	// numbers of the same task.
	Stops []pollenfront.RunID
	// Config is the configuration in force. The primary entry of a server sends it to
	// the agent once on a link and after each change.
	Config *pollenfront.Config
	// Demand is the CPU that the unfinished jobs of the entry want from the server, in
	// thousandths of a core. It is zero if none is stated.
	Demand int32
	// Overloaded is the demandshare.NameHash of an entry of which an agent has reported
	// lately that it is overloaded, or zero.
	Overloaded uint32
	// Cancellations lists cancellations of jobs that the entry has not told the agent of yet.
	// They apply before Starts.
	Cancellations []pollenfront.Cancellation
	// CancellationSeqNum numbers the cancellations that the entry has told the agent of.
	// The agent returns it, which shows that it has received them.
	CancellationSeqNum uint64
	// TokenFloor is the highest fencing token that former incarnations of the agent may have
	// used, or zero if the entry knows of none that the agent could still use. It applies before
	// Starts.
	TokenFloor uint64
}

// A StartCommand tells an agent to start runs of tasks of one job.
//
//msgp:tuple StartCommand
type StartCommand struct {
	// Job is the ID of the job.
	Job string
	// Step is the number of the job's step that the tasks belong to.
	Step int
	// Payload is passed to the backend server with each task.
	Payload string
	// Need is the amount of resources that one task needs.
	Need pollenfront.Resources
	// AtMostOnce is set if the tasks must not run again. Their runs are not
	// stopped for being slow.
	AtMostOnce bool
	// ExpectedRunTime is the expected run time of a task at a slowness of 1, in
	// nanoseconds.
	ExpectedRunTime int64
	// Priority is the priority of the job's route; 0 is the most urgent one.
	Priority int
	// Route is the name of the job's route.
	Route string
	// RouteAddress is the address of the job's route, as in pollenfront.JobRef.
	RouteAddress string
	// Slack is the time in nanoseconds until the job's latest start, after which
	// it can't be on time.
	Slack int64
	// Service is the service that the job is for. The agent refuses the command
	// if its server belongs to another one.
	Service string
	// Tasks lists the tasks to run.
	Tasks []StartTask
}

// A StartTask is one task of a StartCommand.
//
//msgp:tuple StartTask
type StartTask struct {
	// Index is the index of the task in its step.
	Index int
	// SeqNum numbers the tasks that the entry sends to the agent on one link,
	// from 1 upwards. Update.LastSeqNum refers to it.
	SeqNum uint64
	// Run is the number of the run.
	Run int
	// Rerun is set if an earlier run of the task may have started. A slow rerun is not
	// stopped, since the task itself may be longer than estimated.
	Rerun bool
}
