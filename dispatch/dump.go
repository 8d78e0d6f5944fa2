package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// A Dump is the state of a dispatcher for operators.
type Dump struct {
	Counts  Counts       `json:"counts"`
	Jobs    []JobDump    `json:"jobs"`
	Servers []ServerDump `json:"servers"`
	Teams   []TeamDump   `json:"teams"`
}

// A JobDump describes a job without an answer.
type JobDump struct {
	Age     pollenfront.Duration `json:"age"`
	Done    int                  `json:"done"`
	ID      pollenfront.JobID    `json:"id"`
	Kind    string               `json:"kind"`
	Queued  int                  `json:"queued"`
	Sent    int                  `json:"sent"`
	Tasks   []TaskDump           `json:"tasks,omitempty"`
	Team    string               `json:"team"`
	Waiting string               `json:"waiting,omitempty"` // Why tasks are queued.
}

// A TaskDump describes a task of a job.
type TaskDump struct {
	Choice   string `json:"choice,omitempty"` // Why its server was chosen.
	Name     string `json:"name"`
	Refusal  string `json:"refusal,omitempty"` // Of the last attempt that did not start.
	Refusals int    `json:"refusals"`
	Server   string `json:"server,omitempty"`
	State    string `json:"state"`
}

// A ServerDump describes a backend server.
type ServerDump struct {
	Ejected  bool    `json:"ejected"`
	Gone     bool    `json:"gone"`
	Name     string  `json:"name"`
	Others   int     `json:"others"`
	Own      int     `json:"own"`
	Refusal  string  `json:"refusal,omitempty"` // Why it gets no tasks.
	Seen     string  `json:"seen"`              // Time since its last message.
	Slots    int     `json:"slots"`
	Slowness float64 `json:"slowness"`
	Zone     string  `json:"zone"`
}

// A TeamDump describes a team's use of its quota at this entry.
type TeamDump struct {
	InFlight int                  `json:"in-flight"`
	Name     string               `json:"name"`
	Queued   int                  `json:"queued"`
	Served   pollenfront.Duration `json:"served"`
}

// Counts returns the totals since the start of the process.
func (d *Dispatcher) Counts() Counts {
	return d.counts
}

// Dump returns the state of the dispatcher. Tasks are listed only for the job
// named by detail.
func (d *Dispatcher) Dump(now time.Time, detail pollenfront.JobID) Dump {
	dump := Dump{Counts: d.counts, Jobs: []JobDump{}, Servers: []ServerDump{}, Teams: []TeamDump{}}
	for id, j := range d.jobs {
		if !j.answered {
			dump.Jobs = append(dump.Jobs, j.dump(now, id == detail))
		}
	}
	slices.SortFunc(dump.Jobs, func(a, b JobDump) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range d.servers {
		dump.Servers = append(dump.Servers, d.dumpServer(now, s))
	}
	slices.SortFunc(dump.Servers, func(a, b ServerDump) int { return cmp.Compare(a.Name, b.Name) })
	for name, t := range d.teams {
		dump.Teams = append(dump.Teams, TeamDump{
			InFlight: t.inFlight, Name: name, Queued: t.queued, Served: pollenfront.Duration(t.served),
		})
	}
	slices.SortFunc(dump.Teams, func(a, b TeamDump) int { return cmp.Compare(a.Name, b.Name) })
	return dump
}

// dump describes a job, with its tasks if detailed.
func (j *job) dump(now time.Time, detailed bool) JobDump {
	dump := JobDump{
		Age:     pollenfront.Duration(now.Sub(j.arrived).Round(time.Millisecond)),
		Done:    j.succeeds,
		ID:      j.ID,
		Kind:    j.Kind,
		Queued:  len(j.queued),
		Sent:    j.sent,
		Team:    j.Team,
		Waiting: j.wait(),
	}
	if !detailed {
		return dump
	}
	for _, declared := range j.Tasks {
		t := j.tasks[declared.Name]
		described := TaskDump{
			Choice: t.choice.String(), Name: t.Name, Refusals: t.refusals, Server: t.server.Name, State: t.state.String(),
		}
		if t.refusals > 0 && t.outcome.State == pollenfront.OutcomeNotStarted {
			described.Refusal = t.outcome.Reason + ": " + t.outcome.Detail
		}
		dump.Tasks = append(dump.Tasks, described)
	}
	return dump
}

// dumpServer describes a server.
func (d *Dispatcher) dumpServer(now time.Time, s *server) ServerDump {
	dump := ServerDump{
		Ejected:  s.ejected(),
		Gone:     s.gone,
		Name:     s.Name,
		Others:   s.load.Others,
		Own:      s.own(),
		Seen:     now.Sub(s.seen).Round(time.Millisecond).String(),
		Slots:    s.Slots,
		Slowness: d.estimator.Slowness(s.Name),
		Zone:     s.Zone,
	}
	if err := d.view.CheckServer(s.Name, s.Zone); err != nil {
		dump.Refusal = err.Error()
	}
	return dump
}

// String returns the name of the state that operators read.
func (s taskState) String() string {
	return [...]string{"queued", "sent", "succeeded", "failed", "dropped"}[s]
}
