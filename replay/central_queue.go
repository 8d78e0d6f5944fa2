package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// A centralQueue is the clairvoyant policy, the limit that other policies are compared
// with. It knows all servers, their faults and the work of each job without delay. It
// serves the job with the earliest latest start first, on the servers that finish it
// soonest, and refuses a job as soon as it can't be on time.
type centralQueue struct {
	fleet   *Fleet
	waiting []*centralJob // waiting is sorted by latest start.
}

// A centralJob is a job of the central queue.
type centralJob struct {
	*callerJob

	latestStart time.Duration
	unfinished  int // unfinished is the number of tasks that are not done.
	unstarted   int // unstarted is the number of tasks that are to be started.
}

// newCentralQueue returns an empty queue for a fleet.
func newCentralQueue(f *Fleet) *centralQueue {
	return &centralQueue{fleet: f}
}

// submit enqueues a new job and dispatches at once. It dispatches again when the latest
// start has passed, to refuse the job if it still waits.
func (q *centralQueue) submit(j *callerJob) {
	// The slowest task decides: if no server finishes it on time, the job is refused at once.
	fastestRunTime := time.Duration(float64(j.work) * q.fleet.maxTaskFactor(j) * slices.Min(q.fleet.settings.RunTimeFactors))
	c := &centralJob{callerJob: j, latestStart: j.due() - fastestRunTime, unfinished: j.taskCount, unstarted: j.taskCount}
	q.enqueue(c)
	q.dispatch()
	q.fleet.schedule(c.latestStart-q.fleet.now+1, q.dispatch)
}

// enqueue adds a job with unstarted tasks to the queue.
func (q *centralQueue) enqueue(c *centralJob) {
	i, _ := slices.BinarySearchFunc(q.waiting, c, func(a, b *centralJob) int { return cmp.Compare(a.latestStart, b.latestStart) })
	q.waiting = slices.Insert(q.waiting, i, c)
}

// dispatch starts the tasks for which there are servers and refuses the jobs that
// can't be on time.
func (q *centralQueue) dispatch() {
	q.waiting = slices.DeleteFunc(q.waiting, func(c *centralJob) bool {
		if c.latestStart < q.fleet.now {
			q.refuse(c)
			return true
		}
		for c.unstarted > 0 && q.startTask(c) {
			c.unstarted--
		}
		return c.unstarted == 0
	})
}

// refuse refuses a job. Its running tasks continue.
func (q *centralQueue) refuse(c *centralJob) {
	c.done, c.outcome = true, outcomeRefused
	q.fleet.countJob(q.fleet.result.Refused, c.callerJob)
	q.fleet.entryCounts(c.callerJob).Refused++
}

// startTask starts a task on the server that finishes it soonest. It returns false if
// no server finishes it on time.
func (q *centralQueue) startTask(c *centralJob) bool {
	var best *serverNode
	soonest := c.due() - q.fleet.now
	for _, a := range q.fleet.agents {
		s := a.server
		if s.unavailable || s.failing || s.hanging || !s.free().Covers(c.need) {
			continue
		}
		if runTime := s.runTime(c.callerJob, c.unstarted-1); runTime <= soonest {
			best, soonest = s, runTime
		}
	}
	if best == nil {
		return false
	}
	q.runTask(c, best, soonest)
	return true
}

// runTask runs a task on a server. The task ID has the number of the start as its
// index, so that every run has its own ID.
func (q *centralQueue) runTask(c *centralJob, s *serverNode, runTime time.Duration) {
	f := q.fleet
	f.result.Starts++
	id := pollenfront.TaskID{Index: f.result.Starts, Job: c.id}
	r := &serverRun{id: pollenfront.RunID{Number: 1, TaskID: id}, runTime: runTime, server: s, startedAt: f.now}
	s.runs[id] = r
	f.schedule(runTime, func() {
		lost := r.ended // Only a crash of the server ends a run early.
		s.endRun(r, pollenfront.EndingDone)
		q.handleTaskEnd(c, lost)
		q.dispatch()
	})
}

// handleTaskEnd handles the end of a task. A lost task is started again.
func (q *centralQueue) handleTaskEnd(c *centralJob, lost bool) {
	switch {
	case c.done:
	case lost && c.unstarted == 0:
		c.unstarted++
		q.enqueue(c)
	case lost:
		c.unstarted++
	case c.unfinished > 1:
		c.unfinished--
	default:
		q.fleet.recordCompletion(c.callerJob)
	}
}
