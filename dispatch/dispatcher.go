// Package dispatch is the owner's state machine: it admits jobs, decides which
// backend server runs which task and when, and gives each job one answer.
//
// Tasks stay queued at the owner until a server has room for them, so that the
// decision uses the newest knowledge. A task is sent again only after an agent
// has promised that the earlier attempt did not start it and never will.
//
// # Usage
//
// The driver passes every message as an event to Step and carries out the
// effects that Step returns. It calls Step with a Tick every TickInterval:
//
//	effects := d.Step(now, dispatch.Submit{…})
//	for _, effect := range effects { … }
//
// A Dispatcher is not safe for concurrent use.
package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/estimate"
	"github.com/pollenfront/pollenfront/ledger"
	"github.com/pollenfront/pollenfront/policy"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/view"
)

// Parameters of the dispatcher.
const (
	// TickInterval is the time between two Ticks.
	TickInterval = 20 * time.Millisecond

	attemptBits       = 32 // Attempts of one version of the view.
	maxTaskRefusals   = 30 // Refused attempts after which a task is given up.
	patience          = 4  // Times the expected completion after which a task is taken back.
	patienceFloor     = 100 * time.Millisecond
	refusedRetryAfter = time.Second
	shedInterval      = 100 * time.Millisecond
	// urgency is the multiple of its ideal response time after which a job is
	// served before all that arrive later. It keeps small jobs from waiting for
	// large ones, and large ones from waiting for ever.
	urgency = 8
)

// A Dispatcher owns jobs and places their tasks.
type Dispatcher struct {
	attempts    uint64
	candidate   []pollenfront.Candidate // Reused between calls.
	counts      Counts
	estimator   *estimate.Estimator
	jobs        map[pollenfront.JobID]*job
	lanes       map[laneKey]*lane
	order       []*server    // Those that may start tasks, sorted by name.
	passServers []passServer // Reused between calls.
	policy      pollenfront.Policy
	random      *rand.Rand
	self        pollenfront.EntryRef
	servers     map[string]*server
	shedAt      time.Time
	teams       map[string]*team
	view        *view.View
}

// New returns a Dispatcher for the entry self. All its random choices come
// from random.
func New(self pollenfront.EntryRef, random *rand.Rand) *Dispatcher {
	return &Dispatcher{
		estimator: estimate.NewEstimator(),
		jobs:      make(map[pollenfront.JobID]*job),
		lanes:     make(map[laneKey]*lane),
		policy:    policy.New(view.DefaultPolicy),
		random:    random,
		self:      self,
		servers:   make(map[string]*server),
		teams:     make(map[string]*team),
		view:      &view.View{},
	}
}

// Step applies event at the instant now and returns what the driver must do.
func (d *Dispatcher) Step(now time.Time, event Event) []Effect {
	var effects []Effect
	switch e := event.(type) {
	case Submit:
		effects = d.submit(now, e)
	case Cancel:
		effects = d.cancel(e)
	case TaskEnded:
		effects = d.taskEnded(now, e)
	case ServerSeen:
		d.serverSeen(now, e)
	case LoadSeen:
		d.loadSeen(now, e)
	case ServerGone:
		d.serverGone(e)
	case ViewChanged:
		d.setView(now, e.View)
	case Fenced:
		effects = d.fenced(e)
	case Learned:
		d.learned(e)
	case Tick:
		effects = d.tick(now)
	}
	return append(effects, d.place(now)...)
}

// Estimates returns what was learned of run times, for an entry that joins.
func (d *Dispatcher) Estimates() estimate.Snapshot {
	return d.estimator.Snapshot()
}

// learned takes over what another entry has learned of run times.
func (d *Dispatcher) learned(e Learned) {
	d.estimator.Restore(e.Estimates)
	for _, s := range d.servers {
		s.untried = s.untried && !d.estimator.Known(s.Name)
	}
}

