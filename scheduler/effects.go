package scheduler

import (
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/interference"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Effects are what the driver has to do after an event.
type Effects struct {
	// CanceledJobs are the jobs of which has become known that they were canceled by an entry
	// that had them.
	CanceledJobs []pollenfront.JobRef
	// Commands are the messages to send to agents, by the agent's name. The
	// driver calls MarkSent for each one that it sends.
	Commands map[string]*tasklink.Commands
	// InvalidReports lists the reports of agents in which invalid numbers were replaced.
	InvalidReports []InvalidReport
	// InvalidShares lists the invalid shares that agents have stated.
	InvalidShares []InvalidShare
	// InterferenceChanges are the pairs of routes that were found to slow each other down,
	// or no longer, to log.
	InterferenceChanges []interference.Change
	// InvalidEstimates are the messages with invalid estimates of interference.
	InvalidEstimates []InvalidEstimates
	// LateRuns are the runs of which agents tell although they were taken for over, to log.
	LateRuns []LateRun
	// Placements are the placements to log.
	Placements []Placement
	// Results are the answers to give to callers. Each submission gets one, unless
	// its caller leaves before.
	Results []pollenfront.Result
	// SilentRuns are the runs that were taken for ended because their agent was silent, to log.
	SilentRuns []SilentRun
	// Withholdings are the attempts that were withheld from failing servers, to log.
	Withholdings []Withholding
}

// A Placement describes tasks of a job that were sent to a server, and the state of
// the server by which it was chosen.
type Placement struct {
	Agent string
	// FreeCPU is the CPU, in thousandths of a core, that stays free on the server
	// after the placement, as far as known. It can be negative.
	FreeCPU int
	Job     string
	// MaxRunNumber is the highest run number among the tasks.
	MaxRunNumber int
	// ReportAge is the age of the agent's latest report.
	ReportAge time.Duration
	// Reruns are the tasks of which an earlier run was sent.
	Reruns []Rerun
	// Slowness is the server's slowness according to that report.
	Slowness float64
	Tasks    int
	// Waited is the time since the job arrived.
	Waited time.Duration
}

// A LateRun is a run of which an agent tells although the scheduler does not wait for it any more,
// since it was taken for over before.
type LateRun struct {
	Agent string
	// End is how the run has ended. Its Ending is empty if the run goes on.
	End tasklink.RunEnd
}

// A SilentRun is a run that is taken for ended because its agent was silent for longer than
// AgentLossTimeout, by which time its lease has expired.
type SilentRun struct {
	Agent pollenfront.AgentRef
	Run   pollenfront.RunID
	// SentAge is the time since the start command was sent.
	SentAge time.Duration
	// UpdateAge is the time since the newest update of the agent.
	UpdateAge time.Duration
}

// addResult appends a result.
func (e *Effects) addResult(result pollenfront.Result) {
	e.Results = append(e.Results, result)
}

// commandsFor returns the commands in e for an agent, and creates them if there are
// none yet.
func (e *Effects) commandsFor(s *Scheduler, a *agent) *tasklink.Commands {
	commands, ok := e.Commands[a.Name]
	if !ok {
		if e.Commands == nil {
			e.Commands = make(map[string]*tasklink.Commands)
		}
		commands = &tasklink.Commands{AgentCount: s.agentCounts[a.service], DisabledZones: s.disabledZones, EchoedClock: a.echo}
		commands.Demand, commands.Overloaded = s.statedDemand(a), s.overloadedEntry()
		commands.Crashes, a.crashCursor = s.crashes.Since(s.lastEvent, a.crashCursor, a.Name)
		commands.Cancellations, a.cancelCursor = s.cancellations.Since(s.lastEvent, a.cancelCursor, a.Name)
		commands.CancellationSeqNum = a.cancelCursor
		e.Commands[a.Name] = commands
	}
	return commands
}

// MarkSent records that commands were sent to the agent with the given name. Tick
// then adds no commands just to keep the link alive until the agent's interval for
// commands has passed.
func (s *Scheduler) MarkSent(now time.Duration, name string) {
	if a, ok := s.agents[name]; ok {
		a.lastSent = now
	}
}
