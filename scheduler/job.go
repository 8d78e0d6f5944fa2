package scheduler

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Parameters of jobs.
const (
	// answerMargin is how long before its caller's time limit a job is canceled,
	// so that the answer arrives within the limit.
	answerMargin = 30 * time.Millisecond
	// dispatchOverhead is the part of a job's time that is spent outside the runs
	// of its tasks.
	dispatchOverhead = 15 * time.Millisecond
	// expiryFactor is the time from a job's arrival after which a late answer is of
	// no use, as a multiple of the time after which the answer is late.
	expiryFactor = 3
	// slowRunFactor and slowRunMargin determine when a run is stopped for being
	// slow: after slowRunFactor times its expected run time plus slowRunMargin.
	slowRunFactor = 3
	slowRunMargin = 120 * time.Millisecond
	// supersededStep is added to the run number of a task if the server reports
	// the number as superseded. That happens when an earlier submission of the
	// job ran there.
	supersededStep = 8
)

// A taskState is the state of a task.
type taskState int

// States of a task.
const (
	// taskWaiting is the state of a task that has to be placed.
	taskWaiting taskState = iota
	// taskSent is the state of a task that was sent to an agent and whose run has
	// not ended.
	taskSent
	// taskDone is the state of a task that has succeeded.
	taskDone
)

// A task is a task of a job.
type task struct {
	// agent is the agent that the task was sent to, or nil if the task is not in
	// the state taskSent.
	agent *agent
	// agentIncarnation is the incarnation of the agent when the task was sent.
	agentIncarnation uint64
	// avoid is the agent of the latest run that failed, was slow or was stopped. It
	// gets the task again only if no other agent's server can run it.
	avoid *agent
	// endWithheld is set if the run has ended, and its agent will report that later.
	endWithheld bool
	// expectedRunTime is the expected run time on the server that the task was sent
	// to.
	expectedRunTime time.Duration
	failures        int
	// failedOn are the names of the agents on whose servers runs of the task have failed.
	failedOn []string
	// former is the newest run that was taken for over, or nil.
	former *formerRun
	job    *job
	// mayHaveStarted is set if a run of the task has ended that may have started.
	mayHaveStarted bool
	// run identifies the newest run. Its number is increased before each send.
	run    pollenfront.RunID
	sentAt time.Duration
	state  taskState
	// stopRequested is set if the run is to be stopped.
	stopRequested bool
	// suspect is set if a process had crashed under the task when it was sent.
	suspect bool
	// withheldFailures is one more than the number of failures after which an attempt was
	// last withheld, or zero.
	withheldFailures int
}

// A job is a job that has not ended.
type job struct {
	pollenfront.Submission

	// answered is set if the job has its result, or its caller has left.
	answered bool
	arrived  time.Duration
	// canceled is set if the job is to end before it completes. A canceled job is
	// kept until all its runs have ended.
	canceled     bool
	cancelReason pollenfront.Reason
	// deadline is the time at which the job is canceled, answerMargin before the
	// caller stops waiting.
	deadline time.Duration
	// doneCount is the number of tasks that have succeeded.
	doneCount int
	// due is the time at which an answer stops being on time.
	due time.Duration
	// expectedRunTime is the expected run time of a task on a server of slowness 1.
	expectedRunTime time.Duration
	// expiry is the time at which a late answer stops being of use.
	expiry time.Duration
	fair   fairAccount
	// failed is set if a task has failed as often as its route allows, or too many
	// processes have crashed under it.
	failed bool
	// latestStart is the latest time at which the job can start and be on time.
	latestStart time.Duration
	// mayHaveStarted is set if a run has ended that may have started, which is the
	// case for every ending but EndingNotStarted.
	mayHaveStarted bool
	// sentAny is set if a task was ever sent to an agent.
	sentAny bool
	// seqNum numbers the jobs in the order of their submission.
	seqNum uint64
	tasks  []*task
	// toPlace is the number of tasks in the state taskWaiting. It is not kept up to
	// date once the job is canceled.
	toPlace int
	trace   pollenfront.Trace
}

// Limits on times that callers and operators state, so that sums with them do not overflow.
const (
	// maxTimeLimit bounds the time limit of a job. Callers may state the longest time, for no limit.
	maxTimeLimit = 24 * time.Hour
	// maxUntilDue bounds the time that a job may take and be on time.
	maxUntilDue = 24 * time.Hour
)