// submit admits a job or answers it with a refusal.
func (d *Dispatcher) submit(now time.Time, e Submit) []Effect {
	j := newJob(e, now)
	if _, known := d.jobs[j.ID]; known {
		err := refusal.New(refusal.OutcomeUnknown, "attempts of an earlier submission of the job are still under way")
		return []Effect{AnswerJob{Answer: j.givenUp(err)}}
	}
	f := d.fleet(now)
	if err := d.admit(now, j, f, e.mayHaveRun()); err != nil {
		d.counts.Refused++
		return []Effect{AnswerJob{Answer: j.givenUp(err)}}
	}
	d.counts.Accepted++
	j.key = now.Add(urgency * d.ideal(j, f))
	d.jobs[j.ID] = j
	t := d.team(j.Team)
	t.inFlight += len(j.tasks)
	t.queued += len(j.queued)
	d.catchUp(t)
	l := d.lane(j)
	l.add(j)
	l.queued += len(j.queued)
	return d.recover(now, j, e)
}

// recover takes over what a former owner of the job had started.
func (d *Dispatcher) recover(now time.Time, j *job, e Submit) []Effect {
	var effects []Effect
	for _, r := range e.Recovered {
		t, ok := j.tasks[r.Ref.Task]
		if !ok || t.state != taskQueued {
			continue
		}
		d.dequeue(j, t)
		d.markSent(now, j, t, r.Server, r.Attempt)
		if r.Finished {
			ended := TaskEnded{Attempt: r.Attempt, Outcome: r.Outcome, Ref: r.Ref, Server: r.Server}
			effects = append(effects, d.taskEnded(now, ended)...)
			continue
		}
		start := ledger.Start{Attempt: r.Attempt, Ref: r.Ref}
		effects = append(effects, StartTask{Join: true, Server: r.Server, Start: start})
	}
	if e.Unaccounted != "" && len(j.queued) > 0 {
		reason := refusal.New(refusal.OutcomeUnknown, "a former owner may have started tasks on %s, which can't be asked", e.Unaccounted)
		effects = append(effects, d.giveUp(j, reason)...)
	}
	return effects
}

// cancel gives a job up on the caller's request.
func (d *Dispatcher) cancel(e Cancel) []Effect {
	j, ok := d.jobs[e.Job]
	if !ok {
		return nil
	}
	return d.giveUp(j, refusal.New(refusal.Cancelled, "the caller cancelled the job"))
}

// fenced gives up the jobs that need another start, and goes on as the new
// incarnation.
func (d *Dispatcher) fenced(e Fenced) []Effect {
	var effects []Effect
	for _, j := range d.jobs {
		if len(j.queued) > 0 {
			reason := refusal.New(refusal.OutcomeUnknown, "the entry was fenced, and another one may run the job")
			effects = append(effects, d.giveUp(j, reason)...)
		}
	}
	d.self = e.Self
	return effects
}

// giveUp answers a job at once and takes its unstarted tasks back. It does
// nothing if the job is answered already.
func (d *Dispatcher) giveUp(j *job, reason *refusal.Error) []Effect {
	if j.answered {
		return nil
	}
	answer := j.givenUp(reason)
	for len(j.queued) > 0 {
		t := j.queued[0]
		d.dequeue(j, t)
		t.state = taskDropped
	}
	var effects []Effect
	for _, t := range j.tasks {
		if t.state == taskSent && !t.withdrawn {
			t.withdrawn = true
			d.counts.Withdrawn++
			effects = append(effects, WithdrawTask{Ref: pollenfront.TaskRef{Job: j.ID, Task: t.Name}, Server: t.server})
		}
	}
	return append(effects, d.answer(j, answer)...)
}

// answer gives a job its one answer.
func (d *Dispatcher) answer(j *job, answer pollenfront.Answer) []Effect {
	j.answered = true
	t := d.team(j.Team)
	t.inFlight -= len(j.tasks)
	d.counts.answered(answer.Status)
	d.forgetIfDone(j)
	return []Effect{AnswerJob{Answer: answer}}
}

