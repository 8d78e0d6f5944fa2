package scheduler

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Parameters of jobs.
const (
	// answerMargin is kept between a caller's limit and the last moment of an answer.
	answerMargin = 30 * time.Millisecond
	// expiryFactor is the multiple of a job's time for being in time, up to
	// which a late answer is still of use.
	expiryFactor = 3
	// dispatchOverhead is the time of a job that is spent outside its tasks' runs.
	dispatchOverhead = 15 * time.Millisecond
	// slowRunFactor is the multiple of its expected run time after which a run is
	// taken back from its server, and patienceFloor is added to it.
	slowRunFactor = 3
	slowRunMargin = 120 * time.Millisecond
	// supersededStep is added to the number of a run if the server has passed it,
	// as it has when an earlier submission of the job ran there.
	supersededStep = 8
)

// A taskState is the state of a task.
type taskState int

// States of a task.
const (
	taskWaiting taskState = iota
	taskSent
	taskDone
)

// A task is a task of a job.
type task struct {
	agent            *agent
	avoid            *agent // Where it failed or hung last.
	expectedRun      time.Duration
	failures         int
	agentIncarnation uint64 // Of the agent that it was sent to.
	job              *job
	run              pollenfront.RunID
	sentAt           time.Duration
	state            taskState
	stopRequested    bool // Whether the run was told to stop.
}

// A job is a job that has not ended.
type job struct {
	pollenfront.Submission

	answered       bool
	arrived        time.Duration
	mayHaveStarted bool          // Whether a task has, or may have, started.
	deadline       time.Duration // When the caller stops waiting.
	doneCount      int
	due            time.Duration // Until when an answer is in time.
	canceled       bool
	expectedRun    time.Duration      // Run time of a task on a server of slowness 1.
	failed         bool               // A task has failed as often as its route allows.
	latestStart    time.Duration      // Latest start with which the job is in time.
	expiry         time.Duration      // Until when a late answer is of use.
	seqNum         uint64             // In the order of submission.
	cancelReason   pollenfront.Reason // Why it is ending.
	sentAny        bool
	tasks          []*task
	toPlace        int
	trace          pollenfront.Trace
}

// newJob returns a job that arrived at an instant, whose tasks are expected to
// take some time.
func newJob(now time.Duration, sub pollenfront.Submission, expected time.Duration) *job {
	limit := time.Duration(sub.Route.Stretch*float64(expected)) + sub.Route.LatencyTarget
	j := &job{
		Submission:  sub,
		arrived:     now,
		deadline:    now + sub.TimeLimit - answerMargin,
		due:         now + limit,
		expectedRun: expected,
		latestStart: now + limit - expected - dispatchOverhead,
		expiry:      now + expiryFactor*limit,
		toPlace:     sub.Count,
	}
	j.tasks = make([]*task, sub.Count)
	for i := range j.tasks {
		id := pollenfront.TaskID{Index: i, Job: sub.ID, Step: sub.Step}
		j.tasks[i] = &task{job: j, run: pollenfront.RunID{TaskID: id}}
	}
	return j
}

// answer answers a job once.
func (j *job) answer(v pollenfront.Verdict, reason pollenfront.Reason, detail string, retryAfter time.Duration, fx *Effects) {
	if j.answered {
		return
	}
	j.answered = true
	j.trace.Due, j.trace.Expected = j.due-j.arrived, j.expectedRun
	fx.addResult(pollenfront.Result{Detail: detail, ID: j.ID, Reason: reason, RetryAfter: retryAfter, Trace: j.trace, Verdict: v})
}

// enqueue puts a job with tasks to be placed into the queue.
func (s *Scheduler) enqueue(j *job) {
	i, _ := slices.BinarySearchFunc(s.queue, j, func(a, b *job) int {
		if a.latestStart <= b.latestStart {
			return -1
		}
		return 1
	})
	s.queue = slices.Insert(s.queue, i, j)
}

// dequeue takes a job out of the queue.
func (s *Scheduler) dequeue(j *job) {
	s.queue = slices.DeleteFunc(s.queue, func(w *job) bool { return w == j })
}

// refuse ends a job of which nothing was sent.
func (s *Scheduler) refuse(now time.Duration, j *job, reason pollenfront.Reason, detail string, fx *Effects) {
	j.answer(pollenfront.VerdictRefused, reason, detail, s.retryAfter(now, j), fx)
	s.dequeue(j)
	delete(s.jobs, j.ID)
}

