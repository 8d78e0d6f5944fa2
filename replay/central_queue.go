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
	*clientJob

	left    int           // Tasks that have not been done.
	latest  time.Duration // Latest start with which it is in time.
	toStart int
}

// newCentralQueue returns an empty queue.
func newCentralQueue(f *Fleet) *centralQueue {
	return &centralQueue{fleet: f}
}

// submit takes a job.
func (q *centralQueue) submit(j *clientJob) {
	fastest := time.Duration(float64(j.work) * slices.Min(q.fleet.settings.Speeds))
	c := &centralJob{clientJob: j, latest: j.due() - fastest, left: j.tasks, toStart: j.tasks}
	q.wait(c)
	q.dispatch()
	q.fleet.after(c.latest-q.fleet.now+1, q.dispatch)
}

// wait puts a job with tasks to be started into the queue.
func (q *centralQueue) wait(c *centralJob) {
	i, _ := slices.BinarySearchFunc(q.waiting, c, func(a, b *centralJob) int { return cmp.Compare(a.latest, b.latest) })
	q.waiting = slices.Insert(q.waiting, i, c)
}

// dispatch starts what it can and refuses what can't be in time.
func (q *centralQueue) dispatch() {
	q.waiting = slices.DeleteFunc(q.waiting, func(c *centralJob) bool {
		if c.latest < q.fleet.now {
			q.refuse(c)
			return true
		}
		for c.toStart > 0 && q.startOne(c) {
			c.toStart--
		}
		return c.toStart == 0
	})
}

// refuse gives up a job. What runs of it goes on.
func (q *centralQueue) refuse(c *centralJob) {
	c.done = true
	q.fleet.count(q.fleet.result.Refused, c.clientJob)
}

// startOne starts a task on the server that finishes it soonest, if any
// finishes it in time.
func (q *centralQueue) startOne(c *centralJob) bool {
	var best *serverNode
	soonest := c.due() - q.fleet.now
	for _, a := range q.fleet.agents {
		s := a.server
		if s.dark || s.failing || s.hanging || !s.free().Covers(c.need) {
			continue
		}
		if run := s.runTime(c.clientJob); run <= soonest {
			best, soonest = s, run
		}
	}
	if best == nil {
		return false
	}
	q.run(c, best, soonest)
	return true
}

// run runs a task on a server.
func (q *centralQueue) run(c *centralJob, s *serverNode, work time.Duration) {
	f := q.fleet
	f.result.Starts++
	id := pollenfront.TaskID{Index: f.result.Starts, Job: c.id}
	r := &serverRun{run: pollenfront.RunID{Number: 1, TaskID: id}, server: s, started: f.now, work: work}
	s.runs[id] = r
	f.after(work, func() {
		lost := r.over // The server crashed meanwhile.
		s.end(r, pollenfront.EndingDone)
		q.ended(c, lost)
		q.dispatch()
	})
}

// ended takes the end of a task of a job.
func (q *centralQueue) ended(c *centralJob, lost bool) {
	switch {
	case c.done:
	case lost && c.toStart == 0:
		c.toStart++
		q.wait(c)
	case lost:
		c.toStart++
	case c.left > 1:
		c.left--
	default:
		q.fleet.completed(c.clientJob)
	}
}
