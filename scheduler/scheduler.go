// Package scheduler is the entry's state machine: it admits jobs, decides in
// which order they wait, places their tasks on backend servers, takes tasks
// back from servers that are lost, and gives each job one answer.
//
// A job belongs to the entry that took it, for as long as its caller waits. It
// may run again from the start, here or elsewhere, once every earlier run has
// ended; two runs of a task at the same time are never ordered.
//
// It answers these load patterns: bursts of small jobs and of large ones, a
// zone's worth of room gone at once, slow, failing and hung servers, waves of
// callers that leave, and jobs that can't be done. Jobs wait in the order of
// the latest start with which they are in time. A job that can't be in time is
// refused as soon as that is known.
//
// # Usage
//
// The driver passes every message to a method and carries out the effects that
// it returns. All instants are those of one clock that counts suspensions:
//
//	effects := s.Submit(now, submission)
//	for _, result := range effects.Results { … }
//
// A Scheduler is not safe for concurrent use.
package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/placement"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Parameters of the scheduler.
const (
	// AgentLossTimeout is the silence of an agent after which none of this entry's
	// runs is left on its server: the agent has stopped them by then, or the
	// server's lease has lapsed.
	AgentLossTimeout = 1300 * time.Millisecond
	// AgentSuspectTimeout is the silence of an agent from which it gets no tasks.
	AgentSuspectTimeout = 350 * time.Millisecond
	// CommandsInterval is the longest time between two orders to an agent.
	CommandsInterval = 120 * time.Millisecond
	// TickInterval is the time between two Ticks.
	TickInterval = 40 * time.Millisecond

	// warmUpPeriod is the time in which an entry that has just started hears
	// from all servers. Jobs wait for them meanwhile, as long as they can.
	warmUpPeriod = 2 * time.Second

	// suspensionLimit is the time between two events from which this process
	// was suspended, and its callers have gone elsewhere.
	suspensionLimit = 1100 * time.Millisecond
)

// Effects are what the driver must do.
type Effects struct {
	Commands   map[string]*tasklink.Commands // By agent.
	Placements []Placement
	Results    []pollenfront.Result
}

// A Placement tells why some tasks of a job were sent to a server.
type Placement struct {
	Agent     string
	Free      int // Thousandths of a core that were free there, as far as known.
	Job       string
	ReportAge time.Duration // Age of what was known of the server.
	Run       int           // The highest number among the runs.
	Slowness  float64
	Tasks     int
	Waited    time.Duration // Since the job arrived.
}

// A Scheduler holds the jobs of an entry.
type Scheduler struct {
	agents         map[string]*agent
	chooser        pollenfront.Chooser
	eligible       []int                     // Of the candidates, those whose outlooks are weighed.
	entries        []pollenfront.EntryRecord // Those that share the servers, by name.
	corrector      estimateCorrector
	jobs           map[string]*job
	zone           string // Zone of this entry.
	name           string // Of this entry.
	disabledZones  tasklink.DisabledZones
	sortedAgents   []*agent // All agents, by name.
	evaluated      []pollenfront.ServerCandidate
	remoteFactor   float64                   // Multiple of the run time away from a job's data.
	retrySpreaders map[string]*retrySpreader // By service.
	unplaceable    []*job                    // In a placement pass, jobs for which no server has room.
	warmUpStart    time.Duration
	submitCount    uint64 // Counts the jobs.
	lastEvent      time.Duration
	queue          []*job // With tasks to be placed, the one with the earliest latest start first.
}

// An Option sets up a Scheduler.
type Option func(s *Scheduler)

// WithChooser lets a Scheduler choose servers in another way than by
// placement.EarliestFinish.
func WithChooser(c pollenfront.Chooser) Option {
	return func(s *Scheduler) { s.chooser = c }
}