// untilDue returns how long a job of a route may take and be on time. Operators may have
// configured numbers that are out of the range of a duration.
func untilDue(route pollenfront.Route, expectedRunTime time.Duration) time.Duration {
	nanoseconds := route.Stretch*float64(expectedRunTime) + float64(route.LatencyTarget)
	return time.Duration(min(max(nanoseconds, -float64(maxUntilDue)), float64(maxUntilDue)))
}

// newJob returns a job that arrives now. expectedRunTime is the expected run time of
// a task on a server of slowness 1.
func newJob(now time.Duration, sub pollenfront.Submission, expectedRunTime time.Duration) *job {
	untilDue := untilDue(sub.Route, expectedRunTime)
	j := &job{
		Submission:      sub,
		arrived:         now,
		deadline:        now + min(sub.TimeLimit, maxTimeLimit) - answerMargin,
		due:             now + untilDue,
		expectedRunTime: expectedRunTime,
		expiry:          now + expiryFactor*untilDue,
		latestStart:     now + untilDue - expectedRunTime - dispatchOverhead,
		toPlace:         sub.TaskCount,
	}
	j.tasks = make([]*task, sub.TaskCount)
	for i := range j.tasks {
		id := pollenfront.TaskID{Index: i, Job: sub.ID, Step: sub.Step}
		j.tasks[i] = &task{job: j, run: pollenfront.RunID{TaskID: id}}
	}
	return j
}

// answer adds the job's result to the effects, unless it was answered before or
// its caller has left.
func (j *job) answer(v pollenfront.Verdict, reason pollenfront.Reason, detail string, retryAfter time.Duration, effects *Effects) {
	if j.answered {
		return
	}
	j.answered = true
	j.trace.Due, j.trace.ExpectedRunTime = j.due-j.arrived, j.expectedRunTime
	effects.addResult(pollenfront.Result{Detail: detail, ID: j.ID, Reason: reason, RetryAfter: retryAfter, Trace: j.trace, Verdict: v})
}

// isOverdue reports whether a job of which nothing was sent has passed its latest start.
func (j *job) isOverdue(now time.Duration) bool {
	return j.latestStart < now && !j.sentAny
}

// enqueue inserts a job into the queue, behind the jobs with the same latest start.
func (s *Scheduler) enqueue(j *job) {
	i, _ := slices.BinarySearchFunc(s.queue, j, func(a, b *job) int {
		if a.latestStart <= b.latestStart {
			return -1
		}
		return 1
	})
	s.queue = slices.Insert(s.queue, i, j)
	if s.fair != nil {
		s.fair.insert(j)
	}
}

// dequeue removes a job from the queue, if it is there.
func (s *Scheduler) dequeue(j *job) {
	s.queue = slices.DeleteFunc(s.queue, func(queued *job) bool { return queued == j })
}

// refuse answers a job of which no task was sent with VerdictRefused, and removes it.
func (s *Scheduler) refuse(now time.Duration, j *job, reason pollenfront.Reason, detail string, effects *Effects) {
	j.answer(pollenfront.VerdictRefused, reason, detail, s.retryAfter(now, j), effects)
	s.accountRefused(now, j, reason)
	s.dequeue(j)
	s.remove(now, j)
}

// cancelJob cancels a job and stops its runs. The job is answered at once if a task
// has failed for good or may have started, or if the agent of a run is suspect.
// Otherwise it is answered when the agents have reported whether anything was started.
func (s *Scheduler) cancelJob(now time.Duration, j *job, reason pollenfront.Reason, effects *Effects) {
	if j.canceled {
		return
	}
	j.canceled, j.cancelReason = true, reason
	s.dequeue(j)
	for _, t := range j.tasks {
		if t.state == taskSent {
			s.stop(t, effects)
		}
		if t.state == taskSent && (t.endWithheld || now-t.agent.lastUpdate > AgentSuspectTimeout) {
			j.answer(pollenfront.VerdictUnknown, reason, "", 0, effects)
		}
	}
	s.finishCanceled(now, j, effects)
}

// stop sends a stop command for a task's run. If the agent is not linked, the
// command is sent when it links again.
func (s *Scheduler) stop(t *task, effects *Effects) {
	t.stopRequested = true
	if t.agent.linked {
		commands := effects.commandsFor(s, t.agent)
		commands.Stops = append(commands.Stops, t.run)
	}
}

