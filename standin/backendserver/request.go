package backendserver

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"
)

// A request is the body of a start, stop or renewal request.
type request struct {
	AckCursor  uint64 `json:"ack-cursor"`
	DeadlineMS int64  `json:"deadline-ms"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Task       string `json:"task"`
	Token      uint64 `json:"fencing-token"`
	WaitMS     int64  `json:"wait-ms"`

	// received is the time at which the server received the request.
	received time.Time
}

// key returns the key of the run that the request names.
func (r *request) key() runKey {
	return runKey{number: r.Run, task: r.Task}
}

// A payload is the payload of a task for the stand-in. Work is the run time on a
// server of normal speed, as a duration such as "60ms". CrashMS is the time in
// milliseconds after which the task crashes its server; with zero it does not.
type payload struct {
	CPU     int    `json:"cpu"`
	CrashMS int    `json:"crash-ms"`
	Work    string `json:"work"`
}

// A response is the body of the response to any request.
type response struct {
	Incarnation int64 `json:"born"`
	ClockMS     int64 `json:"clock-ms"`

	// Finished has the runs that have ended, each in the form
	// [sequence number, task, run, ending, checkpoint].
	Finished []any `json:"finished,omitempty"`

	// Reason is the reason for a refusal; it is empty if the request was accepted.
	Reason string `json:"reason,omitempty"`

	// Running has the runs in progress, each in the form
	// [task, run, checkpoint, percent, …].
	Running []any `json:"running,omitempty"`
}

// handle returns a handler for start or stop requests. It calls execute with mu
// held; execute carries out a request and returns the reason for a refusal or "".
// late and lost return the shares of these requests that get no response, from 0 to 1:
// those that are carried out later, and of the others those that never are.
func (s *Server) handle(execute func(req *request) string, late, lost func(Fault) float64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req request
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		req.received = time.Now()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.abortWhileDown()
		s.delay(late(s.fault), func() { execute(&req) })
		if rand.Float64() < lost(s.fault) { //nolint:gosec // Not for secrets.
			panic(http.ErrAbortHandler)
		}
		reason := execute(&req)
		status := http.StatusOK
		if reason != "" {
			status = http.StatusConflict
		}
		s.writeResponse(w, status, response{Reason: reason})
	}
}

// abortWhileDown aborts the handling of a request that reached the process before it
// ended. The caller holds mu.
func (s *Server) abortWhileDown() {
	if s.down {
		panic(http.ErrAbortHandler)
	}
}

// delay leaves a share of the requests, from 0 to 1, without a response: it aborts the
// handler and has execute called some seconds later, with mu held. By then another
// incarnation may be up; a request that arrives while none is has no effect. The caller
// holds mu.
func (s *Server) delay(share float64, execute func()) {
	if rand.Float64() >= share { //nolint:gosec // Not for secrets.
		return
	}
	delay := minLateDelay + time.Duration(rand.Int64N(int64(lateDelaySpread))) //nolint:gosec // Not for secrets.
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.down {
			execute()
		}
	})
	panic(http.ErrAbortHandler)
}

// start carries out a start request and returns the reason for a refusal or "".
// The caller holds mu.
func (s *Server) start(req *request) string {
	var p payload
	if err := json.Unmarshal([]byte(req.Spec), &p); err != nil {
		return "payload"
	}
	work, err := time.ParseDuration(p.Work)
	if err != nil {
		return "payload"
	}
	if req.Token < s.token {
		return "fence"
	}
	s.token = req.Token
	if req.DeadlineMS <= s.clockMS() {
		return "late"
	}
	s.extendLease(req.DeadlineMS) // Refusals as old or for lack of room extend it, too.
	switch {
	case req.Run <= s.superseded[req.Task]:
		return "old"
	case s.runs[req.key()] != nil:
		return ""
	case s.usedCPU()+p.CPU > s.options.CPU:
		return "room"
	}
	r := s.startRun(req, p.CPU, work)
	if p.CrashMS > 0 {
		time.AfterFunc(time.Duration(p.CrashMS)*time.Millisecond, func() { s.crashUnder(r) })
	}
	return ""
}

// startRun starts a run. With the fault Hangs it never ends by itself, and with
// Fails it ends as failed. The caller holds mu.
func (s *Server) startRun(req *request, cpu int, work time.Duration) *run {
	r := &run{cpu: cpu, key: req.key(), started: time.Now()}
	s.runs[r.key] = r
	s.options.Observer.RunStarted(req.Task, s.options.Name, req.received)
	if s.fault.Hangs {
		return r
	}
	ending := "done"
	if s.fault.Fails {
		ending = "failed"
	}
	r.work = time.Duration(float64(work) * s.options.RunTimeFactor * max(1, s.fault.Slow))
	r.timer = time.AfterFunc(r.work, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endRun(r, ending)
	})
	return r
}

// usedCPU returns the CPU of all runs, in thousandths of a core. The caller holds
// mu.
func (s *Server) usedCPU() int {
	used := 0
	for _, r := range s.runs {
		used += r.cpu
	}
	return used
}

// extendLease extends the lease to a deadline on the server's clock, but at most
// by maxLease from now. All runs end when the lease expires, also if the timer is late, so that
// an expired lease is not extended. The caller holds mu.
func (s *Server) extendLease(deadlineMS int64) {
	if time.Now().After(s.lease) {
		s.endAllRuns()
	}
	lease := s.startTime.Add(time.Duration(deadlineMS) * time.Millisecond)
	if latest := time.Now().Add(maxLease); lease.After(latest) {
		lease = latest
	}
	if !lease.After(s.lease) {
		return
	}
	s.lease = lease
	time.AfterFunc(time.Until(lease), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if time.Now().Before(s.lease) {
			return
		}
		s.endAllRuns()
	})
}

// endRun ends a run, records its ending for renewals and wakes waiting renewals.
// It does nothing if the run has ended already. The caller holds mu.
func (s *Server) endRun(r *run, ending string) {
	task, number := r.key.task, r.key.number
	if s.runs[r.key] != r {
		return
	}
	delete(s.runs, r.key)
	if r.timer != nil {
		r.timer.Stop()
	}
	s.superseded[task] = max(s.superseded[task], number)
	s.lastSeqNum++
	s.endedRuns = append(s.endedRuns, []any{s.lastSeqNum, task, number, ending, ""})
	s.options.Observer.RunEnded(task, s.options.Name, ending)
	close(s.runEnded)
	s.runEnded = make(chan struct{})
}

// endAllRuns ends all runs as lapsed. The caller holds mu.
func (s *Server) endAllRuns() {
	for _, r := range s.runs {
		s.endRun(r, "lapsed")
	}
}

// stop carries out a stop request and returns the reason for a refusal or "". The
// run ends after stopDelay. Later requests to start it, or an earlier run of the
// task, are refused. The caller holds mu.
func (s *Server) stop(req *request) string {
	if req.Token < s.token {
		return "fence"
	}
	s.token = req.Token
	s.superseded[req.Task] = max(s.superseded[req.Task], req.Run)
	for key, r := range s.runs {
		if key.task != req.Task || key.number > req.Run {
			continue
		}
		time.AfterFunc(stopDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.endRun(r, "stopped")
		})
	}
	return ""
}

// renew handles renewal requests: it extends the lease, discards the endings that
// are acknowledged, and responds with the runs and the endings. If there is no
// ending, it waits for one, up to wait-ms.
func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	runEnded, accepted := s.acceptRenewal(w, &req)
	if !accepted {
		return
	}
	if runEnded != nil {
		select {
		case <-runEnded:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(req.WaitMS) * time.Millisecond):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortWhileDown()
	resp := response{Finished: s.endedRuns}
	for key, r := range s.runs {
		percent := 0
		if r.work > 0 {
			percent = int(100 * time.Since(r.started) / r.work)
		}
		resp.Running = append(resp.Running, []any{key.task, key.number, "", percent, 0})
	}
	s.writeResponse(w, http.StatusOK, resp)
}

// acceptRenewal carries out a renewal request and reports whether it was accepted; if not,
// it writes the response. If the response must wait for the end of a run, runEnded is
// closed then; otherwise it is nil.
func (s *Server) acceptRenewal(w http.ResponseWriter, req *request) (runEnded chan struct{}, accepted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortWhileDown()
	s.delay(s.fault.LateRenewalRate, func() { s.applyRenewal(req) })
	if !s.applyRenewal(req) {
		s.writeResponse(w, http.StatusConflict, response{Reason: "fence"})
		return nil, false
	}
	if len(s.endedRuns) == 0 && req.WaitMS > 0 {
		runEnded = s.runEnded
	}
	return runEnded, true
}

// applyRenewal extends the lease and discards the endings that are acknowledged. It reports
// whether the request was accepted, and not fenced. The caller holds mu.
func (s *Server) applyRenewal(req *request) bool {
	if req.Token < s.token {
		return false
	}
	s.token = req.Token
	if req.DeadlineMS > 0 {
		s.extendLease(req.DeadlineMS)
	}
	for s.acknowledged < req.AckCursor && len(s.endedRuns) > 0 {
		s.acknowledged++
		s.endedRuns = s.endedRuns[1:]
	}
	return true
}

// writeResponse writes a response, with the incarnation and clock of the server.
// The caller holds mu.
func (s *Server) writeResponse(w http.ResponseWriter, status int, resp response) {
	resp.Incarnation, resp.ClockMS = s.born, s.clockMS()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(resp)
}
