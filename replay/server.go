package replay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// A serverNode is a model of a backend server.
type serverNode struct {
	acknowledged uint64
	dark         bool // It neither answers nor runs anything.
	ended        []pollenfront.EndedRun
	failing      bool // It fails all that it starts.
	fleet        *Fleet
	hanging      bool // What runs makes no progress.
	incarnation  uint64
	lateRate     float64 // Share of orders that are not answered and carried out later.
	lease        time.Duration
	number       uint64
	passed       map[pollenfront.TaskID]int // The highest run that was ended or stopped.
	rack         string
	room         pollenfront.Resources
	runs         map[pollenfront.TaskID]*serverRun
	speed        float64
	token        uint64
	waiter       func() // Answers the renewal that waits for an ending.
}

// A serverRun is a run on a server.
type serverRun struct {
	number  int // Of the start, in the whole fleet.
	over    bool
	run     pollenfront.RunID
	server  *serverNode
	started time.Duration
	work    time.Duration // Zero if it makes no progress.
}

// newServerNode returns a server with all its room free.
func newServerNode(f *Fleet, speed float64) *serverNode {
	return &serverNode{
		fleet: f, incarnation: 1, lateRate: f.settings.LateRate, passed: make(map[pollenfront.TaskID]int), room: pollenfront.Resources{CPU: serverCPU, Memory: serverMemory},
		runs: make(map[pollenfront.TaskID]*serverRun), speed: speed,
	}
}

// start carries out an order to start a run.
func (s *serverNode) start(order pollenfront.StartRequest) error {
	f := s.fleet
	id := order.Run.TaskID
	job := f.jobs[id.Job]
	switch {
	case order.Token < s.token:
		return pollenfront.ErrFenced
	case order.Lease <= f.now:
		return pollenfront.ErrLate
	case order.Run.Number <= s.passed[id]:
		return pollenfront.ErrRunSuperseded
	case s.runs[id] != nil:
		return nil
	case !s.free().Covers(job.need):
		return pollenfront.ErrNoCapacity
	}
	s.token = order.Token
	s.extend(order.Lease)
	r := &serverRun{run: order.Run, server: s, started: f.now}
	s.runs[id] = r
	f.result.Starts++
	r.number = f.result.Starts
	job.started = true
	if other := f.active[id]; other != nil {
		f.violated("task %v runs twice", id)
	}
	f.active[id] = r
	if s.hanging {
		return nil
	}
	ending := pollenfront.EndingDone
	if s.failing || job.kind.AlwaysFails {
		ending = pollenfront.EndingFailed
	}
	r.work = s.runTime(job)
	f.after(r.work, func() { s.end(r, ending) })
	return nil
}

// runTime returns how long a task of a job runs on the server.
func (s *serverNode) runTime(j *clientJob) time.Duration {
	work := time.Duration(float64(j.work) * s.speed)
	if j.kind.DataRack != "" && j.kind.DataRack != s.rack {
		return time.Duration(float64(work) * remoteFactor)
	}
	return work
}

// isLate draws whether an order is not answered and carried out later.
func (s *serverNode) isLate() bool {
	return s.fleet.random.Float64() < s.lateRate
}

// lateness draws the time after which such an order is carried out.
func (s *serverNode) lateness() time.Duration {
	return laterMin + time.Duration(s.fleet.random.Int64N(int64(laterSpread)))
}

// free returns the room that nothing uses.
func (s *serverNode) free() pollenfront.Resources {
	free := s.room
	for id := range s.runs {
		free = free.Sub(s.fleet.jobs[id.Job].need)
	}
	return free
}

// extend extends the lease, and ends everything if it lapses.
func (s *serverNode) extend(lease time.Duration) {
	if lease <= s.lease {
		return
	}
	s.lease = lease
	s.fleet.after(lease-s.fleet.now, func() {
		if s.fleet.now < s.lease {
			return
		}
		s.endAll()
	})
}

// end ends a run once.
func (s *serverNode) end(r *serverRun, ending pollenfront.Ending) {
	if r.over {
		return
	}
	r.over = true
	id := r.run.TaskID
	delete(s.runs, id)
	if s.fleet.active[id] == r {
		delete(s.fleet.active, id)
	}
	s.passed[id] = max(s.passed[id], r.run.Number)
	used := float64(s.fleet.jobs[id.Job].need.CPU) / 1000 * (s.fleet.now - r.started).Seconds()
	if ending == pollenfront.EndingDone {
		s.fleet.result.Used += used
	} else {
		s.fleet.result.Wasted += used
	}
	s.number++
	s.ended = append(s.ended, pollenfront.EndedRun{Ending: ending, Run: r.run, SeqNum: s.number})
	if s.waiter != nil {
		s.waiter()
	}
}

// stop carries out an order to stop a run.
func (s *serverNode) stop(run pollenfront.RunID, token uint64) error {
	if token < s.token {
		return pollenfront.ErrFenced
	}
	s.token = token
	s.passed[run.TaskID] = max(s.passed[run.TaskID], run.Number)
	if r := s.runs[run.TaskID]; r != nil && r.run.Number <= run.Number {
		s.fleet.after(10*time.Millisecond, func() { s.end(r, pollenfront.EndingStopped) })
	}
	return nil
}

// reply returns the answer to a renewal.
func (s *serverNode) reply() *pollenfront.RenewalResponse {
	reply := &pollenfront.RenewalResponse{Clock: s.fleet.now, Incarnation: s.incarnation}
	for _, e := range s.ended {
		if e.SeqNum > s.acknowledged {
			reply.Ended = append(reply.Ended, e)
		}
	}
	for _, r := range s.inOrder() {
		reply.Running = append(reply.Running, pollenfront.RunningRun{Percent: r.percent(s.fleet.now), Run: r.run})
	}
	return reply
}

// renew carries out an order to renew the lease and answers it.
func (s *serverNode) renew(order pollenfront.RenewalRequest, answer func(*pollenfront.RenewalResponse, error)) {
	if order.Token < s.token {
		answer(nil, pollenfront.ErrFenced)
		return
	}
	s.token = order.Token
	s.acknowledged = max(s.acknowledged, order.Acknowledged)
	s.extend(order.Lease)
	reply := s.reply()
	if len(reply.Ended) > 0 {
		answer(reply, nil)
		return
	}
	answered := false
	once := func() {
		if !answered {
			answered = true
			answer(s.reply(), nil)
		}
	}
	s.waiter = once
	s.fleet.after(order.Wait, once)
}

// inOrder returns the runs in the order in which they were started.
func (s *serverNode) inOrder() []*serverRun {
	return slices.SortedFunc(maps.Values(s.runs), func(a, b *serverRun) int { return cmp.Compare(a.number, b.number) })
}

// percent returns how much of its work a run has done.
func (r *serverRun) percent(now time.Duration) int {
	if r.work == 0 {
		return 0
	}
	return int(100 * (now - r.started) / r.work)
}

// endAll ends all runs.
func (s *serverNode) endAll() {
	for _, r := range s.inOrder() {
		s.end(r, pollenfront.EndingLost)
	}
}

// crash ends an incarnation of the server.
func (s *serverNode) crash() {
	s.endAll()
	s.incarnation++
	s.token, s.number, s.acknowledged, s.ended, s.lease, s.waiter = 0, 0, 0, nil, 0, nil
	clear(s.passed)
}
