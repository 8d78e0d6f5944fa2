package scheduler

import (
	"time"

	"github.com/pollenfront/pollenfront/tasklink"
)

// A Dump is the state of a scheduler for people to read.
type Dump struct {
	Agents        []AgentDump            `json:"agents"`
	Entries       int                    `json:"entries"`
	Jobs          []JobDump              `json:"jobs"`
	DisabledZones tasklink.DisabledZones `json:"notice"`
}

// An AgentDump is the state of an agent as a scheduler knows it.
type AgentDump struct {
	LastUpdate string          `json:"heard"` // How long ago.
	Home       bool            `json:"home"`
	Linked     bool            `json:"linked"`
	Name       string          `json:"name"`
	Report     tasklink.Report `json:"report"`
	Runs       int             `json:"runs"`
	Usable     bool            `json:"usable"`
	Zone       string          `json:"zone"`
}

// A JobDump is the state of a job.
type JobDump struct {
	Age     string `json:"age"`
	Began   bool   `json:"began"`
	Done    int    `json:"done"`
	Ending  bool   `json:"ending"`
	ID      string `json:"id"`
	Route   string `json:"route"`
	Tasks   int    `json:"tasks"`
	ToPlace int    `json:"to-place"`
}

// Dump returns the state of the scheduler.
func (s *Scheduler) Dump(now time.Duration) Dump {
	d := Dump{DisabledZones: s.disabledZones, Entries: len(s.entries)}
	for _, a := range s.sortedAgents {
		d.Agents = append(d.Agents, AgentDump{
			Home: a.primary, LastUpdate: (now - a.lastUpdate).String(), Linked: a.linked, Name: a.Name, Report: a.report, Runs: len(a.tasks),
			Usable: s.usable(now, a), Zone: a.zone,
		})
	}
	for _, j := range s.jobs {
		d.Jobs = append(d.Jobs, JobDump{
			Age: (now - j.arrived).String(), Began: j.mayHaveStarted, Done: j.doneCount, Ending: j.canceled, ID: j.ID,
			Route: j.Route.Name, Tasks: len(j.tasks), ToPlace: j.toPlace,
		})
	}
	return d
}
