package scheduler

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Parameters of placement. Delays are added to the expected time until a task ends
// on a server; penalties only make another server preferable.
const (
	// avoidFailRate is the share of failed runs above which a server gets tasks
	// only if no other server can run them.
	avoidFailRate = 0.3
	// avoidPenalty is the penalty of a server above avoidFailRate, of one on which the
	// task has failed, was slow or was stopped, and for a suspect task of one that has
	// another suspect task.
	avoidPenalty = 10 * time.Second
	// crossZoneDelay is the additional delay of a task on a server in another
	// zone.
	crossZoneDelay = 3 * time.Millisecond
	// failPenalty is the penalty of a failed run, as a multiple of the task's run
	// time. It is weighted with the server's share of failed runs.
	failPenalty = 4
	// maxServerWait is the longest time that a task may be expected to wait at the
	// server that it is sent to. It covers the transmission time, so that resources
	// that become free are not idle while the task is on the way.
	maxServerWait = 40 * time.Millisecond
	// nonPrimaryPenalty is the penalty of a server that has another primary
	// entry, as a share of the run time. That entry may have filled the server
	// since its latest report.
	nonPrimaryPenalty = 0.5
)

// A candidate is the agent of a server that may get tasks in one call of place.
type candidate struct {
	*agent

	// free are the reported free resources, less the needs of unreported starts and
	// of the tasks placed in this call. They can be negative.
	free pollenfront.Resources
	// suspects is the number of suspect tasks of this entry on the server, with those
	// placed in this call.
	suspects int
}

// place sends the tasks of queued jobs to servers, in the order of the queue. A
// job whose best servers are full stays queued, and later jobs may use servers
// that it does not choose. A job whose latest start has passed and of which
// nothing was sent is overdue: it is refused, unless it can be placed at once
// when all jobs that are not overdue have been placed.
func (s *Scheduler) place(now time.Duration, effects *Effects) {
	if len(s.queue) == 0 {
		return
	}
	if s.fair != nil {
		s.placeFair(now, effects)
		return
	}
	candidates := s.candidates(now)
	s.holdFailed(now, candidates)
	placed, stillQueued := 0, 0
	s.unplaceable = s.unplaceable[:0]
	for _, j := range s.queue {
		if j.isOverdue(now) {
			continue
		}
		if s.isUnplaceable(j) {
			stillQueued++
			continue
		}
		if s.placeJob(now, j, candidates, effects) {
			placed++
		} else {
			stillQueued++
		}
	}
	if stillQueued == 0 {
		placed += s.placeOverdue(now, candidates, effects)
	}
	if placed > 0 {
		s.queue = slices.DeleteFunc(s.queue, func(j *job) bool { return j.toPlace == 0 })
	}
	s.reportWithheld(effects)
	s.shedOverdue(now, effects)
	s.shedHopeless(now, effects)
}

// placeOverdue places overdue jobs and returns how many it placed.
func (s *Scheduler) placeOverdue(now time.Duration, candidates []candidate, effects *Effects) int {
	placed := 0
	for _, j := range s.queue {
		if j.isOverdue(now) && s.placeJob(now, j, candidates, effects) {
			placed++
		}
	}
	return placed
}

// candidates returns the servers to which tasks may be sent, sorted by the names of
// their agents.
func (s *Scheduler) candidates(now time.Duration) []candidate {
	list := make([]candidate, 0, len(s.agents))
	for _, a := range s.sortedAgents {
		if !s.usable(now, a) {
			continue
		}
		c := candidate{agent: a, free: a.report.Free, suspects: a.suspects}
		for _, start := range a.unreported {
			c.free = c.free.Sub(start.need)
		}
		list = append(list, c)
	}
	return list
}

// startDelay returns the expected time until a task of a job would start on a
// server. It is zero if the resources that the task needs are free. Otherwise it is
// the wait that the agent reports for the job's priority, plus the time until the
// server has freed the lacking CPU that the reported wait does not cover. The server
// is assumed to free its whole CPU capacity once per mean run time.
func (c *candidate) startDelay(j *job) time.Duration {
	if c.free.Covers(j.Need) {
		return 0
	}
	reported := time.Duration(0)
	if p := min(max(j.Route.Priority, 0), len(c.report.Waits)-1); p >= 0 {
		reported = time.Duration(c.report.Waits[p]) * time.Millisecond
	}
	lacking := max(0, j.Need.CPU-c.free.CPU)
	if c.report.Free.CPU < 0 {
		lacking += c.report.Free.CPU // The reported wait covers this part.
	}
	share := float64(max(0, lacking)) / float64(max(1, c.providedCPU()))
	return reported + time.Duration(share*c.report.RunSeconds*float64(time.Second)) + time.Millisecond
}

