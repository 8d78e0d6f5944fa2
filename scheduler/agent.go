package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/attempts"
	"github.com/pollenfront/pollenfront/fencing"
	"github.com/pollenfront/pollenfront/tasklink"
)

// An agent is the state of an agent that has linked to this entry.
type agent struct {
	pollenfront.AgentRef

	// cancelCursor is the position up to which the agent was told of cancellations on its
	// current link, and confirmedCancellations the one up to which it has received them.
	cancelCursor, confirmedCancellations uint64
	// confined is set if the jobs of confined routes may run on the agent's server.
	confined bool
	// crashCursor is the position up to which the agent was told of crashes on its
	// current link.
	crashCursor uint64
	// echo is the agent's clock in its newest update. Commands return it, so
	// that the agent can tell how old they are.
	echo int64
	// health is the newest estimate for the server.
	health attempts.Health
	// holds are the resources of runs that have failed on the server.
	holds []hold
	// invalidReport is set if the agent has sent an invalid report on its current link.
	invalidReport bool
	// invalidShare is set if the agent has stated an invalid share.
	invalidShare bool
	// lastSent is the time at which commands were last sent to the agent.
	lastSent time.Duration
	// lastSeqNum is the sequence number of the task that was last sent on this link.
	lastSeqNum uint64
	// lastUpdate is the time at which the newest hello or update was received.
	lastUpdate time.Duration
	linked     bool
	// primary is set if this entry is the primary entry of the agent's server.
	primary bool
	report  tasklink.Report
	service string
	// share is this entry's share of the CPU of the agent's server, in thousandths of a
	// core, or zero if none was stated or it is not used.
	share int
	// tasks are the tasks that were sent to the agent and whose runs have not
	// ended.
	tasks map[pollenfront.RunID]*task
	// suspects is the number of tasks that were suspect when they were sent.
	suspects int
	// unreported are the unreported starts, sorted by sequence number.
	unreported []unreportedStart
	zone       string
}

// An unreportedStart is a start command for one task that the agent's latest report
// does not cover yet. Its need is subtracted from the free resources in the report.
type unreportedStart struct {
	need   pollenfront.Resources
	seqNum uint64
}

// LinkAgent handles a new link from an agent. It compares the runs that the agent
// knows with those that were sent to it: a run that the agent does not know never
// reached it, or was lost with an earlier incarnation of the agent. Stop commands
// for runs that have not ended are sent again, and runs that were given up are stopped.
func (s *Scheduler) LinkAgent(now time.Duration, hello *tasklink.Hello) *Effects {
	effects := &Effects{}
	s.detectSuspension(now, effects)
	a, ok := s.agents[hello.Name]
	if !ok {
		a = &agent{AgentRef: pollenfront.AgentRef{Name: hello.Name}, tasks: make(map[pollenfront.RunID]*task)}
		s.agents[hello.Name] = a
		s.sortedAgents = append(s.sortedAgents, a)
		slices.SortFunc(s.sortedAgents, func(a, b *agent) int { return cmp.Compare(a.Name, b.Name) })
	}
	a.AgentRef = pollenfront.AgentRef{Incarnation: hello.Incarnation, Name: hello.Name}
	a.crashCursor, a.echo, a.lastUpdate, a.linked, a.lastSeqNum, a.unreported = 0, 0, now, true, 0, nil
	a.service, a.zone, a.report, a.invalidReport = hello.Service, hello.Zone, tasklink.Report{}, false
	a.share, a.cancelCursor, a.confirmedCancellations = 0, 0, 0
	s.countAgents()
	s.interference.recordLink(a)
	a.primary = s.isPrimary(a)
	for _, c := range hello.Cancellations { // Before the ends of runs, which must not be placed again.
		s.recordCancellation(now, c, a.Name, effects)
	}
	known := make(map[pollenfront.RunID]tasklink.RunState, len(hello.Runs))
	for _, r := range hello.Runs {
		known[r.Run] = r
	}
	s.recordAgentRestart(now, a, known, effects)
	for _, t := range a.sortedTasks() {
		switch r, ok := known[t.run]; {
		case !ok && a.mayHaveStarted(t):
			s.handleRunEnd(now, t, tasklink.RunEnd{Ending: pollenfront.EndingLost, Evidence: tasklink.AgentRestarted}, effects)
		case !ok:
			s.handleRunEnd(now, t, tasklink.RunEnd{Ending: pollenfront.EndingNotStarted, Evidence: tasklink.NotInHello}, effects)
		case r.Ending != "":
			s.handleRunEnd(now, t, tasklink.RunEnd{Ending: r.Ending, Evidence: r.Evidence, EvidenceAge: r.EvidenceAge}, effects)
		case t.stopRequested:
			s.stop(t, effects)
		}
	}
	s.stopOrphans(a, hello, effects)
	s.exchangeTokens(now, a, hello.Token, effects)
	s.place(now, effects)
	return effects
}

