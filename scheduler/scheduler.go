// Package scheduler is the state machine of an entry. It admits jobs, orders
// the queue, places tasks on backend servers and decides when and how each job
// is answered. It has no goroutines, sockets or clock: its driver passes events
// to it and carries out the effects that it returns.
//
// The events are a submission, a caller that leaves, a cancellation, a list of disabled zones, a
// list of entries, a link to an agent that opens or closes, an update from an
// agent, and a tick. The effects are commands to agents, results for callers, and
// the reasons of placements for the log.
//
// A job belongs to the entry that accepted it, for as long as its caller waits.
// Unless it may run at most once, its tasks may run again from the start, here or
// at another entry. A task is sent again only after all its earlier runs have
// ended, so the entry never commands two runs of a task at the same time.
//
// The following rules decide:
//
//   - A job is refused if it is infeasible, as no known server could ever run it,
//     or if the jobs ahead of it in the queue would make it start too late, whether
//     these were there when it arrived or were put ahead of it later. Both rules are
//     off during the warm-up after a start or a suspension.
//   - A job is overdue once its latest start has passed without a task being sent. It
//     is then refused, unless it can be placed at once when all jobs that are not
//     overdue have been placed. During the warm-up it waits until an answer would be of
//     no use.
//   - VerdictRefused is only given to a job of which nothing was sent, or whose
//     agents have confirmed that nothing was started.
//   - The queue is ordered by latest start. All waiting tasks of a job are sent
//     at once, or none. A job that has to wait does not block the ones behind it.
//   - For each task, the Chooser compares the servers by expected time to finish
//     and by penalties, such as for failed runs or for another primary entry.
//     Servers that are unavailable, draining, suspect or in a disabled zone get no
//     tasks.
//   - A task that failed, was stopped or was lost is placed again, unless its job
//     may run at most once: that job is canceled. A job fails when a task has failed
//     as often as its route allows.
//   - A task is not sent again to a server on which it failed, nor its last attempt to a
//     server that fails more than the others, while waiting for another one is worth more.
//     The resources of runs that failed on such a server stay taken for a while, so that it
//     does not get more tasks for failing them early.
//   - A task under which too many processes have crashed is not started again, here or
//     after another submission, and its job fails. The entries and agents tell each
//     other of crashes. A task under which one has crashed runs apart from others of
//     its kind where possible, so that they are not taken along twice.
//   - A job that may have crashed a server is started again only while no other server
//     crashes. A route whose jobs crash servers again and again is confined to a few
//     servers, which other jobs avoid.
//   - A job that a caller has canceled, at this entry or at another one, is answered at once
//     and its runs are stopped. It is not started if it arrives, again or for the first
//     time, while the cancellation is remembered.
//   - The first run of a task that may have started is stopped, and the task placed
//     again, if it takes much longer than expected and the answer can still be of use
//     after another run. Tasks of jobs that may run at most once are not stopped for this.
//   - The runs on a server count as lost when its agent has been silent for
//     AgentLossTimeout.
//   - All jobs are aborted after a suspension of the process, since their callers
//     have switched to other entries.
//   - Refused callers get Retry-After times that are spread, so that they do not
//     all retry at the same time after an outage.
//
// These rules serve these load patterns: bursts of small and of large jobs, the
// loss of a whole zone's capacity, slow, failing and hung servers, many callers
// that leave at once, and infeasible jobs.
//
// # Usage
//
// All times are those of one clock that also counts while the machine is
// suspended:
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
	"github.com/pollenfront/pollenfront/attempts"
	"github.com/pollenfront/pollenfront/cancellog"
	"github.com/pollenfront/pollenfront/crashlog"
	"github.com/pollenfront/pollenfront/placement"
	"github.com/pollenfront/pollenfront/tasklink"
	"github.com/pollenfront/pollenfront/tokenlog"
)

// Parameters of the scheduler.
const (
	// AgentLossTimeout is the time without updates from an agent after which no
	// run of this entry is left on its server: by then the agent has stopped
	// the runs, or the server's lease has expired.
	AgentLossTimeout = 1300 * time.Millisecond
	// AgentSuspectTimeout is the time without updates from an agent after which
	// it is suspect and gets no tasks.
	AgentSuspectTimeout = 350 * time.Millisecond
	// CommandsInterval is the longest time between two Commands messages to an
	// agent that has runs of this entry. The agent stops them if the entry is silent.
	CommandsInterval = 120 * time.Millisecond
	// IdleCommandsInterval replaces CommandsInterval for agents without such runs. It
	// only keeps the link alive.
	IdleCommandsInterval = 500 * time.Millisecond
	// TickInterval is the time between two calls of Tick.
	TickInterval = 40 * time.Millisecond

	// warmUpPeriod is the time after a start within which all agents link and
	// send their first updates. Until then jobs are not refused as infeasible or
	// because of the queue, since servers may exist that are not known yet. They
	// stay queued instead as long as an answer may be of use.
	warmUpPeriod = 2 * time.Second

	// suspensionLimit is the time between two events above which the process is
	// considered to have been suspended, and its callers to have switched to
	// other entries.
	suspensionLimit = 1100 * time.Millisecond
)

