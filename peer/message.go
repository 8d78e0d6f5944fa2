package peer

import (
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/estimate"
	"github.com/pollenfront/pollenfront/freshness"
	"github.com/pollenfront/pollenfront/roster"
)

// Methods that agents serve.
const (
	MethodAdopt       = "agent.adopt"        // Adopt → AdoptReply
	MethodAwait       = "agent.await"        // ledger.Await → StartReply
	MethodStart       = "agent.start"        // ledger.Start → StartReply
	MethodViewChanged = "agent.view-changed" // ViewChanged, a notification
	MethodWithdraw    = "agent.withdraw"     // ledger.Withdraw, a notification
)

// Methods that entries serve.
const (
	MethodCancel    = "entry.cancel"    // JobQuery → Empty
	MethodHandOver  = "entry.hand-over" // HandOver → Empty
	MethodHeartbeat = "entry.heartbeat" // Heartbeat → HeartbeatReply
	MethodInquire   = "entry.inquire"   // Inquire → InquireReply
	MethodJob       = "entry.job"       // JobQuery → JobState
	MethodPing      = "entry.ping"      // Ping → PingReply
	MethodRoster    = "entry.roster"    // Empty → RosterReply
	MethodSubmit    = "entry.submit"    // Submit → pollenfront.Answer
	MethodView      = "entry.view"      // Empty → view.View
)

// An Empty is a message without content.
type Empty struct{}

// A Heartbeat tells an entry that an agent is alive.
type Heartbeat struct {
	Leaving bool               `json:"leaving,omitempty"`
	Load    pollenfront.Load   `json:"load"`
	Server  pollenfront.Server `json:"server"`
	Version uint64             `json:"version"` // Of the agent's view.
}

// A HeartbeatReply passes the entry's proof on to the agent.
type HeartbeatReply struct {
	Report freshness.PeerReport `json:"report"`
}

// A ViewChanged tells an agent that an entry has a newer view.
type ViewChanged struct {
	Version uint64 `json:"version"`
}

// A StartReply is the outcome of an attempt and the load after it.
type StartReply struct {
	Load    pollenfront.Load    `json:"load"`
	Outcome pollenfront.Outcome `json:"outcome"`
}

// An Adopt asks an agent for its records of a job that the entry came to own.
type Adopt struct {
	Job     pollenfront.JobID `json:"job"`
	Version uint64            `json:"version"` // The agent must hold this view or a newer one.
}

// An AdoptReply lists the tasks of a job that an agent has started.
type AdoptReply struct {
	Records []pollenfront.TaskRecord `json:"records"`
}

// A HandOver passes on the records of an agent that is leaving.
type HandOver struct {
	Records []pollenfront.TaskRecord `json:"records"`
	Server  pollenfront.ServerRef    `json:"server"`
}

// A Submit hands a job over to its owner. JoinOnly is set if only an answer
// that the owner already has or works on is wanted.
type Submit struct {
	Job        pollenfront.Job `json:"job"`
	JoinOnly   bool            `json:"join-only,omitempty"`
	Submission string          `json:"submission"` // Unique to the caller's request; the same for repeated hand-overs of it.
	Version    uint64          `json:"version"`    // Of the sender's view.
}

// An Inquire asks a former owner whether it has accepted a job.
type Inquire struct {
	Job     pollenfront.JobID    `json:"job"`
	Owner   pollenfront.EntryRef `json:"owner"`   // The former owner that is meant.
	Version uint64               `json:"version"` // View under which the sender owns the job.
}

// An InquireReply says whether a former owner has a job. If not, it never
// accepts it afterwards.
type InquireReply struct {
	Mine bool `json:"mine"`
}

// A JobQuery names a job.
type JobQuery struct {
	Job pollenfront.JobID `json:"job"`
}

// A JobState describes a job at its owner.
type JobState struct {
	Answer    *pollenfront.Answer `json:"answer,omitempty"` // Set if the job is answered.
	Owner     string              `json:"owner"`
	Submitted time.Time           `json:"submitted"`
	Why       []string            `json:"why"` // Why the job waits, and why servers were chosen.
}

// A Ping carries an entry's report to another entry.
type Ping struct {
	Report  freshness.PeerReport `json:"report"`
	Silence []Silence            `json:"silence,omitempty"`
}

// A Silence says for how long the sender has not heard an entry.
type Silence struct {
	For  time.Duration `json:"for"`
	Name string        `json:"name"`
}

// A PingReply carries the other entry's report back.
type PingReply struct {
	Accepted uint64               `json:"accepted"` // Newest version known to be accepted.
	Report   freshness.PeerReport `json:"report"`
	Silence  []Silence            `json:"silence,omitempty"`
}

// A RosterReply lists the agents that an entry knows, and the records that it
// keeps for those that left.
type RosterReply struct {
	Estimates estimate.Snapshot        `json:"estimates"`
	Members   []roster.Member          `json:"members"`
	Records   []pollenfront.TaskRecord `json:"records"`
}
