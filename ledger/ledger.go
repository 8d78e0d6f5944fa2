// Package ledger is the agent's state machine: the record of the tasks that
// were started, and the last check before a task starts.
//
// The record is the truth about starts. An attempt to start a task gets one of
// two answers: its outcome, or the promise that this attempt did not start the
// task and never will. The promise is kept also for copies of the request that
// arrive later, because every refused attempt is recorded too.
//
// # Usage
//
// The driver passes every message and every finished run as an event to Step,
// and carries out the effects that Step returns:
//
//	effects := l.Step(now, ledger.Start{…})
//	for _, effect := range effects { … }
//
// A Ledger is not safe for concurrent use.
package ledger

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/freshness"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/view"
)

// Limits on what a ledger keeps.
const (
	// maxRecords and maxSize bound the memory of a ledger, in records and in
	// bytes of results. Starts are refused beyond them.
	maxRecords = 400_000
	maxSize    = 96 << 20
	// clockSkew is the greatest difference allowed between two clocks.
	clockSkew = 2 * time.Second
	// overshoot is the number of tasks that are taken beyond the queue depth:
	// several owners may send to the last room at once, and short tasks may
	// overtake queued ones.
	overshoot = 32
)

// A Ledger is the agent's record of starts.
type Ledger struct {
	byJob     map[pollenfront.JobID]map[string]*record
	expiry    []pollenfront.JobID // In the order of arrival.
	leaving   bool
	owned     map[string]int // Queued and running tasks by owner.
	queue     []pollenfront.TaskRef
	records   int
	retention time.Duration
	running   int
	self      pollenfront.Server
	serial    uint64
	size      int // Of the results, in bytes.
	tracker   *freshness.Tracker
	view      *view.View
}

// New returns an empty Ledger for the backend server self. Jobs whose ID is
// older than retention are refused, and records are kept for twice as long.
func New(self pollenfront.Server, retention time.Duration) *Ledger {
	return &Ledger{
		byJob:     make(map[pollenfront.JobID]map[string]*record),
		owned:     make(map[string]int),
		retention: retention,
		self:      self,
		tracker:   freshness.NewTracker(""),
		view:      &view.View{},
	}
}

// Step applies event at the instant now and returns what the driver must do.
func (l *Ledger) Step(now time.Time, event Event) []Effect {
	l.expire(now)
	var effects []Effect
	switch e := event.(type) {
	case Start:
		effects = l.start(now, e)
	case Await:
		effects = l.await(e)
	case Withdraw:
		effects = l.withdraw(e)
	case Finished:
		effects = l.finish(now, e)
	case ViewChanged:
		l.setView(e.View)
	case Proved:
		l.tracker.Passed(e.SentAt, e.Version, e.Age)
	case Leave:
		effects = l.leave()
	}
	return append(effects, l.startQueued(now)...)
}

// Load returns the load as it concerns the owner named: its own tasks are left
// out of Others.
func (l *Ledger) Load(owner string) pollenfront.Load {
	load := pollenfront.Load{Queued: len(l.queue), Running: l.running, Serial: l.serial}
	load.Others = l.running + len(l.queue) - l.owned[owner]
	return load
}

// View returns the view that the ledger holds.
func (l *Ledger) View() *view.View {
	return l.view
}

// Idle reports whether no task is queued or running.
func (l *Ledger) Idle() bool {
	return l.running == 0 && len(l.queue) == 0
}

// Records returns the number of tasks on record.
func (l *Ledger) Records() int {
	return l.records
}

// Fresh reports whether the view is proved to be current.
func (l *Ledger) Fresh(now time.Time) bool {
	return l.tracker.Fresh(now)
}