// expectedRunTimeOn returns the expected run time of a job's task on a server as if
// its slowness were 1. It is longer on servers that are not near the job's data.
func (s *Scheduler) expectedRunTimeOn(j *job, a *agent) time.Duration {
	if j.DataLabel == "" || slices.Contains(a.report.Labels, j.DataLabel) {
		return j.expectedRunTime
	}
	return time.Duration(float64(j.expectedRunTime) * s.remoteFactor)
}

// slowedRunTimeOn returns the expected run time of a job's task on a server at the slowness
// that its agent reports.
func (s *Scheduler) slowedRunTimeOn(j *job, a *agent) time.Duration {
	return time.Duration(float64(s.expectedRunTimeOn(j, a)) * a.report.Slowness)
}

// evaluate returns the estimates for a task on a server, as Choosers use them.
func (s *Scheduler) evaluate(c *candidate, t *task) pollenfront.ServerCandidate {
	delay := c.startDelay(t.job)
	run := s.slowedRunTimeOn(t.job, c.agent)
	timeToFinish := delay + run
	if c.zone != s.zone {
		timeToFinish += crossZoneDelay
	}
	penalty := time.Duration(failPenalty * c.report.FailRate * float64(run))
	if !c.primary {
		penalty += time.Duration(nonPrimaryPenalty * float64(t.job.expectedRunTime))
	}
	penalty += s.interference.penalty(s, c, t, run)
	if c.report.FailRate > avoidFailRate || t.avoid == c.agent || s.risky(c, t) {
		penalty += avoidPenalty
	}
	return pollenfront.ServerCandidate{CanStart: delay <= maxServerWait, Free: c.free, Penalty: penalty, TimeToFinish: timeToFinish}
}

// risky reports whether a server is to be avoided for a task because one of them may crash
// the server: both have been in a crash, or the server is for confined routes and the task
// is of another one.
func (s *Scheduler) risky(c *candidate, t *task) bool {
	if c.suspects > 0 && s.crashes.Suspect(t.run.TaskID) {
		return true
	}
	return c.confined && s.avoidsConfined(t.job.Route.Name, c.service)
}

// placeJob sends all waiting tasks of a job and returns true. If one of them has to
// wait, it sends none and returns false.
func (s *Scheduler) placeJob(now time.Duration, j *job, candidates []candidate, effects *Effects) bool {
	chosen := make([]int, 0, j.toPlace)
	var suspects []int
	release := func() {
		for _, i := range chosen {
			candidates[i].free = candidates[i].free.Add(j.Need)
		}
		for _, i := range suspects {
			candidates[i].suspects--
		}
	}
	for _, t := range j.tasks {
		if t.state != taskWaiting {
			continue
		}
		best, anyCanStart := s.choose(now, candidates, t)
		if best < 0 && !anyCanStart && len(chosen) == 0 {
			s.unplaceable = append(s.unplaceable, j)
		}
		if best < 0 {
			if !s.holdsRoom(j) {
				release()
			}
			return false
		}
		chosen = append(chosen, best)
		candidates[best].free = candidates[best].free.Sub(j.Need)
		if s.crashes.Suspect(t.run.TaskID) {
			suspects = append(suspects, best)
			candidates[best].suspects++
		}
	}
	s.sendTasks(now, j, candidates, chosen, effects)
	return true
}

// isUnplaceable reports whether placeJob would find no server with free resources
// for a job. That is certain if it found none earlier in this call of place for a
// job of the same service and priority whose tasks need no more.
func (s *Scheduler) isUnplaceable(j *job) bool {
	for _, earlier := range s.unplaceable {
		if s.pool(j) == s.pool(earlier) && j.Route.Priority == earlier.Route.Priority && j.Need.Covers(earlier.Need) {
			return true
		}
	}
	return false
}

