package jobs

import (
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// panicReportTime is the time that the agents are given to read the report of a panic
// before the process ends.
const panicReportTime = 50 * time.Millisecond

// reportPanic tells the agents which job this process was accepting when it panicked. They
// pass it on, so that the job, which its caller submits again elsewhere, does not end one
// entry after the other. The caller must hold mu.
func (j *Jobs) reportPanic() {
	if j.handling == nil {
		return
	}
	crash := pollenfront.Crash{
		Process:  pollenfront.Process{Incarnation: j.self.Incarnation, Kind: pollenfront.ProcessEntry, Name: j.self.Name},
		Reporter: j.self.Name,
		Tasks:    []pollenfront.CrashedTask{{Route: j.handling.Route.Name, Task: pollenfront.TaskID{Job: j.handling.ID, Step: j.handling.Step}}},
	}
	for _, link := range j.links {
		_ = link.Send(&tasklink.Commands{Crashes: []pollenfront.Crash{crash}}) // The process ends anyway.
	}
	time.Sleep(panicReportTime)
}
