// Package tasklink carries the messages between entries and the agents beside
// backend servers.
//
// An agent dials every entry. Each side sends frames: a length of four bytes,
// big endian, and a message in MessagePack. Messages that wait while another
// one is written are merged, so that a burst costs one write.
//
// Liveness is judged by echoes: each update carries the agent's own clock, and
// the entry returns the newest one that it has received. An agent that finds
// an order with an old echo knows that the order was delayed, whatever
// suspended, cut or filled the path between the two.
//
// # Usage
//
//	link := tasklink.NewLink(conn)
//	err := link.Send(&update)
//	err = link.Receive(&commands)
package tasklink

import "github.com/pollenfront/pollenfront"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file message.go -o message_gen.go -tests=false -marshal=true -io=false

// Version is the version of the protocol. Both sides close a link to another
// version.
const Version = 3

// Hello is the first message in each direction.
//
//msgp:tuple Hello
type Hello struct {
	Version     int
	Name        string
	Incarnation uint64 // Of the process; a restarted process has a higher one.
	LinkSeqNum  uint64 // Of an agent: counts its links. A greeting may arrive after one of a later link.
	Zone        string
	Service     string // Of an agent: the pool of its backend server.
	// Runs are those of the entry that the agent knows. Any other run that
	// the entry has ordered did not reach the agent and never will.
	Runs []RunState
}

// A RunState is a run as the agent knows it.
//
//msgp:tuple RunState
type RunState struct {
	Run    pollenfront.RunID
	Ending pollenfront.Ending // Empty while the run is queued or running.
	Reason string
}

// Update is what an agent tells an entry.
//
//msgp:tuple Update
type Update struct {
	Clock      int64  // Of the agent, in nanoseconds.
	LastSeqNum uint64 // SeqNum of the last start command that Report takes into account.
	Report     Report
	RunEnds    []RunEnd
}

// A Report is the state of a backend server and its agent.
//
//msgp:tuple Report
type Report struct {
	State         State
	Capacity      pollenfront.Resources
	Free          pollenfront.Resources // Not needed by what runs or is queued; may be negative.
	Waits         []int                 // Per priority, milliseconds until a task that arrives now would start.
	Slowness      float64               // Run times as a multiple of the callers' estimates.
	FailRate      float64               // Share of recent runs that failed, 0 to 1.
	DisabledZones DisabledZones         `json:"Notice"`
	RunSeconds    float64               // Mean run time of recent tasks.
	Labels        []string
}

// A State says whether a backend server may be sent tasks.
//
//msgp:shim State as:uint8 using:uint8/State
type State uint8

// States of a backend server.
const (
	StateUnavailable State = iota // It has not announced itself, or is gone.
	StateReady                    // It takes tasks.
	StateDraining                 // It, its agent or its zone is leaving.
)

// DisabledZones lists the availability zones that are taken out of service.
//
//msgp:tuple DisabledZones
type DisabledZones struct {
	Version uint64   // Of the operators' orders; a higher one is newer.
	Zones   []string `json:"ZonesOut"`
}

// A RunEnd tells an entry that one of its runs has ended.
//
//msgp:tuple RunEnd
type RunEnd struct {
	Run        pollenfront.RunID
	Ending     pollenfront.Ending
	Reason     string
	Superseded bool    // The server has passed this run: the next one needs a much higher number.
	Seconds    float64 // From the start to the end, zero if the run did not start.
}

// Commands are what an entry tells an agent.
//
//msgp:tuple Commands
type Commands struct {
	Echo          int64 // The clock in the newest update that the entry has received.
	DisabledZones DisabledZones
	Starts        []StartCommand
	Stops         []pollenfront.RunID
}

// A StartCommand orders runs of tasks of one job.
//
//msgp:tuple StartCommand
type StartCommand struct {
	Job        string
	Step       int
	Payload    string
	Need       pollenfront.Resources
	AtMostOnce bool  // The run is not stopped for being slow.
	Expected   int64 // Run time at a slowness of 1, in nanoseconds.
	Priority   int
	Slack      int64 // Nanoseconds until the latest start with which the job is in time.
	Service    string
	Tasks      []StartTask
}

// A StartTask is one task of a StartCommand.
//
//msgp:tuple StartTask
type StartTask struct {
	Index  int
	SeqNum uint64 // Counts the entry's start orders to this agent.
	Run    int
}