// exchangeTokens records the fencing tokens of an agent that has linked, and tells it of those of
// its former incarnations unless all of its own are above them.
func (s *Scheduler) exchangeTokens(now time.Duration, a *agent, token uint64, effects *Effects) {
	s.tokens.Record(now, a.AgentRef, token)
	if floor := s.tokens.Floor(a.AgentRef); floor > 0 && token < floor+fencing.BlockSize {
		effects.commandsFor(s, a).TokenFloor = floor
	}
}

// stopOrphans stops the runs in an agent's hello that the entry does not wait for any more,
// since it counted them as lost. They would go on as long as the entry keeps the link alive.
func (s *Scheduler) stopOrphans(a *agent, hello *tasklink.Hello, effects *Effects) {
	for _, r := range hello.Runs {
		if _, ok := a.tasks[r.Run]; !ok && r.Ending == "" {
			commands := effects.commandsFor(s, a)
			commands.Stops = append(commands.Stops, r.Run)
			effects.LateRuns = append(effects.LateRuns, LateRun{Agent: a.Name, End: tasklink.RunEnd{Run: r.Run}})
		}
	}
}

// mayHaveStarted reports whether a sent task that the agent does not know may have
// started. This is the case if it was sent to an earlier incarnation of the agent.
// All runs of that incarnation have ended.
func (a *agent) mayHaveStarted(t *task) bool {
	return t.agentIncarnation != a.Incarnation
}

// UnlinkAgent records that the link to an incarnation of an agent is closed. The
// agent's runs are kept until it links again or AgentLossTimeout has passed.
func (s *Scheduler) UnlinkAgent(name string, incarnation uint64) {
	if a, ok := s.agents[name]; ok && a.Incarnation == incarnation {
		a.linked = false
		s.countAgents()
	}
}

// countAgents updates what depends on the number of linked agents.
func (s *Scheduler) countAgents() {
	clear(s.agentCounts)
	for _, a := range s.sortedAgents {
		if a.linked {
			s.agentCounts[a.service]++
		}
	}
	s.selectConfined()
}

// commandsInterval returns the longest time between two Commands messages to the agent.
func (a *agent) commandsInterval() time.Duration {
	if len(a.tasks) > 0 {
		return CommandsInterval
	}
	return IdleCommandsInterval
}

