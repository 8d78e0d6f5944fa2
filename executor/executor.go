// Package executor is the agent's state machine: it decides in which order the
// tasks that entries have ordered start on the backend server beside the
// agent, keeps the server's lease, and ends every run whose entry is silent.
//
// It answers these load patterns: several entries that find the same room free
// (the tasks wait here, the most urgent first), a server that hangs, fails or
// forgets, orders that are carried out late, and an entry or an agent that
// dies, freezes or is cut off. In all of them a run ends within EntrySilenceTimeout
// and Lease of the moment at which its entry was last heard.
//
// # Usage
//
// The driver passes every message to a method and carries out the effects that
// it returns. All instants are those of one clock that counts suspensions:
//
//	effects := x.HandleCommands(now, entry, commands)
//	for _, order := range effects.Starts { … }
//
// An Executor is not safe for concurrent use.
package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Parameters of the executor.
const (
	// RenewalRetryDelay is the time after a renewal that failed.
	RenewalRetryDelay = 50 * time.Millisecond
	// RenewalWait is how long a renewal waits for an ending, and so the longest
	// time between two extensions of the lease.
	RenewalWait = 150 * time.Millisecond
	// StopTimeout is how long the answer to a stop is waited for.
	StopTimeout = 40 * time.Millisecond
	// Lease is how long the server runs on without the agent.
	Lease = 600 * time.Millisecond
	// EntrySilenceTimeout is how long the runs of a silent entry go on. Together
	// with Lease it stays below the time after which a caller resubmits.
	EntrySilenceTimeout = 600 * time.Millisecond
	// TickInterval is the time between two Ticks.
	TickInterval = 25 * time.Millisecond
	// UpdateInterval is the longest time between two updates to an entry.
	UpdateInterval = 150 * time.Millisecond

	// acknowledgeTime is the time since the newest answered renewal up to which
	// endings are acknowledged. Later the server may have been restarted, and
	// would forget endings of its new incarnation.
	acknowledgeTime = 250 * time.Millisecond
	// awayAfterStart is the time without any answer from which a server that
	// does not answer a start gets no more tasks, and awayAfterRenewal the
	// same for one that does not answer renewals.
	awayAfterStart   = 100 * time.Millisecond
	awayAfterRenewal = 250 * time.Millisecond
	// clockDrift bounds by how much a server's clock may be slow.
	clockDrift = 1.03
	// doubtTime is how long the server is in doubt after it has left an order
	// unanswered: it is asked more often, and starts are repeated sooner.
	doubtTime = 3 * time.Second
	// doubtWait is the wait of renewals in doubt. The next one is sent after
	// it even if the answer is missing.
	doubtWait = 15 * time.Millisecond
	// lapseMargin covers the time that the server takes to end its runs.
	lapseMargin = 30 * time.Millisecond
	// maxOrderAge is the age of an order's echo from which it is refused. An
	// entry has given up an agent by the time at which such an order arrives.
	maxOrderAge = 500 * time.Millisecond
	// memory is how long endings are kept for an entry that is not linked.
	memory = 3 * time.Second
	// noRoomPause is how long nothing starts after the server had no room
	// although room was expected.
	noRoomPause = 10 * time.Millisecond
	// maxLease is the longest lease that a server grants.
	maxLease = time.Second
	// maxWait is the longest time that a task is expected to wait here. Its
	// entry, which did not know what others had sent, places it elsewhere.
	maxWait = 40 * time.Millisecond
	// maxNoRoom is how often a task is tried before its entry places it elsewhere.
	maxNoRoom = 5
	// priorities is the number of priorities that are told apart.
	priorities = 3
	// renewalMargin is how long the answer to a renewal is waited for beyond
	// the renewal's own wait.
	renewalMargin = 100 * time.Millisecond
	// slowFactor is the multiple of its expected run time from which a run is
	// stopped. Estimates are rarely off by more.
	slowFactor = 5
	// slowAfter is the time after which progress tells the speed of a run, and
	// slowPercent the progress up to which a start elsewhere is quicker.
	slowAfter   = 120 * time.Millisecond
	slowPercent = 50
	// startTimeout is how long the answer to a start is waited for, and
	// doubtStartTimeout the same in doubt. The server is on the same machine,
	// and a start can be repeated.
	startTimeout      = 35 * time.Millisecond
	doubtStartTimeout = 15 * time.Millisecond
	// startAttempts is how often a start is ordered before its entry places
	// the task elsewhere.
	startAttempts = 6
	// stopRetry is the time after which an unanswered stop is repeated.
	stopRetry = 50 * time.Millisecond
	// stuckLimit is the time without progress after which a run is stopped.
	// The server states progress in hundredths.
	stuckLimit = 300 * time.Millisecond
)