// A Scheduler holds the jobs of an entry, and the agents that have linked to it.
type Scheduler struct {
	// agentCounts holds the number of linked agents by service.
	agentCounts map[string]int
	agents      map[string]*agent
	// assessedAt is when the health of the servers was last estimated, or zero.
	assessedAt time.Duration
	// cancellations are the cancellations of jobs that the entry knows of.
	cancellations *cancellog.Log
	chooser       pollenfront.Chooser
	// confinements holds the confined routes by name.
	confinements map[string]confinement
	corrector    estimateCorrector
	// crashes are the crashes of processes that the entry knows of.
	crashes *crashlog.Log
	// demand is what the unfinished jobs want, or nil if the entry states none and uses
	// equal shares.
	demand *demandState
	// disabledZones is the newest list received from operators or agents.
	disabledZones tasklink.DisabledZones
	// eligible has, for each element of evaluated, the index of its candidate. Both
	// slices are only used within a call of choose, and kept to reuse their memory.
	eligible []int
	// entries are the registered entries, including this one.
	entries []pollenfront.EntryRecord
	// evaluated are the servers among which chooser chooses.
	evaluated []pollenfront.ServerCandidate
	// evidence is what was seen of failures, by service.
	evidence map[string]*attempts.Evidence
	// fair is nil unless fair shares are enabled.
	fair *fairShares
	// interference is what the entry knows of routes that slow each other down. It is nil if
	// the setting is off.
	interference *interferenceState
	jobs         map[string]*job
	// lastEvent is the time of the latest call of detectSuspension, or zero before
	// the first one.
	lastEvent time.Duration
	name      string
	// queue holds the jobs that have tasks to place, sorted by latest start.
	queue []*job
	// remoteFactor multiplies the run time of a task on a server that is not
	// near its job's data.
	remoteFactor float64
	// retrySpreaders are the spreaders by service.
	retrySpreaders map[string]*retrySpreader
	// runNumbers holds the run numbers of jobs that have ended.
	runNumbers runNumbers
	// sortedAgents are all agents, sorted by name.
	sortedAgents []*agent
	// tokens are the fencing tokens that agents have told of.
	tokens *tokenlog.Log
	// submitCount is the number of submissions, which numbers the jobs.
	submitCount uint64
	// trial is the ID of the job that runs again although it may have crashed a server,
	// or empty.
	trial string
	// trialStarted is when the newest trial started.
	trialStarted time.Duration
	// unplaceable are the jobs for which no server has free resources in the
	// current call of place.
	unplaceable []*job
	// warmUpStart is the time at which the entry started, or resumed from its last
	// suspension.
	warmUpStart time.Duration
	// withheld are the withholdings of the current call of place.
	withheld []Withholding
	zone     string
}

// An Option sets up a Scheduler.
type Option func(s *Scheduler)

// WithChooser sets the Chooser that selects a server for each task. The default
// is placement.EarliestFinish.
func WithChooser(c pollenfront.Chooser) Option {
	return func(s *Scheduler) { s.chooser = c }
}