// choose returns the index of the candidate chosen for a task, or -1 if the task
// has to wait, and whether any server has free resources for it, or will have them
// when it arrives there.
func (s *Scheduler) choose(now time.Duration, candidates []candidate, t *task) (best int, anyCanStart bool) {
	j := t.job
	s.eligible, s.evaluated = s.eligible[:0], s.evaluated[:0]
	p := s.pool(j)
	for i := range candidates {
		c := &candidates[i]
		if !p.contains(c.agent) || !c.report.Capacity.Covers(j.Need) {
			continue
		}
		server := s.evaluate(c, t)
		anyCanStart = anyCanStart || server.CanStart
		s.eligible = append(s.eligible, i)
		s.evaluated = append(s.evaluated, server)
	}
	withheld := s.weighAttempt(now, candidates, t, anyCanStart)
	best = s.chooser.Choose(pollenfront.TaskTiming{
		JobStarted: j.sentAny, PastLatestStart: now >= j.latestStart, UntilDue: j.due - now - dispatchOverhead, UntilExpiry: j.expiry - now,
	}, s.evaluated)
	if best < 0 {
		if withheld >= 0 {
			s.recordWithheld(&candidates[s.eligible[withheld]], t)
		}
		return -1, anyCanStart
	}
	return s.eligible[best], anyCanStart
}

// sendTasks adds start commands and placements for the waiting tasks of a job to
// the effects. chosen has the index of the candidate for each of them.
func (s *Scheduler) sendTasks(now time.Duration, j *job, candidates []candidate, chosen []int, effects *Effects) {
	byAgent := make(map[*agent]*batch, len(chosen))
	batches := make([]*batch, 0, len(chosen))
	for _, t := range j.tasks {
		if t.state != taskWaiting {
			continue
		}
		c := &candidates[chosen[0]]
		chosen = chosen[1:]
		b, ok := byAgent[c.agent]
		if !ok {
			b = s.newBatch(now, j, c)
			byAgent[c.agent] = b
			batches = append(batches, b)
		}
		s.markTaskSent(now, t, c.agent)
		b.add(now, t)
	}
	for _, b := range batches {
		commands := effects.commandsFor(s, b.agent)
		commands.Starts = append(commands.Starts, b.start)
		effects.Placements = append(effects.Placements, b.placement)
	}
	j.toPlace, j.sentAny = 0, true
}

// A batch holds the tasks of a job that are sent to one agent together.
type batch struct {
	agent     *agent
	placement Placement
	start     tasklink.StartCommand
}

// newBatch returns a batch without tasks for a candidate, from whose free resources
// the needs of the tasks to be added are already subtracted.
func (s *Scheduler) newBatch(now time.Duration, j *job, c *candidate) *batch {
	a := c.agent
	return &batch{
		agent: a,
		placement: Placement{
			Agent: a.Name, FreeCPU: c.free.CPU, Job: j.ID, ReportAge: now - a.lastUpdate, Slowness: a.report.Slowness, Waited: now - j.arrived,
		},
		start: tasklink.StartCommand{
			AtMostOnce: j.AtMostOnce, ExpectedRunTime: int64(s.expectedRunTimeOn(j, a)), Job: j.ID, Need: j.Need, Payload: j.Payload, Priority: j.Route.Priority,
			Route: j.Route.Name, RouteAddress: j.Route.Address(), Service: a.service, Slack: int64(j.latestStart - now), Step: j.Step,
		},
	}
}

// add adds a task to the batch. The task must be the last one that was marked as
// sent to the agent, since add uses the sequence number that was assigned last.
func (b *batch) add(now time.Duration, t *task) {
	b.placement.Tasks++
	if t.former != nil {
		b.placement.Reruns = append(b.placement.Reruns, t.rerun(now))
	}
	b.placement.MaxRunNumber = max(b.placement.MaxRunNumber, t.run.Number)
	b.start.Tasks = append(b.start.Tasks, tasklink.StartTask{Index: t.run.Index, Rerun: t.mayHaveStarted, Run: t.run.Number, SeqNum: t.agent.lastSeqNum})
}

// markTaskSent records that a task is sent to an agent as a new run.
func (s *Scheduler) markTaskSent(now time.Duration, t *task, a *agent) {
	a.lastSeqNum++
	t.run.Number++
	t.job.trace.Runs++
	t.agent, t.state, t.sentAt, t.agentIncarnation = a, taskSent, now, a.Incarnation
	t.expectedRunTime = time.Duration(float64(s.expectedRunTimeOn(t.job, a)) * max(1, a.report.Slowness))
	a.tasks[t.run] = t
	t.suspect = s.crashes.Suspect(t.run.TaskID)
	if t.suspect {
		a.suspects++
	}
	a.unreported = append(a.unreported, unreportedStart{need: t.job.Need, seqNum: a.lastSeqNum})
}
