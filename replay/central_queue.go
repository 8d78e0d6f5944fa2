package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// A centralQueue is the limit that policies are compared with: one queue that
// knows all servers, their faults and the work of each job without delay. It
// serves the job with the earliest latest start first, on the servers that
// finish it soonest, and refuses a job when it can't be in time any more.
type centralQueue struct {
	fleet   *Fleet
	waiting []*centralJob // The one with the earliest latest start first.
}

// A centralJob is a job in the central queue.
type centralJob struct {
	*callerJob

	latestStart time.Duration // Latest start with which it is in time.
	unfinished  int           // Tasks that have not been done.
	unstarted   int
}

// newCentralQueue returns an empty queue.
func newCentralQueue(f *Fleet) *centralQueue {
	return &centralQueue{fleet: f}
}

// submit takes a job.
func (q *centralQueue) submit(j *callerJob) {
	fastest := time.Duration(float64(j.work) * slices.Min(q.fleet.settings.RunTimeFactors))
	c := &centralJob{callerJob: j, latestStart: j.due() - fastest, unfinished: j.taskCount, unstarted: j.taskCount}
	q.enqueue(c)
	q.dispatch()
	q.fleet.schedule(c.latestStart-q.fleet.now+1, q.dispatch)
}

// enqueue puts a job with tasks to be started into the queue.
func (q *centralQueue) enqueue(c *centralJob) {
	i, _ := slices.BinarySearchFunc(q.waiting, c, func(a, b *centralJob) int { return cmp.Compare(a.latestStart, b.latestStart) })
	q.waiting = slices.Insert(q.waiting, i, c)
}

// dispatch starts what it can and refuses what can't be in time.
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

// refuse gives up a job. What runs of it goes on.
func (q *centralQueue) refuse(c *centralJob) {
	c.done = true
	q.fleet.countJob(q.fleet.result.Refused, c.callerJob)
}

// startTask starts a task on the server that finishes it soonest, if any
// finishes it in time.
func (q *centralQueue) startTask(c *centralJob) bool {
	var best *serverNode
	soonest := c.due() - q.fleet.now
	for _, a := range q.fleet.agents {
		s := a.server
		if s.unavailable || s.failing || s.hanging || !s.free().Covers(c.need) {
			continue
		}
		if run := s.runTime(c.callerJob); run <= soonest {
			best, soonest = s, run
		}
	}
	if best == nil {
		return false
	}
	q.runTask(c, best, soonest)
	return true
}

// runTask runs a task on a server.
func (q *centralQueue) runTask(c *centralJob, s *serverNode, work time.Duration) {
	f := q.fleet
	f.result.Starts++
	id := pollenfront.TaskID{Index: f.result.Starts, Job: c.id}
	r := &serverRun{id: pollenfront.RunID{Number: 1, TaskID: id}, runTime: work, server: s, startedAt: f.now}
	s.runs[id] = r
	f.schedule(work, func() {
		lost := r.ended // The server crashed meanwhile.
		s.endRun(r, pollenfront.EndingDone)
		q.handleTaskEnd(c, lost)
		q.dispatch()
	})
}

// handleTaskEnd takes the end of a task of a job.
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
