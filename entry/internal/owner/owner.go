// Package owner drives the dispatcher: it accepts the jobs that this entry
// owns, joins resubmissions to them, keeps their answers, and carries out what
// the dispatcher decides.
//
// # Usage
//
//	o := owner.New(members, retention, registry)
//	answer, err := o.Submit(ctx, peer.Submit{Job: job, Submission: id})
package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/dispatch"
	"github.com/pollenfront/pollenfront/entry/internal/agents"
	"github.com/pollenfront/pollenfront/entry/internal/members"
	"github.com/pollenfront/pollenfront/estimate"
	"github.com/pollenfront/pollenfront/freshness"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/view"
)

// Limits of an owner.
const (
	inquireTimeout = time.Second
	inquirePause   = 100 * time.Millisecond
	maxAhead       = time.Second // Greatest lead of a job ID over the clock.
	maxKept        = 50_000      // Answers.
	maxKeptSize    = 64 << 20    // Bytes of answers.
	maxRefusals    = 2_000       // Refusals whose reason is kept.
	sweepInterval  = time.Second
	// settle is the time after a change of the owners during which a former
	// owner that is alive may still accept jobs under the view before.
	settle = freshness.Limit
	// skew is the greatest lead of a job ID over the clock of another entry.
	skew = maxAhead + 500*time.Millisecond
)

// An Owner owns jobs.
type Owner struct {
	agents     *agents.Agents
	answers    *answers
	dispatcher *dispatch.Dispatcher
	flights    map[pollenfront.JobID]*flight
	members    *members.Members
	messages   *prometheus.CounterVec
	mutex      sync.Mutex
	overhead   prometheus.Histogram
	retention  time.Duration
}

// A flight is a job that has no answer yet.
type flight struct {
	answer      pollenfront.Answer
	cancelled   bool
	done        chan struct{}
	err         error // Set instead of answer if the job was not accepted.
	submissions []string
}

// New returns an Owner without jobs. Attach must be called before it is used.
func New(m *members.Members, retention time.Duration, registry prometheus.Registerer) *Owner {
	seed := uint64(time.Now().UnixNano())
	o := &Owner{
		answers:    newAnswers(retention),
		dispatcher: dispatch.New(m.Self(), rand.New(rand.NewPCG(seed, seed))),
		flights:    make(map[pollenfront.JobID]*flight),
		members:    m,
		retention:  retention,
	}
	o.register(registry)
	return o
}

// Attach sets the agents that run the tasks.
func (o *Owner) Attach(a *agents.Agents) {
	o.agents = a
}

// Run lets time pass for the dispatcher until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	ticker := time.NewTicker(dispatch.TickInterval)
	defer ticker.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			o.Step(dispatch.Tick{})
			if now.Sub(swept) > sweepInterval {
				swept = now
				o.sweep(now)
			}
		}
	}
}

// Step passes an event to the dispatcher and carries out its effects.
func (o *Owner) Step(event dispatch.Event) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.perform(o.dispatcher.Step(time.Now(), event))
}

// Fenced goes on as a new incarnation after the entry was taken for dead.
func (o *Owner) Fenced(self pollenfront.EntryRef) {
	o.Step(dispatch.Fenced{Self: self})
}

// Submit accepts a job, or joins it if it is known, and waits for its answer.
// With JoinOnly, an unknown job is refused. It returns a refusal if the job
// was not accepted. A submission that was answered as not run stays so, also if
// a copy of it arrives late.
func (o *Owner) Submit(ctx context.Context, submit peer.Submit) (pollenfront.Answer, error) {
	job := submit.Job
	o.mutex.Lock()
	if answer, ok := o.answers.notRun(submit.Submission); ok {
		o.mutex.Unlock()
		return answer, nil
	}
	if answer, ok := o.answers.get(job.ID); ok {
		o.mutex.Unlock()
		return answer, nil
	}
	f, known := o.flights[job.ID]
	if !known {
		version, err := o.mayAccept(job.ID, submit.JoinOnly)
		if err != nil {
			o.answers.noteRefusal(job.ID, err)
			o.mutex.Unlock()
			return pollenfront.Answer{}, err
		}
		f = &flight{done: make(chan struct{})}
		o.flights[job.ID] = f
		go o.accept(job, f, version)
	}
	f.submissions = append(f.submissions, submit.Submission)
	o.mutex.Unlock()
	select {
	case <-f.done:
		return f.answer, f.err
	case <-ctx.Done():
		return pollenfront.Answer{}, refusal.New(refusal.OutcomeUnknown, "the wait for the answer ended: %v", ctx.Err())
	}
}