// An EntryRef names one incarnation of an entry.
type EntryRef = pollenfront.EntryRef

// Effects are what the driver must do.
type Effects struct {
	Ended  []EndedRun // To be logged.
	Notify []string   // Entries that must get an update at once.
	Starts []pollenfront.StartRequest
	Stops  []StopRequest
}

// An EndedRun is a run that has ended, or an order for one that was refused.
type EndedRun struct {
	tasklink.RunEnd

	Entry    string
	Reported bool // Whether the entry is linked, and so is told.
}

// A StopRequest tells the server to stop a run.
type StopRequest struct {
	Run   pollenfront.RunID
	Token uint64
}

// An Executor holds the state of an agent.
type Executor struct {
	clean      bool // Whether the server lists no run that the executor does not know.
	entries    map[string]*entry
	leaving    bool
	measure    measure
	notice     tasklink.DisabledZones
	order      []*run                   // All runs, in the order in which they were accepted.
	queue      []*run                   // The most urgent first.
	remembered pollenfront.Announcement // To an earlier incarnation of the agent.
	resume     time.Duration
	runs       map[pollenfront.TaskID]*run
	server     server
	service    string
	token      uint64
	zone       string
}

// New returns an Executor for the agent of a service's backend server in a
// zone. Its orders carry fencing tokens from token upwards, which must be
// higher than those of earlier incarnations.
func New(service, zone string, token uint64) *Executor {
	return &Executor{
		entries: make(map[string]*entry),
		measure: newMeasure(),
		runs:    make(map[pollenfront.TaskID]*run),
		service: service,
		token:   token,
		zone:    zone,
	}
}

// HandleCommands takes the orders of an entry.
func (x *Executor) HandleCommands(now time.Duration, ref EntryRef, orders *tasklink.Commands) Effects {
	var fx Effects
	e, ok := x.entries[ref.Name]
	if !ok || e.EntryRef != ref {
		return fx
	}
	echo := time.Duration(orders.Echo)
	if echo > e.echo {
		e.echo = echo
		e.silent = e.silent && e.lost(now)
	}
	x.learnNotice(orders.DisabledZones)
	for i := range orders.Starts {
		x.accept(now, e, &orders.Starts[i], now-echo > maxOrderAge, &fx)
	}
	for _, id := range orders.Stops {
		if r, ok := x.runs[id.TaskID]; ok && r.entry == e && r.id.Number <= id.Number {
			x.stop(now, r, "its entry stopped it", &fx)
		}
	}
	x.startQueued(now, &fx)
	return fx
}

// learnNotice takes over a newer list of the zones that are out of service.
func (x *Executor) learnNotice(n tasklink.DisabledZones) {
	if n.Version > x.notice.Version {
		x.notice = n
	}
}

// accept queues the runs of a start order, or refuses them.
func (x *Executor) accept(now time.Duration, e *entry, s *tasklink.StartCommand, stale bool, fx *Effects) {
	refusal := x.refusal(s, stale)
	for _, t := range s.Tasks {
		id := pollenfront.RunID{Number: t.Run, TaskID: pollenfront.TaskID{Index: t.Index, Job: s.Job, Step: s.Step}}
		e.lastNumber = max(e.lastNumber, t.SeqNum)
		reason := refusal
		if _, active := x.runs[id.TaskID]; active && reason == "" {
			reason = "an earlier run of the task has not ended"
		}
		if reason == "" && x.full(now, s) {
			reason = "the server is full"
		}
		if reason != "" {
			x.tell(now, e, tasklink.RunEnd{Run: id, Ending: pollenfront.EndingNotStarted, Reason: reason}, fx)
			continue
		}
		r := &run{
			accepted: now, entry: e, expected: time.Duration(s.Expected), id: id, need: s.Need, once: s.AtMostOnce, payload: s.Payload,
			priority: priority(s), urgent: now + time.Duration(s.Slack),
		}
		x.runs[id.TaskID] = r
		x.order = append(x.order, r)
		x.enqueue(r)
		x.startQueued(now, fx) // The next task finds what room is left.
	}
}

