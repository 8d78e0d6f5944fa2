package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Effects are what the driver must do after an event.
type Effects struct {
	// Crashes lists the crashes of the server that were detected.
	Crashes []ServerCrash
	// Announced lists the announcements of the server that apply from now on.
	Announced []pollenfront.Announcement
	// Contradictions lists what contradicts an earlier conclusion, for the log.
	Contradictions []Contradiction
	// Ended lists the runs that ended, for the log.
	Ended []EndedRun
	// Fenced lists the requests that the server refused because it has seen a higher fencing
	// token, for the log.
	Fenced []FencedRequest
	// IncarnationChanges lists the incarnations of the server that were detected, for the log.
	IncarnationChanges []IncarnationChange
	// InvalidDemands lists the invalid demands that entries have stated.
	InvalidDemands []InvalidDemand
	// Notify lists the names of the entries that need an update now.
	Notify []string
	// RenewNow is whether the next renewal is to be sent without the delay after a failed one.
	RenewNow bool
	// Reruns describes those of Starts whose task may have been sent before, for the log.
	Reruns []Rerun
	// Restarts lists the accepted tasks of which an earlier run is known, for the log.
	Restarts []Restart
	// Starts lists the start requests to send to the server.
	Starts []pollenfront.StartRequest
	// Stops lists the stop requests to send to the server.
	Stops []StopRequest
	// TokenRaise describes how the fencing token was raised above those of former incarnations
	// of the agent. The next renewal is then to be sent at once. It is nil if it was not raised.
	TokenRaise *TokenRaise
	// UnknownRuns lists the runs on the server that the executor does not know, for the log.
	UnknownRuns []pollenfront.RunID
}

// An EndedRun is a run that ended, or one whose start command was refused.
type EndedRun struct {
	tasklink.RunEnd

	// Entry is the name of the entry that sent the start command.
	Entry string
	// Reported is whether the entry is linked, and so gets the end in an update.
	Reported bool
}

// A FencedRequest is a request that the server refused because it has seen a higher fencing
// token.
type FencedRequest struct {
	// Current is the agent's fencing token when it received the refusal.
	Current uint64
	Kind    RequestKind
	// Raised is whether the agent has raised its token since.
	Raised bool
	// Token is the fencing token of the request.
	Token uint64
}

// A RequestKind is a kind of request to the server. Its value is part of logs and metrics.
type RequestKind string

// Kinds of requests.
const (
	RenewalRequestKind RequestKind = "renewal"
	StartRequestKind   RequestKind = "start"
	StopRequestKind    RequestKind = "stop"
)

// A TokenRaise is a rise of the fencing token above those of former incarnations of the agent.
type TokenRaise struct {
	From, To uint64
	// Source is the entry that knows of the former tokens, or empty if the store does.
	Source string
}

// A Rerun is a start request for a task that may have been sent before: its run is not the
// first one, or an earlier one may have started.
type Rerun struct {
	// Attempt counts the start requests for the run, from 1 upwards.
	Attempt int
	// EchoAge is the age of the newest echo of the entry.
	EchoAge time.Duration
	Entry   string
	// Lease is the time until the lease expires that the request states.
	Lease time.Duration
	Run   pollenfront.RunID
}

// RerunOf returns the Rerun that describes the start of a run, or nil.
func (e *Effects) RerunOf(id pollenfront.RunID) *Rerun {
	for i := range e.Reruns {
		if e.Reruns[i].Run == id {
			return &e.Reruns[i]
		}
	}
	return nil
}

// An InvalidDemand is a stated demand that was ignored.
type InvalidDemand struct {
	Demand int
	Entry  string
	// First is whether it is the first one of the entry's incarnation.
	First bool
}

// A StopRequest tells the server to stop a run, or not to start it.
type StopRequest struct {
	// Incarnation is the incarnation of the server that the request is meant for.
	Incarnation uint64
	Run         pollenfront.RunID
	Token       uint64
}

// notify adds an entry to those that need an update, if it is not among them.
func (e *Effects) notify(name string) {
	for _, n := range e.Notify {
		if n == name {
			return
		}
	}
	e.Notify = append(e.Notify, name)
}

// notifyAll adds all linked entries to those that need an update.
func (x *Executor) notifyAll(effects *Effects) {
	for _, name := range slices.Sorted(maps.Keys(x.entries)) {
		if x.entries[name].linked {
			effects.notify(name)
		}
	}
}
