package scheduler

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/interference"
	"github.com/pollenfront/pollenfront/tasklink"
)

const (
	// evaluateInterval is the time between two evaluations of the evidence.
	evaluateInterval = time.Second
	// maxAddedTime limits the penalty for interference to less than that of a server that
	// fails.
	maxAddedTime = 8 * time.Second
	// maxRouteCount limits the number of runs of a route in a report.
	maxRouteCount = 1 << 16
)

// An interferenceState is what an entry knows of routes that slow each other down. It is
// nil, and its methods do nothing, if the setting is off.
type interferenceState struct {
	// added and agents have the added time and the name of the agent for each element of
	// Scheduler.evaluated.
	added         []time.Duration
	agents        []string
	chooser       pollenfront.Chooser
	demand        map[string]float64 // demand holds the mean number of runs on all known servers by route.
	demandUpdates int                // demandUpdates is the number of updates of demand.
	evaluatedAt   time.Duration      // evaluatedAt is when the evidence was last evaluated.
	incarnations  map[string]uint64
	mixes         map[string]*routeMix // mixes holds the runs on the servers, by the name of the agent.
	mode          pollenfront.InterferenceMode
	model         pollenfront.InterferenceModel
	needs         map[string]float64 // needs holds the mean CPU need of the tasks by route.
	pool          *interference.Pool
	route         string // route is that of the task for which servers are being evaluated.
}

// A routeMix is the runs on a server by route.
type routeMix struct {
	// lastSeqNum and tasks are those of the agent when loads was computed.
	lastSeqNum uint64
	loads      []pollenfront.RouteLoad
	// reported are the numbers of runs of configured routes in the newest report, from 0 to
	// maxRouteCount.
	reported []tasklink.RouteCount
	// expected are the numbers of runs by route that are expected on the server, as the
	// routes are kept apart.
	expected map[string]float64
	stale    bool // stale is set if there was a report since loads was computed.
	tasks    int
}

// An InvalidEstimates is a message of an agent with invalid estimates, which are ignored.
type InvalidEstimates struct {
	Agent string
	Count int
	Err   error // Err is the fault of the first of them.
}

// An InterferenceDump is the state of interference in a form for operators to read.
type InterferenceDump struct {
	Agents int           `json:"agents"`
	Mode   string        `json:"mode"`
	Pairs  []FindingDump `json:"pairs"`
}

// A FindingDump is a pair of routes of which one slows the other down.
type FindingDump struct {
	// Age is the time since the pair was found, as a time.Duration in text.
	Age      string  `json:"age"`
	Agents   int     `json:"agents"`
	Factor   float64 `json:"factor"`
	Neighbor string  `json:"neighbor"`
	Route    string  `json:"route"`
	Score    float64 `json:"score"`
}

// WithInterference makes the Scheduler collect the agents' estimates of interference in a
// pool, and place tasks by a model. It must come after WithChooser.
func WithInterference(mode pollenfront.InterferenceMode, pool *interference.Pool, model pollenfront.InterferenceModel) Option {
	return func(s *Scheduler) {
		if !mode.Enabled() {
			return
		}
		s.interference = &interferenceState{
			chooser: s.chooser, demand: make(map[string]float64), incarnations: make(map[string]uint64),
			mixes: make(map[string]*routeMix), mode: mode, model: model, needs: make(map[string]float64), pool: pool,
		}
		s.chooser = s.interference
	}
}

var _ pollenfront.Chooser = &interferenceState{}

// penalty returns the additional time that is expected if a task with an expected run time
// runs on a server: for the task, and for those that it would slow down. It records the time
// for Choose.
func (i *interferenceState) penalty(s *Scheduler, c *candidate, t *task, run time.Duration) time.Duration {
	if i == nil {
		return 0
	}
	expected := max(0, i.model.AddedTime(t.job.Route.Name, run, i.loads(s, c.agent))).Seconds()
	// The limit is approached, so that of two bad servers the better one is preferred.
	added := time.Duration(expected / (1 + expected/maxAddedTime.Seconds()) * float64(time.Second))
	i.added, i.agents = append(i.added[:len(s.evaluated)], added), append(i.agents[:len(s.evaluated)], c.Name)
	i.route = t.job.Route.Name
	i.recordNeed(i.route, t.job.Need.CPU)
	return added
}

// Choose implements pollenfront.Chooser. It asks the wrapped Chooser with and without the
// added times, and the model if the choices differ. A choice that would make the task wait or
// be late is not taken.
func (i *interferenceState) Choose(timing pollenfront.TaskTiming, servers []pollenfront.ServerCandidate) int {
	with := i.chooser.Choose(timing, servers)
	if !slices.ContainsFunc(i.added[:min(len(i.added), len(servers))], func(d time.Duration) bool { return d > 0 }) {
		return with
	}
	plain := slices.Clone(servers)
	for n := range plain {
		plain[n].Penalty -= i.added[n]
	}
	without := i.chooser.Choose(timing, plain)
	if with == without || without < 0 {
		return without
	}
	if with < 0 || servers[with].TimeToFinish > timing.UntilDue && servers[without].TimeToFinish <= timing.UntilDue {
		return without
	}
	decision := pollenfront.InterferenceDecision{
		Avoided: i.agents[without], AvoidedTime: i.added[without], Chosen: i.agents[with], ChosenTime: i.added[with], Route: i.route,
	}
	if i.model.Avoid(decision) {
		return with
	}
	return without
}
