package scheduler

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Parameters of placement.
const (
	// crossZoneCost is what a server in another zone is taken to cost in time.
	crossZoneCost = 3 * time.Millisecond
	// avoidFailRate is the share of failed runs from which a server gets tasks
	// only if no other one will do.
	avoidFailRate = 0.3
	// avoidPenalty is added to the expected time on such a server.
	avoidPenalty = 10 * time.Second
	// failPenalty is what a failed run costs, as a multiple of its run time.
	failPenalty = 4
	// nonPrimaryPenalty is what a server whose home is another entry is taken to
	// cost, as a share of the run time, since it may be full by now.
	nonPrimaryPenalty = 0.5
	// maxServerWait is the longest wait at a server for which a task is sent to
	// it. It covers the way there, so that no room stays free meanwhile.
	maxServerWait = 40 * time.Millisecond
)

// A candidate is a server during one placement pass.
type candidate struct {
	*agent

	free pollenfront.Resources // Not needed by what was sent there, in this pass or before.
}

// place sends the tasks of waiting jobs to servers, the most urgent job first.
// A job whose best servers are full stays queued, and later jobs may use what
// it does not want. A job that can't be in time any more is refused, unless
// there is room for it at once that no other job wants.
func (s *Scheduler) place(now time.Duration, fx *Effects) {
	if len(s.queue) == 0 {
		return
	}
	candidates := s.candidates(now)
	placed, kept := 0, 0
	s.unplaceable = s.unplaceable[:0]
	for _, j := range s.queue {
		if j.latestStart < now && !j.sentAny {
			continue
		}
		if s.isUnplaceable(j) {
			kept++
			continue
		}
		if s.placeJob(now, j, candidates, fx) {
			placed++
		} else {
			kept++
		}
	}
	if kept == 0 {
		placed += s.placeOverdue(now, candidates, fx)
	}
	if placed > 0 {
		s.queue = slices.DeleteFunc(s.queue, func(j *job) bool { return j.toPlace == 0 })
	}
	s.shedOverdue(now, fx)
}

// placeOverdue places the jobs that can't be in time any more and of which
// nothing was sent, and returns how many it has placed.
func (s *Scheduler) placeOverdue(now time.Duration, candidates []candidate, fx *Effects) int {
	placed := 0
	for _, j := range s.queue {
		if j.latestStart < now && !j.sentAny && s.placeJob(now, j, candidates, fx) {
			placed++
		}
	}
	return placed
}

// candidates lists the servers that may be sent tasks.
func (s *Scheduler) candidates(now time.Duration) []candidate {
	list := make([]candidate, 0, len(s.agents))
	for _, a := range s.sortedAgents {
		if !s.usable(now, a) {
			continue
		}
		c := candidate{agent: a, free: a.report.Free}
		for _, u := range a.unreported {
			c.free = c.free.Sub(u.need)
		}
		list = append(list, c)
	}
	return list
}

// startDelay returns the time until a task would start on a server.
func (c *candidate) startDelay(j *job) time.Duration {
	if c.free.Covers(j.Need) {
		return 0
	}
	w := time.Duration(0)
	if p := min(max(j.Route.Priority, 0), len(c.report.Waits)-1); p >= 0 {
		w = time.Duration(c.report.Waits[p]) * time.Millisecond
	}
	lacking := max(0, j.Need.CPU-c.free.CPU)
	if c.report.Free.CPU < 0 {
		lacking += c.report.Free.CPU // The reported wait covers it.
	}
	share := float64(max(0, lacking)) / float64(max(1, c.report.Capacity.CPU))
	return w + time.Duration(share*c.report.RunSeconds*float64(time.Second)) + time.Millisecond
}

// expectedRunOn returns the expected run time of a job's task on a server, at a
// slowness of 1.
func (s *Scheduler) expectedRunOn(j *job, a *agent) time.Duration {
	if j.DataLabel == "" || slices.Contains(a.report.Labels, j.DataLabel) {
		return j.expectedRun
	}
	return time.Duration(float64(j.expectedRun) * s.remoteFactor)
}

// evaluate returns what is expected of a server for a task.
func (s *Scheduler) evaluate(c *candidate, t *task) pollenfront.ServerCandidate {
	wait := c.startDelay(t.job)
	run := time.Duration(float64(s.expectedRunOn(t.job, c.agent)) * c.report.Slowness)
	cost := wait + run
	if c.zone != s.zone {
		cost += crossZoneCost
	}
	penalty := time.Duration(failPenalty * c.report.FailRate * float64(run))
	if !c.primary {
		penalty += time.Duration(nonPrimaryPenalty * float64(t.job.expectedRun))
	}
	if c.report.FailRate > avoidFailRate || t.avoid == c.agent {
		penalty += avoidPenalty
	}
	return pollenfront.ServerCandidate{Available: wait <= maxServerWait, Cost: cost, Free: c.free, Penalty: penalty}
}