// cancelJob ends a job: what was sent is stopped, and the answer follows when the
// agents have said whether anything was started.
func (s *Scheduler) cancelJob(now time.Duration, j *job, reason pollenfront.Reason, fx *Effects) {
	if j.canceled {
		return
	}
	j.canceled, j.cancelReason = true, reason
	s.dequeue(j)
	for _, t := range j.tasks {
		if t.state == taskSent {
			s.stop(t, fx)
		}
		if t.state == taskSent && now-t.agent.lastUpdate > AgentSuspectTimeout {
			j.answer(pollenfront.VerdictUnknown, reason, "", 0, fx)
		}
	}
	s.finishCanceled(j, fx)
}

// stop tells the agent of a task to stop it.
func (s *Scheduler) stop(t *task, fx *Effects) {
	t.stopRequested = true
	if t.agent.linked {
		o := fx.commandsFor(s, t.agent)
		o.Stops = append(o.Stops, t.run)
	}
}

// finishCanceled answers and forgets a job that is ending, once nothing of it is left
// with an agent.
func (s *Scheduler) finishCanceled(j *job, fx *Effects) {
	if !j.canceled {
		return
	}
	switch {
	case j.failed:
		j.answer(pollenfront.VerdictFailed, j.cancelReason, "", 0, fx)
	case j.mayHaveStarted:
		j.answer(pollenfront.VerdictUnknown, j.cancelReason, "", 0, fx)
	}
	for _, t := range j.tasks {
		if t.state == taskSent {
			return
		}
	}
	j.answer(pollenfront.VerdictRefused, j.cancelReason, "", refusedRetryAfter, fx)
	delete(s.jobs, j.ID)
}

// tickJob ends a job whose time is over, and takes first runs back from servers
// that take far too long. If a later run takes as long, the task is long.
func (s *Scheduler) tickJob(now time.Duration, j *job, fx *Effects) {
	if j.canceled {
		return
	}
	if now > j.deadline {
		s.cancelJob(now, j, pollenfront.ReasonTimeLimit, fx)
		return
	}
	for _, t := range j.tasks {
		if t.state == taskSent && !t.stopRequested && !j.AtMostOnce && t.run.Number == 1 && now-t.sentAt > slowRunFactor*t.expectedRun+slowRunMargin && s.worthRerunning(now, t) {
			t.avoid = t.agent
			s.stop(t, fx)
		}
	}
}

// worthRerunning reports whether a task that is taken back could still be of use.
func (s *Scheduler) worthRerunning(now time.Duration, t *task) bool {
	return now+2*t.job.expectedRun < min(t.job.deadline, t.job.expiry+t.job.expectedRun)
}

// handleRunEnd takes the ending of a run.
func (s *Scheduler) handleRunEnd(now time.Duration, t *task, end tasklink.RunEnd, fx *Effects) {
	j := t.job
	delete(t.agent.tasks, t.run)
	from := t.agent
	j.trace.Server, j.trace.LastSent, j.trace.LastRun = from.Name, t.sentAt-j.arrived, time.Duration(end.Seconds*float64(time.Second))
	t.agent, t.state, t.stopRequested = nil, taskWaiting, false
	if end.Ending != pollenfront.EndingNotStarted {
		j.mayHaveStarted = true
	}
	if end.Superseded {
		t.run.Number += supersededStep
	}
	switch end.Ending {
	case pollenfront.EndingDone:
		t.state = taskDone
		j.doneCount++
		if j.doneCount == len(j.tasks) && !j.canceled {
			j.answer(pollenfront.VerdictCompleted, "", "", 0, fx)
			delete(s.jobs, j.ID)
			return
		}
	case pollenfront.EndingFailed:
		t.failures++
		t.avoid = from
		if t.failures >= max(1, j.Route.MaxAttempts) {
			j.failed = true
			s.cancelJob(now, j, pollenfront.ReasonTaskFailed, fx)
		}
	case pollenfront.EndingStopped:
		t.avoid = from
	case pollenfront.EndingLost, pollenfront.EndingNotStarted:
	}
	if j.AtMostOnce && t.state == taskWaiting && end.Ending != pollenfront.EndingNotStarted {
		s.cancelJob(now, j, pollenfront.ReasonRunLost, fx)
	}
	if j.canceled {
		s.finishCanceled(j, fx)
		return
	}
	if t.state == taskWaiting {
		j.toPlace++
		if j.toPlace == 1 {
			s.enqueue(j)
		}
	}
}