// New returns a Scheduler for the entry with the given name and zone. now is the
// start of the warm-up.
func New(now time.Duration, name, zone string, options ...Option) *Scheduler {
	s := &Scheduler{
		agentCounts: make(map[string]int), agents: make(map[string]*agent), cancellations: cancellog.New(), chooser: placement.EarliestFinish{},
		confinements: make(map[string]confinement), corrector: make(estimateCorrector),
		crashes: crashlog.New(), evidence: make(map[string]*attempts.Evidence), jobs: make(map[string]*job), name: name, remoteFactor: 1,
		retrySpreaders: make(map[string]*retrySpreader), runNumbers: make(runNumbers), tokens: tokenlog.New(), warmUpStart: now, zone: zone,
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// SetRemoteFactor sets the factor by which a task takes longer on a server that
// is not near its job's data. Values below 1 count as 1.
func (s *Scheduler) SetRemoteFactor(factor float64) {
	s.remoteFactor = max(1, factor)
}

// JobCount returns the number of jobs that have not ended.
func (s *Scheduler) JobCount() int {
	return len(s.jobs)
}

// PendingJobs returns the number of jobs on a route of which no task has been
// sent to a server.
func (s *Scheduler) PendingJobs(route string) int {
	n := 0
	for _, j := range s.jobs {
		if j.Route.Name == route && !j.sentAny {
			n++
		}
	}
	return n
}

// Submit handles the submission of a job. If a job with the same ID has not ended,
// the result is VerdictUnknown with ReasonEarlierRunsEnding.
func (s *Scheduler) Submit(now time.Duration, sub pollenfront.Submission) *Effects {
	effects := &Effects{}
	s.detectSuspension(now, effects)
	if s.answerIfCanceled(now, &sub, effects) {
		return effects
	}
	if _, ok := s.jobs[sub.ID]; ok {
		effects.addResult(pollenfront.Result{ID: sub.ID, Reason: pollenfront.ReasonEarlierRunsEnding, Verdict: pollenfront.VerdictUnknown})
		return effects
	}
	j := newJob(now, sub, s.corrector.correct(sub.Route.Name, sub.Estimate))
	s.runNumbers.apply(j)
	if s.answerForCrashes(now, j, effects) {
		return effects
	}
	s.submitCount++
	j.seqNum = s.submitCount
	s.jobs[sub.ID] = j
	if reason := s.infeasibleReason(j); reason != "" && !s.warmingUp(now) {
		s.refuse(now, j, reason, "", effects)
		return effects
	}
	s.accountArrival(now, j)
	s.enqueue(j)
	s.place(now, effects)
	s.admit(now, j, effects)
	return effects
}

// warmingUp reports whether the entry started, or resumed from a suspension, so
// recently that servers may exist that it does not know.
func (s *Scheduler) warmingUp(now time.Duration) bool {
	return now-s.warmUpStart < warmUpPeriod
}

// Cancel cancels jobs whose callers have left. They get no results. Cancel ignores jobs that
// have ended.
func (s *Scheduler) Cancel(now time.Duration, ids ...string) *Effects {
	effects := &Effects{}
	s.detectSuspension(now, effects)
	for _, id := range ids {
		if j, ok := s.jobs[id]; ok {
			j.answered = true
			s.accountLeft(now, j)
			s.cancelJob(now, j, pollenfront.ReasonCallerLeft, effects)
		}
	}
	s.place(now, effects)
	return effects
}

// SetDisabledZones records the list of disabled zones and sends it to all linked
// agents, if it is newer than the known one.
func (s *Scheduler) SetDisabledZones(zones tasklink.DisabledZones) *Effects {
	effects := &Effects{}
	if zones.Version > s.disabledZones.Version {
		s.disabledZones = zones
		for _, a := range s.sortedAgents {
			if a.linked {
				effects.commandsFor(s, a)
			}
		}
	}
	return effects
}

// DisabledZones returns the newest list of disabled zones, which may have come
// from SetDisabledZones or from an agent.
func (s *Scheduler) DisabledZones() tasklink.DisabledZones {
	return s.disabledZones
}

// Tick handles everything that depends on the time: silent agents, jobs past
// their deadlines, slow runs, placement, and commands that keep links alive. The
// driver calls it every TickInterval.
func (s *Scheduler) Tick(now time.Duration) *Effects {
	effects := &Effects{}
	s.detectSuspension(now, effects)
	s.cancellations.Expire(now)
	s.crashes.Expire(now)
	s.runNumbers.expire(now)
	s.tokens.Expire(now)
	s.expireConfinements(now)
	s.interference.tick(s, now, effects)
	for _, a := range slices.Clone(s.sortedAgents) {
		s.tickAgent(now, a, effects)
	}
	s.recordCapacity(now)
	for _, j := range s.sortedJobs() {
		s.tickJob(now, j, effects)
	}
	s.place(now, effects)
	s.sendCancellations(effects)
	for _, a := range s.sortedAgents {
		if a.linked && now-a.lastSent >= a.commandsInterval() {
			effects.commandsFor(s, a)
		}
	}
	return effects
}

// sortedJobs returns the jobs in the order of their submission.
func (s *Scheduler) sortedJobs() []*job {
	return slices.SortedFunc(maps.Values(s.jobs), func(a, b *job) int { return cmp.Compare(a.seqNum, b.seqNum) })
}