// HandleUpdate handles an update from an agent. It ignores updates of agents
// that are not linked.
func (s *Scheduler) HandleUpdate(now time.Duration, name string, update *tasklink.Update) *Effects {
	effects := &Effects{}
	s.detectSuspension(now, effects)
	a, ok := s.agents[name]
	if !ok || !a.linked {
		return effects
	}
	unchanged := s.usable(now, a) && sameRoom(&a.report, &update.Report) && len(update.RunEnds) == 0
	a.echo, a.lastUpdate = update.Clock, now
	s.tokens.Record(now, a.AgentRef, update.Token)
	a.recordReport(update.Report, effects)
	s.recordShare(a, effects)
	s.interference.recordUpdate(now, a, update, effects)
	for len(a.unreported) > 0 && a.unreported[0].seqNum <= update.LastSeqNum {
		a.unreported = a.unreported[1:]
		unchanged = false
	}
	if update.Report.DisabledZones.Version > s.disabledZones.Version {
		s.disabledZones = update.Report.DisabledZones
	}
	a.confirmedCancellations = min(update.CancellationSeqNum, a.cancelCursor)
	for _, c := range update.Cancellations { // Before the ends of runs, which must not be placed again.
		s.recordCancellation(now, c, name, effects)
		unchanged = false
	}
	for _, crash := range update.Crashes {
		s.recordCrash(now, crash, name, effects)
		unchanged = false
	}
	for _, run := range update.Withheld {
		s.handleWithheld(now, a, run, effects)
		unchanged = false
	}
	for i := range update.RunEnds {
		end := &update.RunEnds[i]
		t, ok := a.tasks[end.Run]
		switch {
		case ok:
			s.handleRunEnd(now, t, *end, effects)
		case end.Ending != pollenfront.EndingNotStarted:
			effects.LateRuns = append(effects.LateRuns, LateRun{Agent: name, End: *end})
		}
	}
	if !unchanged {
		s.place(now, effects)
	}
	return effects
}

// sameRoom reports whether two reports of an agent are the same for placement. An update
// that changes nothing need not cause a pass over the queue, as the next tick does.
func sameRoom(a, b *tasklink.Report) bool {
	return a.State == b.State && a.Capacity == b.Capacity && a.EffectiveCapacity == b.EffectiveCapacity && a.Free == b.Free && a.Slowness == b.Slowness && a.FailRate == b.FailRate &&
		slices.Equal(a.Waits, b.Waits)
}

// tickAgent handles an agent that has been silent for longer than
// AgentLossTimeout: its runs end as lost, and it is removed if it is not linked.
func (s *Scheduler) tickAgent(now time.Duration, a *agent, effects *Effects) {
	if now-a.lastUpdate <= AgentLossTimeout {
		return
	}
	lost := a.sortedTasks()
	s.recordAgentLoss(now, a.Name, a.Incarnation, lost, effects)
	for _, t := range lost {
		effects.SilentRuns = append(effects.SilentRuns, SilentRun{
			Agent: pollenfront.AgentRef{Incarnation: t.agentIncarnation, Name: a.Name}, Run: t.run, SentAge: now - t.sentAt, UpdateAge: now - a.lastUpdate,
		})
		end := tasklink.RunEnd{Ending: pollenfront.EndingLost, Evidence: tasklink.AgentSilent, EvidenceAge: now - a.lastUpdate}
		s.handleRunEnd(now, t, end, effects)
	}
	if !a.linked {
		delete(s.agents, a.Name)
		s.sortedAgents = slices.DeleteFunc(s.sortedAgents, func(o *agent) bool { return o == a })
	}
}

// sortedTasks returns the tasks whose runs on the agent have not ended, in the order
// in which they were sent.
func (a *agent) sortedTasks() []*task {
	return slices.SortedFunc(maps.Values(a.tasks), func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.job.seqNum, b.job.seqNum), cmp.Compare(a.run.Index, b.run.Index))
	})
}

// SilentAgents returns the linked agents that have been silent for longer than
// AgentLossTimeout. The driver closes their links; their runs count as lost.
func (s *Scheduler) SilentAgents(now time.Duration) []pollenfront.AgentRef {
	var silent []pollenfront.AgentRef
	for _, a := range s.sortedAgents {
		if a.linked && now-a.lastUpdate > AgentLossTimeout {
			silent = append(silent, a.AgentRef)
		}
	}
	return silent
}

// usable reports whether tasks may be sent to an agent: it is linked, ready, not
// suspect and not in a disabled zone.
func (s *Scheduler) usable(now time.Duration, a *agent) bool {
	if !a.linked || a.report.State != tasklink.StateReady || now-a.lastUpdate > AgentSuspectTimeout {
		return false
	}
	return !slices.Contains(s.disabledZones.Zones, a.zone)
}

// UsableAgents returns the number of agents to which tasks may be sent.
func (s *Scheduler) UsableAgents(now time.Duration) int {
	n := 0
	for _, a := range s.sortedAgents {
		if s.usable(now, a) {
			n++
		}
	}
	return n
}