// Adopt returns the records of a job's tasks that have started, for an entry
// that came to own the job at the given version. From then on, no former owner
// that is not in the view can start another task of the job here. It returns a
// refusal.StaleView error if the ledger has not seen that version yet.
func (l *Ledger) Adopt(now time.Time, id pollenfront.JobID, version uint64) ([]pollenfront.TaskRecord, []Effect, error) {
	if l.view.Version < version {
		return nil, nil, refusal.New(refusal.StaleView, "the agent holds view %d, not %d", l.view.Version, version).At(version)
	}
	effects := l.startQueued(now)
	var records []pollenfront.TaskRecord
	for name, r := range l.byJob[id] {
		if r.state == stateRefused {
			continue
		}
		ref := pollenfront.TaskRef{Job: id, Task: name}
		if r.state == stateQueued {
			effects = append(effects, l.refuse(ref, r, refusal.New(refusal.NotOwner, "the job has a new owner"))...)
			continue
		}
		records = append(records, l.export(ref, r))
	}
	return records, effects, nil
}

// start handles a request to start a task.
func (l *Ledger) start(now time.Time, e Start) []Effect {
	r := l.find(e.Ref)
	if r != nil && (r.state != stateRefused || e.Attempt <= r.attempt) {
		return l.join(e.Ref, e.Attempt, r)
	}
	if err := l.check(now, e); err != nil {
		return l.refuseStart(e, err)
	}
	if l.running+len(l.queue) >= l.self.Slots+l.view.QueueDepth()+overshoot {
		return l.refuseStart(e, refusal.New(refusal.ServerFull, "%d tasks are running and %d queued", l.running, len(l.queue)))
	}
	if r == nil {
		r = l.create(e.Ref)
	}
	r.attempt, r.owner, r.start, r.state = e.Attempt, e.Owner, e, stateQueued
	l.enqueue(e)
	l.owned[e.Owner.Name]++
	l.serial++
	return nil
}

// enqueue queues a task in the order of service.
func (l *Ledger) enqueue(e Start) {
	i, _ := slices.BinarySearchFunc(l.queue, e.Due, func(queued pollenfront.TaskRef, due time.Time) int {
		if l.find(queued).start.Due.After(due) {
			return 1
		}
		return -1
	})
	l.queue = slices.Insert(l.queue, i, e.Ref)
}

// join answers a request for a task that is on record. A driver that gets no
// Reply yet waits for the one that comes when the task ends.
func (l *Ledger) join(ref pollenfront.TaskRef, attempt uint64, r *record) []Effect {
	switch r.state {
	case stateFinished:
		return []Effect{Reply{Outcome: r.outcome, Ref: ref}}
	case stateRefused:
		refused := refusal.New(refusal.Duplicate, "attempt %d was refused before", attempt)
		return []Effect{Reply{Outcome: notStarted(refused), Ref: ref}}
	default:
		return nil
	}
}

// check returns an error if a task may not start now.
func (l *Ledger) check(now time.Time, e Start) error {
	if e.Target != l.self.Ref() {
		return refusal.New(refusal.WrongIncarnation, "this is %s incarnation %d", l.self.Name, l.self.Incarnation)
	}
	if l.leaving {
		return refusal.New(refusal.AgentLeaving, "the agent of %s is leaving", l.self.Name)
	}
	if !l.tracker.Fresh(now) {
		return refusal.New(refusal.StaleView, "view %d has not been proved current for %v", l.view.Version, freshness.Limit)
	}
	if now.Sub(e.Ref.Job.Time()) > l.retention+clockSkew {
		return refusal.New(refusal.IDTooOld, "the job ID is older than %v", l.retention)
	}
	if now.After(e.Deadline) {
		return refusal.New(refusal.DeadlinePassed, "the deadline passed at %s", e.Deadline.Format(time.RFC3339Nano))
	}
	if l.records >= maxRecords || l.size >= maxSize {
		return refusal.New(refusal.ServerFull, "%d tasks with %d bytes of results are on record", l.records, l.size)
	}
	if err := l.view.CheckServer(l.self.Name, l.self.Zone); err != nil {
		return err
	}
	return l.view.CheckOwner(e.Ref.Job, e.Owner, e.Accepted)
}

