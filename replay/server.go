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
	abortRenewal        func()                // abortRenewal breaks the connection of the pending renewal. Further calls do nothing.
	acknowledged        uint64                // acknowledged is the sequence number up to which the agent has acknowledged ended runs.
	announcementSeqNum  uint64                // announcementSeqNum numbers the announcements of the incarnation.
	announce            func()                // announce announces the server to its agent.
	bootedAt            time.Duration         // bootedAt is when the clock of the incarnation was zero.
	capacity            pollenfront.Resources // capacity is what the server announces.
	capacityFactor      float64               // capacityFactor is the share of the capacity that the server really provides.
	delayingAnswers     int                   // delayingAnswers counts the faults that make responses arrive late.
	clockRate           float64               // clockRate is how fast the server's clock runs.
	deregister          func()                // deregister tells the agent that the server shuts down.
	delayedRequestShare float64               // delayedRequestShare is the share of requests that are carried out seconds later and get no response.
	draining            bool                  // draining is whether the server announces that it takes no new tasks.
	endedRuns           []pollenfront.EndedRun
	failedTasks         map[pollenfront.TaskID]bool // failedTasks are the tasks of which a run has failed on the server.
	failing             bool                        // failing makes new runs fail.
	failShare           float64                     // failShare is the share of new runs that fail shortly after their start.
	fleet               *Fleet
	hanging             bool                          // hanging makes new runs hang: they make no progress and do not end by themselves.
	heldUntil           map[RequestKind]time.Duration // heldUntil holds when requests that are sent now are carried out, by kind.
	incarnation         uint64                        // incarnation is what the server states: the time of day at its start, in milliseconds.
	kindCounts          map[string]int                // kindCounts holds the number of runs by kind, if interference is injected.
	lastEnd             time.Duration                 // lastEnd is the time when a run last ended.
	lastSeqNum          uint64                        // lastSeqNum is the sequence number of the last ended run.
	leaseExpiry         time.Duration                 // leaseExpiry is the time on the server's clock when all runs end, unless the lease is extended.
	leaving             bool                          // leaving is set while the server goes on after its notice that it shuts down.
	losingStops         int                           // losingStops counts the faults that make requests to stop runs get lost.
	lifetime            int                           // lifetime numbers the incarnations in the order of their starts.
	listenerClosed      int                           // listenerClosed counts the faults that make the server refuse connections while its runs go on.
	lostAnswerShare     float64                       // lostAnswerShare is the share of requests that are carried out at once and get no response.
	rack                string
	rejectedStarts      int    // rejectedStarts is the number of starts that were rejected because they did not fit.
	refusing            bool   // refusing is set while the server's process does not run, so that connections are refused.
	respondToRenewal    func() // respondToRenewal sends the response to the pending renewal. Further calls do nothing.
	runs                map[pollenfront.TaskID]*serverRun
	runTimeFactor       float64                    // runTimeFactor multiplies the work of tasks.
	supersededRuns      map[pollenfront.TaskID]int // supersededRuns holds the highest run number that has ended or was stopped.
	timeOfDayStep       time.Duration              // timeOfDayStep is by how much the server's time of day has been set ahead.
	token               uint64                     // token is the highest fencing token received.
	unenforced          bool                       // unenforced is set if the server carries out starts that exceed its capacity.
	unavailable         bool                       // unavailable is set while the server runs nothing and does not respond.
}

// A serverRun is a run on a server.
type serverRun struct {
	adapted   time.Duration // adapted is when factor last changed.
	end       func()        // end ends the run. It is nil unless interference is injected.
	endEpoch  int           // endEpoch numbers the scheduled ends, of which only the last counts.
	ended     bool
	factor    float64 // factor is the present factor of interference.
	id        pollenfront.RunID
	remaining time.Duration // remaining is the run time without interference that was left when factor last changed.
	runTime   time.Duration // runTime is zero for a run that makes no progress.
	server    *serverNode
	startedAt time.Duration
	startNum  int // startNum is the position among all starts in the fleet.
}

// newServerNode returns a server without runs.
func newServerNode(f *Fleet, runTimeFactor, clockRate float64) *serverNode {
	s := &serverNode{
		capacity: pollenfront.Resources{CPU: serverCPU, Memory: serverMemory}, capacityFactor: 1, clockRate: clockRate, delayedRequestShare: f.settings.DelayedRequestShare,
		failedTasks: make(map[pollenfront.TaskID]bool), fleet: f, heldUntil: make(map[RequestKind]time.Duration), kindCounts: make(map[string]int),
		runs: make(map[pollenfront.TaskID]*serverRun), runTimeFactor: runTimeFactor, supersededRuns: make(map[pollenfront.TaskID]int),
	}
	s.boot()
	s.bootedAt -= initialUptime
	return s
}