// placeJob sends all waiting tasks of a job, or none if one would have to wait
// for too long.
func (s *Scheduler) placeJob(now time.Duration, j *job, candidates []candidate, fx *Effects) bool {
	chosen := make([]int, 0, j.toPlace)
	undo := func() {
		for _, i := range chosen {
			candidates[i].free = candidates[i].free.Add(j.Need)
		}
	}
	for _, t := range j.tasks {
		if t.state != taskWaiting {
			continue
		}
		best, room := s.choose(now, candidates, t)
		if best < 0 && !room && len(chosen) == 0 {
			s.unplaceable = append(s.unplaceable, j)
		}
		if best < 0 {
			undo()
			return false
		}
		chosen = append(chosen, best)
		candidates[best].free = candidates[best].free.Sub(j.Need)
	}
	s.sendTasks(now, j, candidates, chosen, fx)
	return true
}

// isUnplaceable reports whether a job needs no less than one for which no server
// had room earlier in this pass.
func (s *Scheduler) isUnplaceable(j *job) bool {
	for _, r := range s.unplaceable {
		if j.Route.Service == r.Route.Service && j.Route.Priority == r.Route.Priority && j.Need.Covers(r.Need) {
			return true
		}
	}
	return false
}

// choose returns the server for a task, or -1 if the task should wait, and
// whether any server has room for it.
func (s *Scheduler) choose(now time.Duration, candidates []candidate, t *task) (best int, room bool) {
	j := t.job
	s.eligible, s.evaluated = s.eligible[:0], s.evaluated[:0]
	for i := range candidates {
		c := &candidates[i]
		if c.service != j.Route.Service || !c.report.Capacity.Covers(j.Need) {
			continue
		}
		outlook := s.evaluate(c, t)
		room = room || outlook.Available
		s.eligible = append(s.eligible, i)
		s.evaluated = append(s.evaluated, outlook)
	}
	best = s.chooser.Choose(pollenfront.TaskTiming{
		JobStarted: j.sentAny, PastLatestStart: now >= j.latestStart, UntilDue: j.due - now - dispatchOverhead, UntilExpiry: j.expiry - now,
	}, s.evaluated)
	if best < 0 {
		return -1, room
	}
	return s.eligible[best], room
}

// sendTasks orders the waiting tasks of a job from the chosen servers.
func (s *Scheduler) sendTasks(now time.Duration, j *job, candidates []candidate, chosen []int, fx *Effects) {
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
		b.add(t)
	}
	for _, b := range batches {
		o := fx.commandsFor(s, b.agent)
		o.Starts = append(o.Starts, b.start)
		fx.Placements = append(fx.Placements, b.placement)
	}
	j.toPlace, j.sentAny = 0, true
}

// A batch is the tasks of a job that are sent to one agent.
type batch struct {
	agent     *agent
	placement Placement
	start     tasklink.StartCommand
}

// newBatch returns a batch without tasks.
func (s *Scheduler) newBatch(now time.Duration, j *job, c *candidate) *batch {
	a := c.agent
	return &batch{
		agent: a,
		placement: Placement{
			Agent: a.Name, Free: c.free.CPU, Job: j.ID, ReportAge: now - a.lastUpdate, Slowness: a.report.Slowness, Waited: now - j.arrived,
		},
		start: tasklink.StartCommand{
			AtMostOnce: j.AtMostOnce, Expected: int64(s.expectedRunOn(j, a)), Job: j.ID, Need: j.Need, Payload: j.Payload, Priority: j.Route.Priority,
			Service: a.service, Slack: int64(j.latestStart - now), Step: j.Step,
		},
	}
}

// add adds a task that is sent to its agent.
func (b *batch) add(t *task) {
	b.placement.Tasks++
	b.placement.Run = max(b.placement.Run, t.run.Number)
	b.start.Tasks = append(b.start.Tasks, tasklink.StartTask{Index: t.run.Index, Run: t.run.Number, SeqNum: t.agent.lastSeqNum})
}

// markTaskSent notes that a task is sent to an agent.
func (s *Scheduler) markTaskSent(now time.Duration, t *task, a *agent) {
	a.lastSeqNum++
	t.run.Number++
	t.job.trace.Runs++
	t.agent, t.state, t.sentAt, t.agentIncarnation = a, taskSent, now, a.Incarnation
	t.expectedRun = time.Duration(float64(s.expectedRunOn(t.job, a)) * max(1, a.report.Slowness))
	a.tasks[t.run] = t
	a.unreported = append(a.unreported, unreportedStart{need: t.job.Need, seqNum: a.lastSeqNum})
}
