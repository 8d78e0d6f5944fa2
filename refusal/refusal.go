// Package refusal defines the kinds of error that pollenfront reports to
// callers, operators and its own processes. Each kind names its remedy and
// says whether the work it refers to certainly did not run.
//
// # Usage
//
//	return refusal.New(refusal.OverQuota, "team %q has %d tasks in flight", team, n).After(time.Second)
//
// The receiver tests for a kind with Is, across processes too: the peer
// package carries a Refusal in the data of a JSON-RPC error.
package refusal

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pollenfront/pollenfront"
)

// A Kind is a kind of refusal.
type Kind string

// Kinds of refusal, in alphabetical order.
const (
	AgentLeaving     Kind = "agent-leaving"
	BadRequest       Kind = "bad-request"
	CannotFinish     Kind = "cannot-finish"
	Cancelled        Kind = "cancelled"
	Conflict         Kind = "conflict"
	DeadlinePassed   Kind = "deadline-passed"
	Duplicate        Kind = "duplicate"
	Fenced           Kind = "fenced"
	IDAhead          Kind = "id-ahead"
	IDTooOld         Kind = "id-too-old"
	Internal         Kind = "internal"
	NeverRuns        Kind = "never-runs"
	NoServers        Kind = "no-servers"
	NotOwner         Kind = "not-owner"
	NotReached       Kind = "not-reached"
	NotReady         Kind = "not-ready"
	NotStarted       Kind = "not-started"
	OutcomeUnknown   Kind = "outcome-unknown"
	OverQuota        Kind = "over-quota"
	Overloaded       Kind = "overloaded"
	OwnerLost        Kind = "owner-lost"
	ServerFull       Kind = "server-full"
	ServerRetired    Kind = "server-retired"
	StaleView        Kind = "stale-view"
	TableUnavailable Kind = "table-unavailable"
	TaskFailed       Kind = "task-failed"
	TooLarge         Kind = "too-large"
	UnknownJob       Kind = "unknown-job"
	UnknownKind      Kind = "unknown-kind"
	UnknownServer    Kind = "unknown-server"
	UnknownTeam      Kind = "unknown-team"
	WrongIncarnation Kind = "wrong-incarnation"
	ZoneOut          Kind = "zone-out"
)

// A property is what is fixed for all refusals of a kind.
type property struct {
	remedy string
	status int // HTTP status.
}

// properties maps each kind to its properties.
var properties = map[Kind]property{
	AgentLeaving:     {"the task is placed elsewhere", http.StatusServiceUnavailable},
	BadRequest:       {"correct the request", http.StatusBadRequest},
	CannotFinish:     {"submit again later or with a later deadline", http.StatusServiceUnavailable},
	Cancelled:        {"submit a new job if the work is still wanted", http.StatusConflict},
	Conflict:         {"look at the named version and decide again", http.StatusConflict},
	DeadlinePassed:   {"set a deadline in the future", http.StatusBadRequest},
	Duplicate:        {"ask for the state of the task instead", http.StatusConflict},
	Fenced:           {"the entry rejoins with a new incarnation", http.StatusConflict},
	IDAhead:          {"ask POST /v1/job-ids for an ID, or correct the clock", http.StatusBadRequest},
	IDTooOld:         {"ask for the state of the earlier job, or submit under a new ID", http.StatusGone},
	Internal:         {"report the message to the developers", http.StatusInternalServerError},
	NeverRuns:        {"split the job or ask the operators for a larger quota", http.StatusUnprocessableEntity},
	NoServers:        {"wait until a backend server announces itself", http.StatusServiceUnavailable},
	NotOwner:         {"fetch the newer view and ask the owner", http.StatusMisdirectedRequest},
	NotReached:       {"submit again after the stated time", http.StatusServiceUnavailable},
	NotReady:         {"wait until the entry has joined", http.StatusServiceUnavailable},
	NotStarted:       {"the task can be placed elsewhere", http.StatusServiceUnavailable},
	OutcomeUnknown:   {"check the effects of the job before submitting it under a new ID", http.StatusGatewayTimeout},
	OverQuota:        {"submit again when earlier jobs have finished", http.StatusTooManyRequests},
	Overloaded:       {"submit again after the stated time", http.StatusServiceUnavailable},
	OwnerLost:        {"submit again at once under a new ID from POST /v1/job-ids", http.StatusServiceUnavailable},
	ServerFull:       {"the task is placed elsewhere", http.StatusServiceUnavailable},
	ServerRetired:    {"the task is placed elsewhere", http.StatusServiceUnavailable},
	StaleView:        {"wait until the process can prove that its view is current", http.StatusServiceUnavailable},
	TableUnavailable: {"wait for the platform's table, then look whether the change took effect", http.StatusServiceUnavailable},
	TaskFailed:       {"look at the task's message", http.StatusBadGateway},
	TooLarge:         {"split the job", http.StatusRequestEntityTooLarge},
	UnknownJob:       {"check the ID; answers are kept for the retention only", http.StatusNotFound},
	UnknownKind:      {"use a kind that `pollenctl show kinds` lists", http.StatusBadRequest},
	UnknownServer:    {"use a server that `pollenctl show servers` lists", http.StatusNotFound},
	UnknownTeam:      {"use a team that `pollenctl show teams` lists", http.StatusForbidden},
	WrongIncarnation: {"address the present incarnation", http.StatusConflict},
	ZoneOut:          {"the task is placed in another zone", http.StatusServiceUnavailable},
}

// An Error is a refusal of one kind.
type Error struct {
	Detail     string               `json:"detail"`
	Kind       Kind                 `json:"kind"`
	RetryAfter pollenfront.Duration `json:"retry-after,omitempty"`
	Version    uint64               `json:"version,omitempty"` // The view version to look at.
}

// New returns a refusal of the given kind.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Detail: fmt.Sprintf(format, args...), Kind: kind}
}

// From returns err as a refusal. An err that is not a refusal becomes one of
// kind Internal.
func From(err error) *Error {
	var refused *Error
	if errors.As(err, &refused) {
		return refused
	}
	return New(Internal, "%v", err)
}

// Is reports whether err is a refusal of the given kind.
func Is(err error, kind Kind) bool {
	var refused *Error
	return errors.As(err, &refused) && refused.Kind == kind
}

// Wrap returns err with the given context. The refusal inside it is kept.
func Wrap(err error, context string) error {
	return merry.Prepend(err, context)
}

// After returns e with a time after which the caller may try again.
func (e *Error) After(wait time.Duration) *Error {
	e.RetryAfter = pollenfront.Duration(wait)
	return e
}

// At returns e with the view version to look at.
func (e *Error) At(version uint64) *Error {
	e.Version = version
	return e
}

// Error returns the kind, the detail and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Kind, e.Detail, e.Remedy())
}

// Remedy returns what the receiver can do about e.
func (e *Error) Remedy() string {
	return properties[e.Kind].remedy
}

// Status returns the HTTP status that stands for e.
func (e *Error) Status() int {
	if p, ok := properties[e.Kind]; ok {
		return p.status
	}
	return http.StatusInternalServerError
}