// Cancel gives a job up.
func (o *Owner) Cancel(id pollenfront.JobID) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	f, ok := o.flights[id]
	if !ok {
		return refusal.New(refusal.UnknownJob, "job %s is not in flight here", id)
	}
	f.cancelled = true
	o.perform(o.dispatcher.Step(time.Now(), dispatch.Cancel{Job: id}))
	return nil
}

// Inquire tells an entry that came to own a job whether this one has it. If
// not, this entry never accepts it: its view names the new owner. It returns a
// refusal.StaleView error if its view is older than the new owner's, and a
// refusal.WrongIncarnation error if another incarnation is meant, of whose jobs
// this one knows nothing.
func (o *Owner) Inquire(inquire peer.Inquire) (peer.InquireReply, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	self, id := o.members.Self(), inquire.Job
	if self != inquire.Owner {
		return peer.InquireReply{}, refusal.New(refusal.WrongIncarnation, "this is %s incarnation %d", self.Name, self.Incarnation)
	}
	if present := o.members.View().Version; present < inquire.Version {
		return peer.InquireReply{}, refusal.New(refusal.StaleView, "entry %s holds view %d", self.Name, present).At(inquire.Version)
	}
	_, flying := o.flights[id]
	_, kept := o.answers.get(id)
	if !flying && !kept && o.answers.mayHaveForgotten(id) {
		return peer.InquireReply{}, refusal.New(refusal.OutcomeUnknown, "the answer to job %s may have been dropped", id)
	}
	return peer.InquireReply{Mine: flying || kept}, nil
}

// Busy returns the number of jobs without an answer.
func (o *Owner) Busy() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.flights)
}

// Estimates returns what was learned of run times.
func (o *Owner) Estimates() estimate.Snapshot {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.dispatcher.Estimates()
}

// Dump returns the state of the dispatcher.
func (o *Owner) Dump(detail pollenfront.JobID) dispatch.Dump {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.dispatcher.Dump(time.Now(), detail)
}

// JobState describes a job to its caller or an operator.
func (o *Owner) JobState(id pollenfront.JobID) (peer.JobState, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	state := peer.JobState{Owner: o.members.Self().Name, Submitted: id.Time()}
	if answer, ok := o.answers.get(id); ok {
		state.Answer = &answer
		state.Why = append(state.Why, o.answers.why(id)...)
		return state, nil
	}
	if _, ok := o.flights[id]; ok {
		state.Why = explain(o.dispatcher.Dump(time.Now(), id), id)
		return state, nil
	}
	if err := o.answers.refusal(id); err != nil {
		state.Why = []string{"refused: " + err.Error()}
		return state, nil
	}
	return state, refusal.New(refusal.UnknownJob, "job %s is not known to entry %s", id, state.Owner)
}

