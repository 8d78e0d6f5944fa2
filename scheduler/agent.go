package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// An agent is an agent that has linked to this entry.
type agent struct {
	pollenfront.AgentRef

	echo       int64 // Its clock in the newest update.
	lastUpdate time.Duration
	primary    bool // Whether this entry is its home.
	linked     bool
	lastSeqNum uint64 // Of the last start order.
	report     tasklink.Report
	lastSent   time.Duration
	service    string
	tasks      map[pollenfront.RunID]*task
	unreported []unreportedStart // Not reckoned with in the report.
	zone       string
}

// An unreportedStart is a start order that the agent has not reported on.
type unreportedStart struct {
	need   pollenfront.Resources
	seqNum uint64
}

// LinkAgent notes that an agent has linked, and compares the runs that it knows
// with those that were ordered.
func (s *Scheduler) LinkAgent(now time.Duration, hello *tasklink.Hello) *Effects {
	fx := &Effects{}
	s.detectSuspension(now, fx)
	a, ok := s.agents[hello.Name]
	if !ok {
		a = &agent{AgentRef: pollenfront.AgentRef{Name: hello.Name}, tasks: make(map[pollenfront.RunID]*task)}
		s.agents[hello.Name] = a
		s.sortedAgents = append(s.sortedAgents, a)
		slices.SortFunc(s.sortedAgents, func(a, b *agent) int { return cmp.Compare(a.Name, b.Name) })
	}
	a.AgentRef = pollenfront.AgentRef{Incarnation: hello.Incarnation, Name: hello.Name}
	a.echo, a.lastUpdate, a.linked, a.lastSeqNum, a.unreported = 0, now, true, 0, nil
	a.service, a.zone, a.report = hello.Service, hello.Zone, tasklink.Report{}
	a.primary = s.isPrimary(a)
	known := make(map[pollenfront.RunID]tasklink.RunState, len(hello.Runs))
	for _, r := range hello.Runs {
		known[r.Run] = r
	}
	for _, t := range a.sortedTasks() {
		switch r, ok := known[t.run]; {
		case !ok && a.mayHaveStarted(t):
			s.handleRunEnd(now, t, tasklink.RunEnd{Ending: pollenfront.EndingLost}, fx)
		case !ok:
			s.handleRunEnd(now, t, tasklink.RunEnd{Ending: pollenfront.EndingNotStarted}, fx)
		case r.Ending != "":
			s.handleRunEnd(now, t, tasklink.RunEnd{Ending: r.Ending}, fx)
		case t.stopRequested:
			s.stop(t, fx)
		}
	}
	s.place(now, fx)
	return fx
}

// mayHaveStarted reports whether a task that the agent does not know may have
// started: in an earlier incarnation of the agent, which has ended all runs.
func (a *agent) mayHaveStarted(t *task) bool {
	return t.agentIncarnation != a.Incarnation
}

// UnlinkAgent notes that the link to an agent is lost.
func (s *Scheduler) UnlinkAgent(name string, incarnation uint64) {
	if a, ok := s.agents[name]; ok && a.Incarnation == incarnation {
		a.linked = false
	}
}

// HandleUpdate takes an update from an agent.
func (s *Scheduler) HandleUpdate(now time.Duration, name string, u *tasklink.Update) *Effects {
	fx := &Effects{}
	s.detectSuspension(now, fx)
	a, ok := s.agents[name]
	if !ok || !a.linked {
		return fx
	}
	a.echo, a.lastUpdate, a.report = u.Clock, now, u.Report
	for len(a.unreported) > 0 && a.unreported[0].seqNum <= u.LastSeqNum {
		a.unreported = a.unreported[1:]
	}
	if u.Report.DisabledZones.Version > s.disabledZones.Version {
		s.disabledZones = u.Report.DisabledZones
	}
	for i := range u.RunEnds {
		end := &u.RunEnds[i]
		if t, ok := a.tasks[end.Run]; ok {
			s.handleRunEnd(now, t, *end, fx)
		}
	}
	s.place(now, fx)
	return fx
}

// tickAgent gives up the runs of an agent that was silent for too long.
func (s *Scheduler) tickAgent(now time.Duration, a *agent, fx *Effects) {
	if now-a.lastUpdate <= AgentLossTimeout {
		return
	}
	for _, t := range a.sortedTasks() {
		s.handleRunEnd(now, t, tasklink.RunEnd{Ending: pollenfront.EndingLost}, fx)
	}
	if !a.linked {
		delete(s.agents, a.Name)
		s.sortedAgents = slices.DeleteFunc(s.sortedAgents, func(o *agent) bool { return o == a })
	}
}

// sortedTasks returns the tasks that are with an agent in the order in which they
// were sent.
func (a *agent) sortedTasks() []*task {
	return slices.SortedFunc(maps.Values(a.tasks), func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.job.seqNum, b.job.seqNum), cmp.Compare(a.run.Index, b.run.Index))
	})
}

// SilentAgents returns the agents whose links must be closed, since they were silent
// for so long that their runs were given up.
func (s *Scheduler) SilentAgents(now time.Duration) []pollenfront.AgentRef {
	var silent []pollenfront.AgentRef
	for _, a := range s.sortedAgents {
		if a.linked && now-a.lastUpdate > AgentLossTimeout {
			silent = append(silent, a.AgentRef)
		}
	}
	return silent
}

// usable reports whether an agent may be sent tasks.
func (s *Scheduler) usable(now time.Duration, a *agent) bool {
	if !a.linked || a.report.State != tasklink.StateReady || now-a.lastUpdate > AgentSuspectTimeout {
		return false
	}
	return !slices.Contains(s.disabledZones.Zones, a.zone)
}

// UsableAgents returns the number of agents that may be sent tasks.
func (s *Scheduler) UsableAgents(now time.Duration) int {
	n := 0
	for _, a := range s.sortedAgents {
		if s.usable(now, a) {
			n++
		}
	}
	return n
}