// New returns the scheduler of the entry of a name in a zone that starts now.
func New(now time.Duration, name, zone string, options ...Option) *Scheduler {
	s := &Scheduler{
		agents: make(map[string]*agent), chooser: placement.EarliestFinish{}, corrector: make(estimateCorrector), jobs: make(map[string]*job),
		zone: zone, name: name, retrySpreaders: make(map[string]*retrySpreader),
		remoteFactor: 1, warmUpStart: now,
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// SetRemoteFactor sets the multiple of its run time that a task takes away from
// its job's data.
func (s *Scheduler) SetRemoteFactor(factor float64) {
	s.remoteFactor = max(1, factor)
}

// JobCount returns the number of jobs that have not ended.
func (s *Scheduler) JobCount() int {
	return len(s.jobs)
}

// PendingJobs returns the number of jobs of a route of which no task was sent.
func (s *Scheduler) PendingJobs(route string) int {
	n := 0
	for _, j := range s.jobs {
		if j.Route.Name == route && !j.sentAny {
			n++
		}
	}
	return n
}

// Submit takes a job.
func (s *Scheduler) Submit(now time.Duration, sub pollenfront.Submission) *Effects {
	fx := &Effects{}
	s.detectSuspension(now, fx)
	if _, ok := s.jobs[sub.ID]; ok {
		fx.addResult(pollenfront.Result{ID: sub.ID, Reason: pollenfront.ReasonEarlierRunsEnding, Verdict: pollenfront.VerdictUnknown})
		return fx
	}
	j := newJob(now, sub, s.corrector.correct(sub.Route.Name, sub.Estimate))
	s.submitCount++
	j.seqNum = s.submitCount
	s.jobs[sub.ID] = j
	if reason := s.infeasibleReason(j); reason != "" && !s.warmingUp(now) {
		s.refuse(now, j, reason, "", fx)
		return fx
	}
	s.enqueue(j)
	s.place(now, fx)
	s.admit(now, j, fx)
	return fx
}

// warmingUp reports whether the entry has started so lately that servers may
// exist of which it does not know.
func (s *Scheduler) warmingUp(now time.Duration) bool {
	return now-s.warmUpStart < warmUpPeriod
}

// Cancel gives up a job whose caller has left. There will be no answer.
func (s *Scheduler) Cancel(now time.Duration, id string) *Effects {
	fx := &Effects{}
	s.detectSuspension(now, fx)
	if j, ok := s.jobs[id]; ok {
		j.answered = true
		s.cancelJob(now, j, pollenfront.ReasonCallerLeft, fx)
		s.place(now, fx)
	}
	return fx
}

// SetDisabledZones takes a newer list of the zones that are out of service.
func (s *Scheduler) SetDisabledZones(n tasklink.DisabledZones) *Effects {
	fx := &Effects{}
	if n.Version > s.disabledZones.Version {
		s.disabledZones = n
		for _, a := range s.sortedAgents {
			if a.linked {
				fx.commandsFor(s, a)
			}
		}
	}
	return fx
}

// DisabledZones returns the newest list of the zones that are out of service.
func (s *Scheduler) DisabledZones() tasklink.DisabledZones {
	return s.disabledZones
}

// Tick ends what has run out of time and keeps the links alive.
func (s *Scheduler) Tick(now time.Duration) *Effects {
	fx := &Effects{}
	s.detectSuspension(now, fx)
	for _, a := range slices.Clone(s.sortedAgents) {
		s.tickAgent(now, a, fx)
	}
	s.recordCapacity(now)
	for _, j := range s.sortedJobs() {
		s.tickJob(now, j, fx)
	}
	s.place(now, fx)
	for _, a := range s.sortedAgents {
		if a.linked && now-a.lastSent >= CommandsInterval {
			fx.commandsFor(s, a)
		}
	}
	return fx
}

// detectSuspension notes that time has passed. After a suspension it gives up the jobs of
// before, whose callers have gone elsewhere. Every event comes here first.
func (s *Scheduler) detectSuspension(now time.Duration, fx *Effects) {
	if s.lastEvent > 0 && now-s.lastEvent > suspensionLimit {
		s.abortJobs(now, pollenfront.ReasonSuspended, fx)
		s.warmUpStart = now // What is known of the servers is as old as before a start.
	}
	s.lastEvent = now
}

// AbortAll gives up all jobs for a reason and answers them at once.
func (s *Scheduler) AbortAll(now time.Duration, reason pollenfront.Reason) *Effects {
	fx := &Effects{}
	s.abortJobs(now, reason, fx)
	return fx
}

// abortJobs gives up all jobs. Those of which nothing was sent are refused.
func (s *Scheduler) abortJobs(now time.Duration, reason pollenfront.Reason, fx *Effects) {
	for _, j := range s.sortedJobs() {
		if j.sentAny {
			j.answer(pollenfront.VerdictUnknown, reason, "", 0, fx)
		}
		s.cancelJob(now, j, reason, fx)
	}
}

// sortedJobs returns the jobs in the order in which they were submitted.
func (s *Scheduler) sortedJobs() []*job {
	return slices.SortedFunc(maps.Values(s.jobs), func(a, b *job) int { return cmp.Compare(a.seqNum, b.seqNum) })
}

// addResult adds an addResult.
func (fx *Effects) addResult(a pollenfront.Result) {
	fx.Results = append(fx.Results, a)
}

// commandsFor returns the commandsFor to an agent, to be filled in.
func (fx *Effects) commandsFor(s *Scheduler, a *agent) *tasklink.Commands {
	o, ok := fx.Commands[a.Name]
	if !ok {
		if fx.Commands == nil {
			fx.Commands = make(map[string]*tasklink.Commands)
		}
		o = &tasklink.Commands{DisabledZones: s.disabledZones, Echo: a.echo}
		fx.Commands[a.Name] = o
	}
	return o
}

// MarkSent notes that orders were sent to an agent.
func (s *Scheduler) MarkSent(now time.Duration, name string) {
	if a, ok := s.agents[name]; ok {
		a.lastSent = now
	}
}
