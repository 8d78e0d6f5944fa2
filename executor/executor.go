// Package executor is the state machine of an agent. It decides when the tasks
// that entries send start on the agent's backend server, renews the server's
// lease, and ends every run whose entry is silent.
//
// It is given the commands of entries, the announcements and responses of the
// server, and the time. It returns Effects: requests for the server, entries
// that need an update, and runs that ended. It starts no goroutines and does no
// input or output; the driver does that.
//
// These rules decide:
//
//   - Several entries may see the same resources as free. Tasks therefore wait
//     in a queue here, ordered by their latest start, and a task that waits or
//     would wait for longer than maxQueueWait goes back to its entry.
//   - A server may provide less than it announces, and then rejects starts. The agent learns
//     from accepted and rejected starts what it provides, and reports that.
//   - Each update to an entry carries the agent's clock, and the entry echoes
//     it. When the newest echo is older than EntrySilenceTimeout, the entry is
//     silent and its runs are stopped. Start commands with an echo older than
//     maxCommandAge were delayed and are refused. An agent that was suspended
//     therefore starts nothing for entries that meanwhile consider it lost.
//   - Each start and each renewal extends the server's lease, which then lasts
//     for Lease. The server kills all of its runs when the lease expires, so they
//     also end if the agent dies, is suspended or is cut off from the server.
//   - The lease covers all runs on the server. It is therefore not extended beyond Lease
//     from the time at which one of them lost its right to run: when its entry became
//     silent, was restarted or stopped it. It is not extended at all while the server lists
//     a run that the agent does not know. If such a run can't be stopped, all of them expire.
//   - Hence a run ends within EntrySilenceTimeout plus Lease of the last echo of
//     its entry. This is less than the time after which a caller resubmits, so
//     that the resubmitted job does not run beside it.
//   - A request without a response may still be carried out, even seconds later.
//     A start is therefore repeated or stopped, and its entry is notified of the
//     end of the run only when the run can no longer start or go on. This is so,
//     for example, if the server refused its only start, if a renewal sent after a
//     confirmed stop does not list it, or if the lease has expired.
//   - The next incarnation of the server may carry out such a start before the agent can
//     reject it. The entry of a run that did not complete is therefore told of its end only when
//     this can't happen any more.
//   - The requests of each incarnation of the agent have higher fencing tokens than those of all
//     earlier ones. An incarnation begins with the time of day, and is told of higher tokens by the
//     store and by the entries.
//   - A server that leaves requests unanswered is first suspect, and requests are
//     repeated sooner. If it does not respond for longer, it is unavailable and
//     gets no tasks until it responds.
//   - The server has a new incarnation when its own answer to a renewal says so.
//     Announcements may be delayed or come from somebody else.
//   - A task under which too many servers have crashed is refused.
//   - The runs of a job that was canceled at any entry are stopped, and further ones refused.
//   - The response to a renewal lists the runs on the server. A run that it
//     should list but does not is lost.
//
// # Usage
//
// The driver passes each event to a method and carries out the effects that the
// method returns. All times are readings of one clock that also counts while
// the machine is suspended:
//
//	effects := x.HandleCommands(now, entry, commands)
//	for _, request := range effects.Starts { … }
//
// An Executor is not safe for concurrent use.
package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/cancellog"
	"github.com/pollenfront/pollenfront/crashlog"
	"github.com/pollenfront/pollenfront/demandshare"
	"github.com/pollenfront/pollenfront/fencing"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Intervals and timeouts that entries, the driver and the server depend on.
const (
	// EntrySilenceTimeout is the age of an entry's newest echo after which its
	// runs are stopped. Together with Lease it is less than the time after which
	// a caller resubmits.
	EntrySilenceTimeout = 600 * time.Millisecond
	// Lease is how long the server keeps its runs after a start or renewal.
	Lease = 600 * time.Millisecond
	// RenewalWait is how long the server holds a renewal until a run ends. It is
	// therefore the longest time between two extensions of the lease.
	RenewalWait = 150 * time.Millisecond
	// StopTimeout is how long the driver waits for the response to a stop.
	StopTimeout = 40 * time.Millisecond
	// TickInterval is the time between two calls of Tick.
	TickInterval = 25 * time.Millisecond
	// UpdateInterval is the longest time between two updates to an entry.
	UpdateInterval = 150 * time.Millisecond
)