// full reports whether a task of a start order would wait for too long.
func (x *Executor) full(now time.Duration, s *tasklink.StartCommand) bool {
	if x.unclaimed().Covers(s.Need) {
		return false
	}
	return x.waits(now)[priority(s)] > int(maxWait/time.Millisecond)
}

// priority returns the priority of a start order among those told apart here.
func priority(s *tasklink.StartCommand) int {
	return min(max(s.Priority, 0), priorities-1)
}

// refusal returns why no run of a start order may start, or "".
func (x *Executor) refusal(s *tasklink.StartCommand, stale bool) string {
	switch {
	case stale:
		return "the order was delayed"
	case s.Service != x.service:
		return "the server belongs to another service"
	case x.State() == tasklink.StateUnavailable:
		return "the server has not announced itself"
	case x.State() == tasklink.StateDraining:
		return "the server takes no new tasks"
	case !x.server.capacity.Covers(s.Need):
		return "the server is too small for the task"
	}
	return ""
}

// State returns whether the server may be sent tasks.
func (x *Executor) State() tasklink.State {
	switch {
	case !x.server.known || x.server.silent:
		return tasklink.StateUnavailable
	case x.leaving || x.server.draining || x.zoneOut():
		return tasklink.StateDraining
	}
	return tasklink.StateReady
}

// zoneOut reports whether the zone of the server is out of service.
func (x *Executor) zoneOut() bool {
	return slices.Contains(x.notice.Zones, x.server.zone) || slices.Contains(x.notice.Zones, x.zone)
}

// Drain returns what is queued to the entries and refuses new tasks.
func (x *Executor) Drain(now time.Duration) Effects {
	var fx Effects
	x.leaving = true
	x.returnQueued(now, "the agent is leaving", &fx)
	x.notifyAll(&fx)
	return fx
}

// Idle reports whether nothing runs or may run.
func (x *Executor) Idle() bool {
	return len(x.runs) == 0
}

// add adds other effects.
func (fx *Effects) add(other Effects) {
	fx.Ended = append(fx.Ended, other.Ended...)
	fx.Starts = append(fx.Starts, other.Starts...)
	fx.Stops = append(fx.Stops, other.Stops...)
	for _, name := range other.Notify {
		fx.notify(name)
	}
}

// notify adds an entry to those that must get an update.
func (fx *Effects) notify(name string) {
	for _, n := range fx.Notify {
		if n == name {
			return
		}
	}
	fx.Notify = append(fx.Notify, name)
}

// notifyAll tells all entries the state of the server.
func (x *Executor) notifyAll(fx *Effects) {
	for _, name := range slices.Sorted(maps.Keys(x.entries)) {
		if x.entries[name].linked {
			fx.notify(name)
		}
	}
}

// Tick ends what has run out of time.
func (x *Executor) Tick(now time.Duration) Effects {
	var fx Effects
	x.measure.forget(now)
	for _, name := range slices.Sorted(maps.Keys(x.entries)) {
		e := x.entries[name]
		if e.lost(now) && !e.silent {
			e.silent = true
			x.endAll(now, e, entrySilent, &fx)
		}
		for len(e.past) > 0 && now-e.past[0].at > memory {
			e.past = e.past[1:]
		}
		if !e.linked && len(e.past) == 0 && !x.owns(e) && now-e.echo > memory {
			delete(x.entries, name)
		}
	}
	if now > x.server.lapse {
		x.lapse(now, &fx)
	}
	x.returnWaiting(now, &fx)
	x.stopStuck(now, &fx)
	x.repeatStarts(now, &fx)
	x.repeatStops(now, &fx)
	x.startQueued(now, &fx)
	return fx
}

// lapse ends the runs whose lease has certainly lapsed.
func (x *Executor) lapse(now time.Duration, fx *Effects) {
	ended := false
	for _, r := range slices.Clone(x.order) {
		if r.state != queued {
			x.end(now, r, pollenfront.EndingLost, "the lease has lapsed", fx)
			ended = true
		}
	}
	if ended {
		x.token++ // Orders that are still under way must not take effect.
	}
}

// Report describes the server.
func (x *Executor) Report(now time.Duration) tasklink.Report {
	return tasklink.Report{
		Capacity:      x.server.capacity,
		DisabledZones: x.notice,
		FailRate:      x.measure.failRate,
		Free:          x.unclaimed(),
		Labels:        x.server.labels,
		RunSeconds:    x.measure.runTime.Seconds(),
		Slowness:      x.slowness(now),
		State:         x.State(),
		Waits:         x.waits(now),
	}
}
