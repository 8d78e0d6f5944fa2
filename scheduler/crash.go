package scheduler

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// recordCrash records a crash that was learned from an agent, or detected here if peer is
// empty. It fails the jobs of the tasks under which too many processes have crashed now.
func (s *Scheduler) recordCrash(now time.Duration, crash pollenfront.Crash, peer string, effects *Effects) {
	if !s.crashes.Add(now, crash, peer) {
		return
	}
	for _, id := range crash.Tasks {
		if j, ok := s.jobs[id.Job]; ok && s.crashes.Exceeded(id) && !j.canceled {
			j.failed = true
			s.cancelJob(now, j, pollenfront.ReasonServersCrashed, effects)
		}
	}
}

// recordAgentRestart records the loss of the former incarnation of an agent, with the tasks
// that were sent to it. known holds the runs that the new incarnation knows.
func (s *Scheduler) recordAgentRestart(now time.Duration, a *agent, known map[pollenfront.RunID]tasklink.RunState, effects *Effects) {
	var lost []*task
	for _, t := range a.sortedTasks() {
		if _, ok := known[t.run]; !ok && a.mayHaveStarted(t) {
			lost = append(lost, t)
		}
	}
	if len(lost) > 0 {
		s.recordAgentLoss(now, a.Name, lost[0].agentIncarnation, lost, effects)
	}
}

// recordAgentLoss records that an agent was killed, or silent for so long that it may have
// been, with the tasks that were sent to it.
func (s *Scheduler) recordAgentLoss(now time.Duration, name string, incarnation uint64, tasks []*task, effects *Effects) {
	crash := pollenfront.Crash{Process: pollenfront.Process{Incarnation: incarnation, Kind: pollenfront.ProcessAgent, Name: name}, Reporter: s.name}
	for _, t := range tasks {
		crash.Tasks = append(crash.Tasks, t.run.TaskID)
	}
	s.recordCrash(now, crash, "", effects)
}

// crashesExceeded reports whether a task of a new job must not be started because of
// crashes during earlier submissions.
func (s *Scheduler) crashesExceeded(j *job) bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return s.crashes.Exceeded(t.run.TaskID) })
}

// failForCrashes answers a new job of which a task must not be started because of crashes
// during earlier submissions.
func (s *Scheduler) failForCrashes(j *job, effects *Effects) {
	j.answer(pollenfront.VerdictFailed, pollenfront.ReasonServersCrashed, "", 0, effects)
}
