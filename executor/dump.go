package executor

import (
	"time"

	"github.com/pollenfront/pollenfront/demandshare"
	"github.com/pollenfront/pollenfront/tasklink"
)

// A Dump is the state of an executor in JSON, for operators to read.
type Dump struct {
	NoUnknownRuns bool            `json:"clean"`
	Incarnation   uint64          `json:"incarnation"`
	Report        tasklink.Report `json:"report"`
	Runs          []RunDump       `json:"runs"`
	// Shares are the shares of the linked entries, if the agent states any.
	Shares map[string]demandshare.Share `json:"shares,omitempty"`
	Token  uint64                       `json:"token"`
}

// A RunDump is the state of a run that has not ended.
type RunDump struct {
	// Age is the time since the newest start request for the run. It has no meaning
	// while the run is queued.
	Age     string `json:"age"`
	Entry   string `json:"entry"`
	Index   int    `json:"index"`
	Job     string `json:"job"`
	Number  int    `json:"number"`
	Percent int    `json:"percent"`
	State   string `json:"state"`
}

// String returns the name of the state in dumps.
func (s runState) String() string {
	return [...]string{"queued", "starting", "running", "stopping"}[s]
}

// Dump returns the current state of the executor.
func (x *Executor) Dump(now time.Duration) Dump {
	d := Dump{NoUnknownRuns: x.noUnknownRuns, Incarnation: x.server.incarnation, Report: x.Report(now), Shares: x.Shares(now), Token: x.tokens.Current()}
	for _, r := range x.acceptedRuns {
		d.Runs = append(d.Runs, RunDump{
			Age: (now - r.lastStartSent).String(), Entry: r.entry.Name, Index: r.id.Index, Job: r.id.Job, Number: r.id.Number,
			Percent: r.percent, State: r.state.String(),
		})
	}
	return d
}