// finishCanceled answers a canceled job as soon as its verdict is certain, and
// removes it once all its runs have ended. It does nothing for other jobs.
func (s *Scheduler) finishCanceled(now time.Duration, j *job, effects *Effects) {
	if !j.canceled {
		return
	}
	switch {
	case j.failed:
		j.answer(pollenfront.VerdictFailed, j.cancelReason, "", 0, effects)
	case j.mayHaveStarted:
		j.answer(pollenfront.VerdictUnknown, j.cancelReason, "", 0, effects)
	}
	for _, t := range j.tasks {
		if t.state == taskSent {
			return
		}
	}
	j.answer(pollenfront.VerdictRefused, j.cancelReason, "", refusedRetryAfter, effects)
	s.remove(now, j)
}

// tickJob cancels a job that is past its deadline, and stops slow runs of its
// tasks. It stops only the first run of a task that may have started: if a later run
// takes as long, the task itself is longer than estimated.
func (s *Scheduler) tickJob(now time.Duration, j *job, effects *Effects) {
	if j.canceled {
		return
	}
	if now > j.deadline {
		s.cancelJob(now, j, pollenfront.ReasonTimeLimit, effects)
		return
	}
	for _, t := range j.tasks {
		if t.state == taskSent && !t.stopRequested && !j.AtMostOnce && !t.mayHaveStarted &&
			now-t.sentAt > slowRunFactor*t.expectedRunTime+slowRunMargin && s.worthRerunning(now, t) {
			t.avoid = t.agent
			s.stop(t, effects)
		}
	}
}

// worthRerunning reports whether it is worth stopping a run of the task to run it
// again. The answer must be expected to be of use, and the job to be answered before
// its deadline even if the new run takes twice the expected run time.
func (s *Scheduler) worthRerunning(now time.Duration, t *task) bool {
	return now+2*t.job.expectedRunTime < min(t.job.deadline, t.job.expiry+t.job.expectedRunTime)
}

// handleRunEnd handles the end of a task's run. The job completes with its last task,
// and is canceled if the task must not run again. Otherwise the task waits to be
// placed again.
func (s *Scheduler) handleRunEnd(now time.Duration, t *task, end tasklink.RunEnd, effects *Effects) {
	j := t.job
	delete(t.agent.tasks, t.run)
	a := t.agent
	if t.suspect {
		t.suspect = false
		a.suspects--
	}
	j.trace.LastServer, j.trace.LastSent, j.trace.LastRunTime = a.Name, t.sentAt-j.arrived, time.Duration(end.Seconds*float64(time.Second))
	t.agent, t.state, t.stopRequested, t.endWithheld = nil, taskWaiting, false, false
	if end.Ending != pollenfront.EndingNotStarted {
		t.mayHaveStarted, j.mayHaveStarted = true, true
	}
	t.recordFormer(now, a, &end)
	if end.Superseded {
		t.run.Number += supersededStep
	}
	switch end.Ending {
	case pollenfront.EndingDone:
		t.state = taskDone
		s.recordAttempt(now, t, a, end.Ending)
		j.doneCount++
		if j.doneCount == len(j.tasks) && !j.canceled {
			j.answer(pollenfront.VerdictCompleted, "", "", 0, effects)
			s.accountCompleted(now, j)
			s.remove(now, j)
			return
		}
	case pollenfront.EndingFailed:
		t.failures++
		t.avoid = a
		s.recordAttempt(now, t, a, end.Ending)
		if t.failures >= max(1, j.Route.MaxAttempts) {
			j.failed = true
			s.cancelJob(now, j, pollenfront.ReasonTaskFailed, effects)
		}
	case pollenfront.EndingStopped:
		t.avoid = a
	case pollenfront.EndingLost, pollenfront.EndingNotStarted:
	}
	if j.AtMostOnce && t.state == taskWaiting && end.Ending != pollenfront.EndingNotStarted {
		s.cancelJob(now, j, pollenfront.ReasonRunLost, effects)
	}
	if t.state == taskWaiting && !j.canceled && !s.mayRunAgain(now, j) {
		s.cancelJob(now, j, pollenfront.ReasonSuspect, effects)
	}
	if j.canceled {
		s.finishCanceled(now, j, effects)
		return
	}
	if t.state == taskWaiting {
		j.toPlace++
		if j.toPlace == 1 {
			s.enqueue(j)
		}
	}
}