// mayAccept returns the view version under which a job may be accepted now.
// The caller holds the mutex, so that an inquiry after the version was read
// finds the flight.
func (o *Owner) mayAccept(id pollenfront.JobID, joinOnly bool) (uint64, error) {
	if joinOnly {
		return 0, refusal.New(refusal.UnknownJob, "job %s is not in flight here", id)
	}
	now := time.Now()
	if age := now.Sub(id.Time()); age > o.retention {
		return 0, refusal.New(refusal.IDTooOld, "the job ID is %v old; the server's time is %s", age.Round(time.Second), now.UTC().Format(time.RFC3339Nano))
	}
	if ahead := id.Time().Sub(now); ahead > maxAhead {
		return 0, refusal.New(refusal.IDAhead, "the job ID is %v ahead; the server's time is %s", ahead.Round(time.Millisecond), now.UTC().Format(time.RFC3339Nano))
	}
	if !o.members.Fresh() {
		return 0, refusal.New(refusal.StaleView, "entry %s can't prove that its view is current", o.members.Self().Name).After(time.Second)
	}
	if !o.agents.Surveyed() {
		return 0, refusal.New(refusal.NotReady, "entry %s has not learned yet which agents there are", o.members.Self().Name).After(time.Second)
	}
	if !o.members.InContact() {
		return 0, refusal.New(refusal.StaleView, "entry %s is not in contact with a majority of the entries", o.members.Self().Name).After(time.Second)
	}
	v := o.members.View()
	owner, ok := v.Owner(id)
	if !ok || owner.Ref() != o.members.Self() {
		return 0, refusal.New(refusal.NotOwner, "entry %s owns the job", owner.Name).At(v.Version)
	}
	return v.Version, nil
}

// finish ends a flight. The caller holds the mutex.
func (o *Owner) finish(id pollenfront.JobID, answer pollenfront.Answer, err error) {
	f, ok := o.flights[id]
	if !ok {
		return
	}
	if err == nil && answer.Status == pollenfront.StatusNotRun && !o.members.Fresh() {
		answer.Status = pollenfront.StatusUnknown
		answer.Message = "the entry can't prove that it still owns the job, and another one may run it: " + answer.Message
	}
	f.answer, f.err = answer, err
	delete(o.flights, id)
	close(f.done)
	if err != nil {
		o.answers.noteRefusal(id, err)
		return
	}
	o.answers.keep(id, answer, f.submissions)
}

// perform carries out effects. The caller holds the mutex.
func (o *Owner) perform(effects []dispatch.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case dispatch.AnswerJob:
			o.finish(e.Answer.Job, e.Answer, nil)
		case dispatch.StartTask:
			o.messages.WithLabelValues("start").Inc()
			go o.start(e)
		case dispatch.WithdrawTask:
			o.messages.WithLabelValues("withdraw").Inc()
			go o.agents.Withdraw(context.Background(), e)
		}
	}
}

// start sends an attempt to an agent and passes its outcome to the dispatcher.
func (o *Owner) start(e dispatch.StartTask) {
	began := time.Now()
	outcome := o.agents.Start(context.Background(), e)
	o.messages.WithLabelValues(string(outcome.State)).Inc()
	if outcome.State == pollenfront.OutcomeSucceeded {
		o.overhead.Observe((time.Since(began) - time.Duration(outcome.RunTime)).Seconds())
	}
	o.Step(dispatch.TaskEnded{Attempt: e.Start.Attempt, Outcome: outcome, Ref: e.Start.Ref, Server: e.Server})
}

// sweep forgets old answers.
func (o *Owner) sweep(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.answers.sweep(now)
}

// register registers the metrics.
func (o *Owner) register(registry prometheus.Registerer) {
	o.messages = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pollenfront_task_messages_total", Help: "Messages about tasks: starts and withdrawals sent, outcomes received.",
	}, []string{"message"})
	o.overhead = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "pollenfront_task_overhead_seconds",
		Help:    "Time of a task between owner and agent beyond its run time.",
		Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
	})
	jobs := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pollenfront_jobs_in_flight", Help: "Jobs of this entry without an answer.",
	}, func() float64 { return float64(o.Busy()) })
	registry.MustRegister(o.messages, o.overhead, jobs, &countsCollector{owner: o})
}

// ViewChanged passes a newer view to the dispatcher.
func (o *Owner) ViewChanged(v *view.View) {
	o.Step(dispatch.ViewChanged{View: v})
}