// Limits that the decisions use.
const (
	// acknowledgeWindow is the time since the newest answered renewal within
	// which ends of runs are acknowledged. Later the server may have restarted,
	// and would then drop ends of its new incarnation.
	acknowledgeWindow = 250 * time.Millisecond
	// leaseExpiryMargin covers the time that the server takes to kill its runs.
	leaseExpiryMargin = 50 * time.Millisecond
	// maxAnswerTime is the longest time that the driver waits for an answer of the server.
	maxAnswerTime = RenewalWait + renewalTimeoutMargin
	// maxClockDrift is the highest ratio of the speed of the agent's clock to that
	// of the server's clock.
	maxClockDrift = 1.03
	// maxCommandAge is the age of the echo in commands above which their starts
	// are refused. An entry sends no starts to an agent from which it has received
	// nothing for that long, so the commands or the echoed update were delayed.
	// The entry may consider the agent lost by now.
	maxCommandAge = 500 * time.Millisecond
	// maxFormerIncarnations is how many replaced incarnations of the server are kept, to
	// ignore their delayed responses.
	maxFormerIncarnations = 8
	// maxQueueWait is the longest time that a task may wait here. When its entry
	// chose this server, it did not know what other entries had sent. It places a
	// returned task elsewhere.
	maxQueueWait = 40 * time.Millisecond
	// maxServerLease is the longest lease that a server grants.
	maxServerLease = time.Second
	// maxSlowCheckPercent is the progress up to which a slow run is stopped.
	// Beyond it, a new start on another server would not finish earlier.
	maxSlowCheckPercent = 50
	// maxStartAttempts is how often a start is sent before the task goes back to
	// its entry.
	maxStartAttempts = 12
	// noCapacityPause is how long nothing starts after the server refused a start
	// with ErrNoCapacity although the learned capacity covered it.
	noCapacityPause = 10 * time.Millisecond
	// numPriorities is the number of priorities that the agent distinguishes.
	numPriorities = 3
	// progressTimeout is the time without progress after which a run is stopped.
	// The server reports progress in whole percent, so the time must be longer
	// than a run takes for one percent.
	progressTimeout = 300 * time.Millisecond
	// renewalTimeoutMargin is how much longer than its own wait a renewal may take.
	renewalTimeoutMargin = 100 * time.Millisecond
	// renewalUnavailableTimeout is the time since the server's last response after
	// which an unanswered renewal makes it unavailable.
	renewalUnavailableTimeout = 250 * time.Millisecond
	// runEndRetention is how long ends of runs are kept for an entry that links
	// again, and how long an entry without a link is kept.
	runEndRetention = 3 * time.Second
	// slowCheckDelay is the run time from which progress shows the speed of a run.
	slowCheckDelay = 120 * time.Millisecond
	// slowRunFactor is how many times its expected run time a run may be projected
	// to take without being stopped. Estimates are rarely off by more.
	slowRunFactor = 5
	// startTimeout is how long the driver waits for the response to a start. It
	// is short, as the server is on the same machine and a start can be repeated.
	startTimeout = 35 * time.Millisecond
	// startUnavailableTimeout is the time since the first request for a start after
	// which the server is unavailable if it has responded to no request since then.
	startUnavailableTimeout = 100 * time.Millisecond
	// stopRetryInterval is the time after which an unanswered stop is sent again.
	stopRetryInterval = 50 * time.Millisecond
	// suspectDuration is how long the server is suspect after it left a request
	// unanswered. Renewals are then sent more often and starts repeated sooner.
	suspectDuration = 3 * time.Second
	// suspectRenewalWait replaces RenewalWait while the server is suspect. The
	// next renewal is sent after this time even if this one is not answered.
	suspectRenewalWait = 15 * time.Millisecond
	// suspectStartTimeout replaces startTimeout while the server is suspect. It is
	// also the shortest time between two attempts at a start.
	suspectStartTimeout = 15 * time.Millisecond
)

// An EntryRef names one incarnation of an entry.
type EntryRef = pollenfront.EntryRef

// An Executor holds the state of an agent.
type Executor struct {
	// acceptedRuns lists all runs that have not ended, in the order of acceptance.
	acceptedRuns []*run
	// agentZone is the agent's own availability zone.
	agentZone string
	// cancellations are the cancellations of jobs that the agent knows of.
	cancellations *cancellog.Log
	// crashes are the crashes of processes that the agent knows of.
	crashes *crashlog.Log
	// disabledZones is the newest list that an entry has sent.
	disabledZones tasklink.DisabledZones
	// draining is whether Drain was called, so that the agent takes no new tasks.
	draining bool
	// endings are the newest ends of runs, by task.
	endings endings
	// entries holds the known entries by name.
	entries map[string]*entry
	// lastUnansweredStart is when a start request last failed without a response.
	lastUnansweredStart time.Duration
	// leaseLimited is whether the lease can't be extended for long enough to start runs.
	leaseLimited bool
	// formerIncarnations are the newest incarnations of the server that were replaced.
	formerIncarnations []uint64
	// interference measures how much runs slow each other down. It is nil if the setting
	// is off.
	interference *interferenceState
	name         string
	// pendingAnnouncement is the newest announcement of an incarnation that the server has
	// not stated itself, or what it announced to an earlier incarnation of the agent.
	pendingAnnouncement pollenfront.Announcement
	// noStartBefore is the time until which nothing starts.
	noStartBefore time.Duration
	// noUnknownRuns is whether the response to the newest renewal listed no run
	// that the executor does not know.
	noUnknownRuns bool
	// overload is what the agent knows of overloaded entries.
	overload overload
	// queue lists the runs that wait to be started, by their latest start.
	queue []*run
	// releases lists the newest ends of runs that were on the server, the oldest first.
	releases []release
	// runsByTask holds the runs of acceptedRuns by their tasks.
	runsByTask map[pollenfront.TaskID]*run
	server     server
	service    string
	// shares are the shares of the entries, or nil if none are stated.
	shares *demandshare.Ledger
	stats  runStats
	// tokens holds the fencing token of the next request to the server.
	tokens *fencing.Sequence
	// unknownListedAt is when the server last listed runs that the executor does not know.
	unknownListedAt time.Duration
	// withheldEnds lists the ends of runs that their entries are told later.
	withheldEnds []withheldEnd
}

