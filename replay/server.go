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
	acknowledged       uint64
	answerRenewal      func() // Answers the renewal that waits for an ending.
	capacity           pollenfront.Resources
	delayedRequestRate float64 // Share of orders that are not answered and carried out later.
	endedRuns          []pollenfront.EndedRun
	failing            bool // It fails all that it starts.
	fleet              *Fleet
	hanging            bool // What runs makes no progress.
	incarnation        uint64
	lastSeqNum         uint64
	leaseExpiry        time.Duration
	rack               string
	runs               map[pollenfront.TaskID]*serverRun
	runTimeFactor      float64
	supersededRuns     map[pollenfront.TaskID]int // The highest run that was ended or stopped.
	token              uint64
	unavailable        bool // It neither answers nor runs anything.
}

// A serverRun is a run on a server.
type serverRun struct {
	ended     bool
	id        pollenfront.RunID
	runTime   time.Duration // Zero if it makes no progress.
	server    *serverNode
	startedAt time.Duration
	startNum  int // Of the start, in the whole fleet.
}

// newServerNode returns a server with all its room free.
func newServerNode(f *Fleet, speed float64) *serverNode {
	return &serverNode{
		capacity: pollenfront.Resources{CPU: serverCPU, Memory: serverMemory}, delayedRequestRate: f.settings.DelayedRequestRate, fleet: f, incarnation: 1,
		runs: make(map[pollenfront.TaskID]*serverRun), runTimeFactor: speed, supersededRuns: make(map[pollenfront.TaskID]int),
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
	case order.Run.Number <= s.supersededRuns[id]:
		return pollenfront.ErrRunSuperseded
	case s.runs[id] != nil:
		return nil
	case !s.free().Covers(job.need):
		return pollenfront.ErrNoCapacity
	}
	s.token = order.Token
	s.extendLease(order.Lease)
	r := &serverRun{id: order.Run, server: s, startedAt: f.now}
	s.runs[id] = r
	f.result.Starts++
	r.startNum = f.result.Starts
	job.started = true
	if other := f.activeRuns[id]; other != nil {
		f.recordViolation("task %v runs twice", id)
	}
	f.activeRuns[id] = r
	if s.hanging {
		return nil
	}
	ending := pollenfront.EndingDone
	if s.failing || job.kind.AlwaysFails {
		ending = pollenfront.EndingFailed
	}
	r.runTime = s.runTime(job)
	f.schedule(r.runTime, func() { s.endRun(r, ending) })
	return nil
}

// runTime returns how long a task of a job runs on the server.
func (s *serverNode) runTime(j *callerJob) time.Duration {
	work := time.Duration(float64(j.work) * s.runTimeFactor)
	if j.kind.DataRack != "" && j.kind.DataRack != s.rack {
		return time.Duration(float64(work) * remoteFactor)
	}
	return work
}

// drawDelayed draws whether an order is not answered and carried out later.
func (s *serverNode) drawDelayed() bool {
	return s.fleet.random.Float64() < s.delayedRequestRate
}

// drawDelay draws the time after which such an order is carried out.
func (s *serverNode) drawDelay() time.Duration {
	return minRequestDelay + time.Duration(s.fleet.random.Int64N(int64(requestDelayRange)))
}

// free returns the room that nothing uses.
func (s *serverNode) free() pollenfront.Resources {
	free := s.capacity
	for id := range s.runs {
		free = free.Sub(s.fleet.jobs[id.Job].need)
	}
	return free
}

// extendLease extends the lease, and ends everything if it lapses.
func (s *serverNode) extendLease(lease time.Duration) {
	if lease <= s.leaseExpiry {
		return
	}
	s.leaseExpiry = lease
	s.fleet.schedule(lease-s.fleet.now, func() {
		if s.fleet.now < s.leaseExpiry {
			return
		}
		s.endAllRuns()
	})
}

// endRun ends a run once.
func (s *serverNode) endRun(r *serverRun, ending pollenfront.Ending) {
	if r.ended {
		return
	}
	r.ended = true
	id := r.id.TaskID
	delete(s.runs, id)
	if s.fleet.activeRuns[id] == r {
		delete(s.fleet.activeRuns, id)
	}
	s.supersededRuns[id] = max(s.supersededRuns[id], r.id.Number)
	used := float64(s.fleet.jobs[id.Job].need.CPU) / 1000 * (s.fleet.now - r.startedAt).Seconds()
	if ending == pollenfront.EndingDone {
		s.fleet.result.UsefulCoreSeconds += used
	} else {
		s.fleet.result.WastedCoreSeconds += used
	}
	s.lastSeqNum++
	s.endedRuns = append(s.endedRuns, pollenfront.EndedRun{Ending: ending, Run: r.id, SeqNum: s.lastSeqNum})
	if s.answerRenewal != nil {
		s.answerRenewal()
	}
}

// stop carries out an order to stop a run.
func (s *serverNode) stop(run pollenfront.RunID, token uint64) error {
	if token < s.token {
		return pollenfront.ErrFenced
	}
	s.token = token
	s.supersededRuns[run.TaskID] = max(s.supersededRuns[run.TaskID], run.Number)
	if r := s.runs[run.TaskID]; r != nil && r.id.Number <= run.Number {
		s.fleet.schedule(10*time.Millisecond, func() { s.endRun(r, pollenfront.EndingStopped) })
	}
	return nil
}

// renewalResponse returns the answer to a renewal.
func (s *serverNode) renewalResponse() *pollenfront.RenewalResponse {
	reply := &pollenfront.RenewalResponse{Clock: s.fleet.now, Incarnation: s.incarnation}
	for _, e := range s.endedRuns {
		if e.SeqNum > s.acknowledged {
			reply.Ended = append(reply.Ended, e)
		}
	}
	for _, r := range s.runsByStart() {
		reply.Running = append(reply.Running, pollenfront.RunningRun{Percent: r.percentDone(s.fleet.now), Run: r.id})
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
	s.extendLease(order.Lease)
	reply := s.renewalResponse()
	if len(reply.Ended) > 0 {
		answer(reply, nil)
		return
	}
	answered := false
	once := func() {
		if !answered {
			answered = true
			answer(s.renewalResponse(), nil)
		}
	}
	s.answerRenewal = once
	s.fleet.schedule(order.Wait, once)
}

// runsByStart returns the runs in the order in which they were started.
func (s *serverNode) runsByStart() []*serverRun {
	return slices.SortedFunc(maps.Values(s.runs), func(a, b *serverRun) int { return cmp.Compare(a.startNum, b.startNum) })
}

// percentDone returns how much of its work a run has done.
func (r *serverRun) percentDone(now time.Duration) int {
	if r.runTime == 0 {
		return 0
	}
	return int(100 * (now - r.startedAt) / r.runTime)
}

// endAllRuns ends all runs.
func (s *serverNode) endAllRuns() {
	for _, r := range s.runsByStart() {
		s.endRun(r, pollenfront.EndingLost)
	}
}

// crash ends an incarnation of the server.
func (s *serverNode) crash() {
	s.endAllRuns()
	s.incarnation++
	s.token, s.lastSeqNum, s.acknowledged, s.endedRuns, s.leaseExpiry, s.answerRenewal = 0, 0, 0, nil, 0, nil
	clear(s.supersededRuns)
}