// start carries out a request to start a run, with the checks of a backend server.
func (s *serverNode) start(request pollenfront.StartRequest) error {
	f := s.fleet
	id := request.Run.TaskID
	job := f.jobs[id.Job]
	switch {
	case request.Token < s.token:
		return pollenfront.ErrFenced
	case request.LeaseExpiry <= s.clock():
		return pollenfront.ErrLate
	}
	s.token = request.Token
	s.extendLease(request.LeaseExpiry) // A server also does so if it rejects the start for one of the reasons below.
	switch {
	case request.Run.Number <= s.supersededRuns[id]:
		return pollenfront.ErrRunSuperseded
	case s.runs[id] != nil:
		if s.runs[id].id != request.Run {
			f.recordViolation("task %v is started while another run of it is on the same server", id)
		}
		return nil
	case !s.admits(job.need):
		return pollenfront.ErrNoCapacity
	}
	r := &serverRun{id: request.Run, server: s, startedAt: f.now}
	s.runs[id] = r
	f.result.Starts++
	r.startNum = f.result.Starts
	job.started = true
	f.checkStartAfterCancel(job)
	if other := f.activeRuns[id]; other != nil {
		f.recordViolation("task %v runs twice at the same time", id)
	}
	f.activeRuns[id] = r
	s.changeKindCount(r, 1)
	s.recordStart(id)
	s.recordAttempt(id)
	f.recordEvent(HistoryEvent{Job: id.Job, Kind: RunStarted, Task: id.Index})
	if s.hanging {
		return nil
	}
	ending := pollenfront.EndingDone
	if s.failing || job.kind.AlwaysFails {
		ending = pollenfront.EndingFailed
	}
	r.runTime = s.runTime(job, id.Index)
	if after, fails := s.drawFailure(); fails {
		r.runTime, ending = min(r.runTime, after), pollenfront.EndingFailed
	}
	if job.kind.CrashesAfter > 0 && id.Index == 0 {
		f.schedule(min(job.kind.CrashesAfter, r.runTime), func() { s.crashUnder(r) })
	}
	s.scheduleEnd(r, func() { s.endRun(r, ending) })
	return nil
}

// runTime returns the run time of the task of a job with an index on the server.
func (s *serverNode) runTime(j *callerJob, index int) time.Duration {
	localRunTime := time.Duration(float64(j.work) * s.runTimeFactor * s.fleet.taskFactor(j, index))
	if j.kind.DataRack != "" && j.kind.DataRack != s.rack {
		return time.Duration(float64(localRunTime) * remoteFactor)
	}
	return localRunTime
}

// drawDelayed draws whether a request is delayed.
func (s *serverNode) drawDelayed() bool {
	return s.fleet.random.Float64() < s.delayedRequestShare
}

// drawLost draws whether the response to a request is lost.
func (s *serverNode) drawLost() bool {
	return s.lostAnswerShare > 0 && s.fleet.random.Float64() < s.lostAnswerShare
}

// requestDelay returns after which time a request that is sent now is carried out, if it is
// delayed.
func (s *serverNode) requestDelay(kind RequestKind) (delay time.Duration, delayed bool) {
	if until, ok := s.heldUntil[kind]; ok {
		return until - s.fleet.now, true
	}
	if s.drawDelayed() {
		return s.drawDelay(), true
	}
	return 0, false
}

// drawDelay draws the time after which a delayed request is carried out.
func (s *serverNode) drawDelay() time.Duration {
	return minRequestDelay + time.Duration(s.fleet.random.Int64N(int64(requestDelayRange)))
}

// free returns the free resources.
func (s *serverNode) free() pollenfront.Resources {
	free := s.providedCapacity()
	for id := range s.runs {
		free = free.Sub(s.fleet.jobs[id.Job].need)
	}
	return free
}

// extendLease extends the lease, by at most maxLease, and ends all runs if it expires.
func (s *serverNode) extendLease(expiry time.Duration) {
	expiry = min(expiry, s.clock()+maxLease)
	if expiry <= s.leaseExpiry {
		return
	}
	s.leaseExpiry = expiry
	lifetime, left := s.lifetime, time.Duration(float64(expiry-s.clock())/s.clockRate)
	s.fleet.schedule(left, func() {
		if s.lifetime == lifetime && s.leaseExpiry == expiry {
			s.expireRuns()
		}
	})
}

