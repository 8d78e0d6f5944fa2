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
// With the fault LateRate some requests get no response and are carried out
// later, unless the server has restarted in the meantime.
func (s *Server) handle(execute func(req *request) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req request
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if rand.Float64() < s.fault.LateRate { //nolint:gosec // Not for secrets.
			delay := minLateDelay + time.Duration(rand.Int64N(int64(lateDelaySpread))) //nolint:gosec // Not for secrets.
			startTime := s.startTime
			time.AfterFunc(delay, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.startTime.Equal(startTime) {
					execute(&req)
				}
			})
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
	switch {
	case req.Token < s.token:
		return "fence"
	case req.DeadlineMS <= s.clockMS():
		return "late"
	case req.Run <= s.superseded[req.Task]:
		return "old"
	case s.runs[req.Task] != nil:
		return ""
	case s.usedCPU()+p.CPU > s.options.CPU:
		return "room"
	}
	s.token = req.Token
	s.extendLease(req.DeadlineMS)
	r := s.startRun(req, p.CPU, work)
	if p.CrashMS > 0 {
		time.AfterFunc(time.Duration(p.CrashMS)*time.Millisecond, func() { s.crashUnder(req.Task, r) })
	}
	return ""
}

// startRun starts a run. With the fault Hangs it never ends by itself, and with
// Fails it ends as failed. The caller holds mu.
func (s *Server) startRun(req *request, cpu int, work time.Duration) *run {
	r := &run{cpu: cpu, number: req.Run, started: time.Now()}
	s.runs[req.Task] = r
	s.options.Observer.RunStarted(req.Task, s.options.Name)
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
		s.endRun(req.Task, r, ending)
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
// by maxLease from now. All runs end when the lease expires. The caller holds mu.
func (s *Server) extendLease(deadlineMS int64) {
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
		for task, r := range s.runs {
			s.endRun(task, r, "lapsed")
		}
	})
}

// endRun ends a run, records its ending for renewals and wakes waiting renewals.
// It does nothing if the run has ended already. The caller holds mu.
func (s *Server) endRun(task string, r *run, ending string) {
	if s.runs[task] != r {
		return
	}
	delete(s.runs, task)
	if r.timer != nil {
		r.timer.Stop()
	}
	s.superseded[task] = max(s.superseded[task], r.number)
	s.lastSeqNum++
	s.endedRuns = append(s.endedRuns, []any{s.lastSeqNum, task, r.number, ending, ""})
	s.options.Observer.RunEnded(task, ending)
	close(s.runEnded)
	s.runEnded = make(chan struct{})
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
	if r := s.runs[req.Task]; r != nil && r.number <= req.Run {
		time.AfterFunc(stopDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.endRun(req.Task, r, "stopped")
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
	s.mu.Lock()
	if req.Token < s.token {
		defer s.mu.Unlock()
		s.writeResponse(w, http.StatusConflict, response{Reason: "fence"})
		return
	}
	s.token = req.Token
	if req.DeadlineMS > 0 {
		s.extendLease(req.DeadlineMS)
	}
	for s.acknowledged < req.AckCursor && len(s.endedRuns) > 0 {
		s.acknowledged++
		s.endedRuns = s.endedRuns[1:]
	}
	wait := len(s.endedRuns) == 0 && req.WaitMS > 0
	runEnded := s.runEnded
	s.mu.Unlock()
	if wait {
		select {
		case <-runEnded:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(req.WaitMS) * time.Millisecond):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := response{Finished: s.endedRuns}
	for task, r := range s.runs {
		percent := 0
		if r.work > 0 {
			percent = int(100 * time.Since(r.started) / r.work)
		}
		resp.Running = append(resp.Running, []any{task, r.number, "", percent, 0})
	}
	s.writeResponse(w, http.StatusOK, resp)
}

// writeResponse writes a response, with the incarnation and clock of the server.
// The caller holds mu.
func (s *Server) writeResponse(w http.ResponseWriter, status int, resp response) {
	resp.Incarnation, resp.ClockMS = s.startTime.UnixMilli(), s.clockMS()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(resp)
}
