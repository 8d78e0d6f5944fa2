package scheduler

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// trialQuietPeriod is the time without crashes of other servers after which a job that may
// have crashed one may be started again. A crashed server is back after some seconds.
const trialQuietPeriod = 3 * time.Second

// recordCrash records a crash that was learned from an agent, or detected here if peer is
// empty. It ends the jobs of the tasks under which too many processes have crashed now.
func (s *Scheduler) recordCrash(now time.Duration, crash pollenfront.Crash, peer string, effects *Effects) {
	if !s.crashes.Add(now, crash, peer) {
		return
	}
	s.confineRoutes(now, &crash)
	for _, crashed := range crash.Tasks {
		if j, ok := s.jobs[crashed.Task.Job]; ok && s.crashes.Exceeded(crashed.Task) && !j.canceled {
			j.failed = s.crashes.Failed(crashed.Task)
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
		crash.Tasks = append(crash.Tasks, pollenfront.CrashedTask{Age: now - t.sentAt, Route: t.job.Route.Name, Task: t.run.TaskID})
	}
	s.recordCrash(now, crash, "", effects)
}

// answerForCrashes answers a new job that must not be started because of crashes during
// earlier submissions, and reports whether it has.
func (s *Scheduler) answerForCrashes(now time.Duration, j *job, effects *Effects) bool {
	switch {
	case j.anyTask(s.crashes.Failed):
		j.answer(pollenfront.VerdictFailed, pollenfront.ReasonServersCrashed, "", 0, effects)
	case j.anyTask(s.crashes.Exceeded):
		j.answer(pollenfront.VerdictRefused, pollenfront.ReasonServersCrashed, "", 0, effects)
	case !s.mayRunAgain(now, j):
		j.answer(pollenfront.VerdictRefused, pollenfront.ReasonSuspect, "", trialQuietPeriod, effects)
	default:
		return false
	}
	return true
}

// anyTask reports whether condition holds for a task of the job.
func (j *job) anyTask(condition func(task pollenfront.TaskID) bool) bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return condition(t.run.TaskID) })
}

// mayRunAgain reports whether the tasks of a job may be started with regard to the crashes
// of servers. A job that is likely to have crashed one may be started again only as a
// trial, and one such job at a time.
func (s *Scheduler) mayRunAgain(now time.Duration, j *job) bool {
	if !j.anyTask(s.crashes.Suspect) || s.trial == j.ID || !s.crashes.LikelyCulprit(j.ID) {
		return true
	}
	if _, ok := s.jobs[s.trial]; ok || !s.mayStartTrial(now, j) {
		return false
	}
	s.trial, s.trialStarted = j.ID, now
	return true
}

// mayStartTrial reports whether a trial of a job may start. If jobs of its route are known
// to crash servers, it may not. Otherwise it may if no other server has crashed for
// trialQuietPeriod. While servers crash again and again, they are needed for other jobs. A
// most likely culprit may then start in each trialQuietPeriod, to find the route of the
// jobs that crash them.
func (s *Scheduler) mayStartTrial(now time.Duration, j *job) bool {
	if s.crashes.HasCulprit(j.Route.Name, now-culpritWindow) {
		return false
	}
	if !s.crashes.ServerCrashed(now-trialQuietPeriod, j.ID) {
		return true
	}
	crashes := s.crashes.Crashes(now-confinementWindow, s.isServerOf(j.Route.Service))
	return crashes >= minCrashes && now-s.trialStarted > trialQuietPeriod && s.crashes.MostLikelyCulprit(j.ID)
}