// endRun ends a run and records its ending for the next renewal. It does nothing if
// the run has ended.
func (s *serverNode) endRun(r *serverRun, ending pollenfront.Ending) {
	if r.ended {
		return
	}
	r.ended = true
	id := r.id.TaskID
	delete(s.runs, id)
	s.changeKindCount(r, -1)
	if s.fleet.activeRuns[id] == r {
		delete(s.fleet.activeRuns, id)
	}
	s.fleet.recordEvent(HistoryEvent{Ending: ending, Job: id.Job, Kind: RunEnded, Task: id.Index})
	s.supersededRuns[id] = max(s.supersededRuns[id], r.id.Number)
	if ending == pollenfront.EndingFailed {
		s.failedTasks[id] = true
	}
	coreSeconds := float64(s.fleet.jobs[id.Job].need.CPU) / 1000 * (s.fleet.now - r.startedAt).Seconds()
	if ending == pollenfront.EndingDone {
		s.fleet.result.UsefulCoreSeconds += coreSeconds
	} else {
		s.fleet.result.WastedCoreSeconds += coreSeconds
	}
	s.lastEnd = s.fleet.now
	s.lastSeqNum++
	s.endedRuns = append(s.endedRuns, pollenfront.EndedRun{Ending: ending, Run: r.id, SeqNum: s.lastSeqNum})
	if s.respondToRenewal != nil {
		s.respondToRenewal()
	}
}

// stop carries out a request to stop a run and all earlier runs of its task. Later
// starts of these are refused as superseded.
func (s *serverNode) stop(run pollenfront.RunID, token uint64) error {
	if token < s.token {
		return pollenfront.ErrFenced
	}
	s.token = token
	s.supersededRuns[run.TaskID] = max(s.supersededRuns[run.TaskID], run.Number)
	if r := s.runs[run.TaskID]; r != nil && r.id.Number <= run.Number {
		s.endSlowly(r, stopTime, pollenfront.EndingStopped)
	}
	return nil
}

// renewalResponse returns the response to a renewal: the ended runs that the agent has
// not acknowledged and the runs in progress.
func (s *serverNode) renewalResponse() *pollenfront.RenewalResponse {
	response := &pollenfront.RenewalResponse{Clock: s.clock(), Incarnation: s.incarnation}
	for _, e := range s.endedRuns {
		if e.SeqNum > s.acknowledged {
			response.Ended = append(response.Ended, e)
		}
	}
	for _, r := range s.runsByStart() {
		response.Running = append(response.Running, pollenfront.RunningRun{Percent: r.percentDone(s.fleet.now), Run: r.id})
	}
	return response
}

// renew carries out a request to renew the lease. It responds at once if there are
// ended runs to report. Otherwise it waits until a run ends, for at most request.Wait.
func (s *serverNode) renew(request pollenfront.RenewalRequest, respond func(*pollenfront.RenewalResponse, error)) {
	if request.Token < s.token {
		respond(nil, pollenfront.ErrFenced)
		return
	}
	s.token = request.Token
	s.acknowledged = max(s.acknowledged, request.AcknowledgedSeqNum)
	s.extendLease(request.LeaseExpiry)
	response := s.renewalResponse()
	if len(response.Ended) > 0 {
		respond(response, nil)
		return
	}
	responded, lifetime := false, s.lifetime
	respondOnce := func() {
		if !responded && s.lifetime == lifetime {
			responded = true
			respond(s.renewalResponse(), nil)
		}
	}
	s.respondToRenewal = respondOnce
	s.abortRenewal = func() {
		if !responded {
			responded = true
			respond(nil, errNoResponse)
		}
	}
	s.fleet.schedule(request.Wait, respondOnce)
}

// runsByStart returns the runs in the order of their starts, so that results do not
// depend on the order of the map.
func (s *serverNode) runsByStart() []*serverRun {
	return slices.SortedFunc(maps.Values(s.runs), func(a, b *serverRun) int { return cmp.Compare(a.startNum, b.startNum) })
}

// percentDone returns the progress of the run in percent.
func (r *serverRun) percentDone(now time.Duration) int {
	if r.runTime == 0 {
		return 0
	}
	if r.end != nil {
		return r.interferedPercent(now)
	}
	return int(100 * (now - r.startedAt) / r.runTime)
}

// endAllRuns ends all runs as lost.
func (s *serverNode) endAllRuns() {
	for _, r := range s.runsByStart() {
		s.endRun(r, pollenfront.EndingLost)
	}
}

// crash ends all runs as lost without telling the agent. The next incarnation starts without
// the state of this one.
func (s *serverNode) crash() {
	s.respondToRenewal, s.abortRenewal = nil, nil
	s.endAllRuns()
	s.lifetime++
	s.token, s.lastSeqNum, s.acknowledged, s.endedRuns, s.leaseExpiry, s.announcementSeqNum = 0, 0, 0, nil, 0, 0
	clear(s.supersededRuns)
}
