package scheduler

import (
	"time"

	"github.com/pollenfront/pollenfront/tasklink"
)

// A Dump is the state of a Scheduler in a form for operators to read.
type Dump struct {
	Agents []AgentDump `json:"agents"`
	// ConfinedRoutes are the names of the routes that are confined to few servers.
	ConfinedRoutes []string `json:"confined-routes"`
	// Crashes is the number of crashes of processes that the entry knows of.
	Crashes int `json:"crashes"`
	// EntryCount is the number of entries that share the servers.
	EntryCount int `json:"entries"`
	// Interference is nil if the setting is off.
	Interference  *InterferenceDump      `json:"interference,omitempty"`
	Jobs          []JobDump              `json:"jobs"`
	DisabledZones tasklink.DisabledZones `json:"notice"`
}

// An AgentDump is the state of an agent as a scheduler knows it.
type AgentDump struct {
	// Demand is the demand for the server, in thousandths of a core. It is zero unless
	// the entry states its demand.
	Demand int `json:"demand"`
	// LastUpdate is the time since the newest hello or update, as a
	// time.Duration in text.
	LastUpdate string `json:"heard"`
	// Primary is set if the entry is the primary entry of the agent's server.
	Primary bool            `json:"home"`
	Linked  bool            `json:"linked"`
	Name    string          `json:"name"`
	Report  tasklink.Report `json:"report"`
	// Runs is the number of runs sent to the agent that have not ended.
	Runs int `json:"runs"`
	// Share is the share of the server that the entry counts on, in thousandths of a
	// core. It is zero if none was stated.
	Share int `json:"share"`
	// Usable is set if the entry may send tasks to the agent.
	Usable bool   `json:"usable"`
	Zone   string `json:"zone"`
}

// A JobDump is the state of a job that has not ended.
type JobDump struct {
	// Age is the time since the job arrived, as a time.Duration in text.
	Age string `json:"age"`
	// MayHaveStarted is set if a run of the job has ended that may have started.
	MayHaveStarted bool `json:"began"`
	// DoneCount is the number of tasks that have succeeded.
	DoneCount int `json:"done"`
	// Canceled is set if the job is canceled but some of its runs have not ended.
	Canceled bool   `json:"ending"`
	ID       string `json:"id"`
	Route    string `json:"route"`
	Tasks    int    `json:"tasks"`
	// ToPlace is the number of tasks that wait for a server.
	ToPlace int `json:"to-place"`
}

// Dump returns the state of the Scheduler. The jobs are in no particular order.
func (s *Scheduler) Dump(now time.Duration) Dump {
	d := Dump{ConfinedRoutes: s.ConfinedRoutes(), Crashes: s.crashes.Len(), DisabledZones: s.disabledZones, EntryCount: len(s.entries)}
	for _, a := range s.sortedAgents {
		d.Agents = append(d.Agents, AgentDump{
			Demand: int(s.statedDemand(a)), LastUpdate: (now - a.lastUpdate).String(), Linked: a.linked, Name: a.Name, Primary: a.primary, Report: a.report, Runs: len(a.tasks),
			Share: a.share, Usable: s.usable(now, a), Zone: a.zone,
		})
	}
	d.Interference = s.interference.dump(now)
	for _, j := range s.jobs {
		d.Jobs = append(d.Jobs, JobDump{
			Age: (now - j.arrived).String(), Canceled: j.canceled, DoneCount: j.doneCount, ID: j.ID, MayHaveStarted: j.mayHaveStarted,
			Route: j.Route.Name, Tasks: len(j.tasks), ToPlace: j.toPlace,
		})
	}
	return d
}