// forgetIfDone drops a job that is answered and has no attempt under way.
func (d *Dispatcher) forgetIfDone(j *job) {
	if j.answered && j.sent == 0 {
		delete(d.jobs, j.ID)
	}
}

// serverSeen takes in an announcement or a heartbeat.
func (d *Dispatcher) serverSeen(now time.Time, e ServerSeen) {
	s, ok := d.servers[e.Server.Name]
	if ok && s.Incarnation > e.Server.Incarnation {
		return
	}
	if !ok || s.Incarnation != e.Server.Incarnation {
		s = newServer(e.Server, now)
		s.untried = !d.estimator.Known(s.Name)
		d.servers[s.Name] = s
		d.sortServers()
	}
	s.gone = false
	s.report(now, e.Load)
}

// loadSeen takes in the load that came with an answer.
func (d *Dispatcher) loadSeen(now time.Time, e LoadSeen) {
	if s, ok := d.servers[e.Server.Name]; ok && s.Ref() == e.Server {
		s.report(now, e.Load)
	}
}

// serverGone stops sends to a server that is leaving or was lost.
func (d *Dispatcher) serverGone(e ServerGone) {
	if s, ok := d.servers[e.Server.Name]; ok && s.Ref() == e.Server {
		s.gone = true
	}
}

// setView replaces the view by a newer one.
func (d *Dispatcher) setView(now time.Time, v *view.View) {
	if v.Version <= d.view.Version {
		return
	}
	for _, s := range d.servers {
		if d.view.CheckServer(s.Name, s.Zone) != nil && v.CheckServer(s.Name, s.Zone) == nil {
			s.rampFrom = now
		}
	}
	if d.policy.Name() != v.Policy() {
		d.policy = policy.New(v.Policy())
	}
	d.view = v
	d.sortServers()
}

// sortServers lists the servers that may start tasks.
func (d *Dispatcher) sortServers() {
	d.order = d.order[:0]
	for name, s := range d.servers {
		if d.view.CheckServer(name, s.Zone) == nil {
			d.order = append(d.order, s)
		}
	}
	slices.SortFunc(d.order, func(a, b *server) int { return cmp.Compare(a.Name, b.Name) })
}

// tick gives up the jobs whose deadline has passed or can't be met any more,
// and takes queued tasks back from stragglers.
func (d *Dispatcher) tick(now time.Time) []Effect {
	var effects []Effect
	for _, j := range d.jobs {
		if j.answered {
			continue
		}
		if now.After(j.Deadline) {
			reason := refusal.New(refusal.CannotFinish, "the deadline passed with %d of %d tasks done", j.succeeds, len(j.tasks))
			effects = append(effects, d.giveUp(j, reason)...)
			continue
		}
		effects = append(effects, d.takeBack(now, j)...)
	}
	if now.Sub(d.shedAt) >= shedInterval {
		d.shedAt = now
		effects = append(effects, d.shed(now)...)
	}
	return effects
}

// takeBack withdraws tasks that a straggler should have finished long ago. An
// agent gives a task back only if it has not started.
func (d *Dispatcher) takeBack(now time.Time, j *job) []Effect {
	var effects []Effect
	for _, t := range j.tasks {
		if t.state != taskSent || t.withdrawn {
			continue
		}
		s := d.servers[t.server.Name]
		due := patience*(t.choice.Wait+t.choice.Expected) + patienceFloor
		if s == nil || s.load.Queued == 0 || now.Sub(t.sentAt) < due {
			continue
		}
		t.withdrawn = true
		d.counts.Withdrawn++
		effects = append(effects, WithdrawTask{Ref: pollenfront.TaskRef{Job: j.ID, Task: t.Name}, Server: t.server})
	}
	return effects
}