// await handles a question about a task. If the task is not on record, the
// attempt is refused for good, so that a delayed request can't start it after
// the answer.
func (l *Ledger) await(e Await) []Effect {
	r := l.find(e.Ref)
	if r == nil {
		r = l.create(e.Ref)
	}
	if r.state == stateRefused {
		r.attempt = max(r.attempt, e.Attempt)
	}
	return l.join(e.Ref, e.Attempt, r)
}

// withdraw handles a request to take a queued task back.
func (l *Ledger) withdraw(e Withdraw) []Effect {
	r := l.find(e.Ref)
	if r == nil || r.state != stateQueued {
		return nil
	}
	return l.refuse(e.Ref, r, refusal.New(refusal.Cancelled, "the owner took the task back"))
}

// finish handles the end of a run.
func (l *Ledger) finish(now time.Time, e Finished) []Effect {
	r := l.find(e.Ref)
	if r == nil || r.state != stateRunning {
		return nil
	}
	l.running--
	l.owned[r.owner.Name]--
	l.serial++
	if refusal.Is(e.Err, refusal.NotStarted) {
		r.state = stateRefused
		return []Effect{Reply{Outcome: notStarted(e.Err), Ref: e.Ref}}
	}
	r.state = stateFinished
	r.outcome = outcomeOf(e, now.Sub(r.started))
	l.size += len(r.outcome.Payload)
	r.start = Start{}
	return []Effect{Reply{Outcome: r.outcome, Ref: e.Ref}}
}

// leave refuses all new tasks and gives the queued ones back.
func (l *Ledger) leave() []Effect {
	l.leaving = true
	var effects []Effect
	for _, ref := range slices.Clone(l.queue) {
		refused := refusal.New(refusal.AgentLeaving, "the agent of %s is leaving", l.self.Name)
		effects = append(effects, l.refuse(ref, l.find(ref), refused)...)
	}
	return effects
}

// startQueued starts queued tasks while slots are free. Every task is checked
// again at the instant of its start.
func (l *Ledger) startQueued(now time.Time) []Effect {
	var effects []Effect
	for len(l.queue) > 0 && l.running < l.self.Slots {
		ref := l.queue[0]
		r := l.find(ref)
		if err := l.check(now, r.start); err != nil {
			effects = append(effects, l.refuse(ref, r, err)...)
			continue
		}
		l.queue = l.queue[1:]
		l.running++
		l.serial++
		r.state, r.started = stateRunning, now
		effects = append(effects, Run{
			Kind: r.start.Kind, Ref: ref, StartBy: now.Add(l.tracker.Remaining(now)), Task: r.start.Task,
		})
	}
	return effects
}

// refuseStart records that an attempt is refused and replies so.
func (l *Ledger) refuseStart(e Start, reason error) []Effect {
	r := l.find(e.Ref)
	if r == nil && l.records < maxRecords {
		r = l.create(e.Ref)
	}
	if r != nil {
		r.attempt = max(r.attempt, e.Attempt)
	}
	return []Effect{Reply{Outcome: notStarted(reason), Ref: e.Ref}}
}

// refuse takes a queued task out of the queue for good.
func (l *Ledger) refuse(ref pollenfront.TaskRef, r *record, reason error) []Effect {
	l.queue = slices.DeleteFunc(l.queue, func(queued pollenfront.TaskRef) bool { return queued == ref })
	l.owned[r.owner.Name]--
	l.serial++
	r.state = stateRefused
	r.start = Start{}
	return []Effect{Reply{Outcome: notStarted(reason), Ref: ref}}
}

// setView replaces the view by a newer one.
func (l *Ledger) setView(v *view.View) {
	if v.Version <= l.view.Version {
		return
	}
	l.view = v
	l.tracker.SetView(v)
}