// New returns an Executor for the agent with the given name in a zone, whose backend
// server belongs to a service. Its requests carry fencing tokens from token upwards. It is told of
// the tokens of earlier incarnations of the agent by RaiseToken and by the commands of entries.
func New(name, service, zone string, token uint64) *Executor {
	return &Executor{
		agentZone:     zone,
		cancellations: cancellog.New(),
		crashes:       crashlog.New(),
		endings:       make(endings),
		entries:       make(map[string]*entry),
		name:          name,
		runsByTask:    make(map[pollenfront.TaskID]*run),
		service:       service,
		stats:         newRunStats(),
		tokens:        fencing.NewSequence(token),
	}
}

// State returns whether entries may send tasks to the server.
func (x *Executor) State() tasklink.State {
	switch {
	case !x.server.announced || x.server.unresponsive || x.leaseLimited:
		return tasklink.StateUnavailable
	case x.draining || x.server.draining || x.zoneDisabled():
		return tasklink.StateDraining
	}
	return tasklink.StateReady
}

// zoneDisabled reports whether the zone of the server or of the agent is out of
// service.
func (x *Executor) zoneDisabled() bool {
	return slices.Contains(x.disabledZones.Zones, x.server.zone) || slices.Contains(x.disabledZones.Zones, x.agentZone)
}

// Drain returns the queued tasks to their entries and makes the agent refuse new
// ones. Started runs go on.
func (x *Executor) Drain(now time.Duration) Effects {
	var effects Effects
	x.draining = true
	x.returnQueued(now, "the agent is leaving", &effects)
	x.notifyAll(&effects)
	return effects
}

// Idle reports whether no run is queued, running or possibly running.
func (x *Executor) Idle() bool {
	return len(x.runsByTask) == 0
}

// Tick applies all timeouts, repeats requests that failed, and starts queued runs.
// The driver calls it every TickInterval.
func (x *Executor) Tick(now time.Duration) Effects {
	var effects Effects
	x.stats.decay(now)
	x.findOverloaded(now)
	x.cancellations.Expire(now)
	x.crashes.Expire(now)
	x.endings.expire(now)
	x.releaseEnds(now, &effects)
	for _, name := range slices.Sorted(maps.Keys(x.entries)) {
		e := x.entries[name]
		x.checkSilence(now, e, &effects)
		for len(e.recentEnds) > 0 && now-e.recentEnds[0].at > runEndRetention {
			e.recentEnds = e.recentEnds[1:]
		}
		if !e.linked && len(e.recentEnds) == 0 && !x.hasRuns(e) && now-e.lastEcho > runEndRetention {
			delete(x.entries, name)
			x.interference.forget(name)
		}
	}
	if now > x.server.leaseExpiry {
		x.expireLease(now, &effects)
	}
	x.returnTimedOut(now, &effects)
	x.checkLeaseLimit(now, &effects)
	x.stopSlowRuns(now, &effects)
	x.retryStarts(now, &effects)
	x.retryStops(now, &effects)
	x.startQueued(now, &effects)
	x.notifyOfCancellations(&effects)
	return effects
}

// expireLease ends all started runs as lost. It is called when the lease has expired
// even on the slowest clock that maxClockDrift allows. If the server has crashed, a run with
// a start request that may still be carried out is kept, as the next incarnation may get the
// request.
func (x *Executor) expireLease(now time.Duration, effects *Effects) {
	ended := false
	for _, r := range slices.Clone(x.acceptedRuns) {
		if r.state != queued && (r.openStarts == 0 || !x.server.crashed) {
			x.endRun(now, r, pollenfront.EndingLost, proof{asOf: x.server.leaseExpiry, kind: LeaseExpired}, "the lease has lapsed", effects)
			ended = true
		}
	}
	if ended {
		x.tokens.Advance() // Start requests still on their way must have no effect.
	}
}

// Report returns the state of the server and the queue as entries see it.
func (x *Executor) Report(now time.Duration) tasklink.Report {
	return tasklink.Report{
		Capacity:          x.server.capacity.announced,
		DisabledZones:     x.disabledZones,
		EffectiveCapacity: x.server.capacity.learned,
		EntryCount:        x.linkedEntries(),
		FailRate:          x.stats.failRate,
		Free:              x.unreservedResources(now),
		Labels:            x.server.labels,
		RunSeconds:        x.stats.meanRunTime.Seconds(),
		Slowness:          x.slowness(now),
		State:             x.State(),
		Waits:             x.queueWaits(now),
	}
}
