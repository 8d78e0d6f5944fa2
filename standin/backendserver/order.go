package backendserver

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"
)

// An order is the body of any order.
type order struct {
	AckCursor  uint64 `json:"ack-cursor"`
	DeadlineMS int64  `json:"deadline-ms"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Task       string `json:"task"`
	Token      uint64 `json:"fencing-token"`
	WaitMS     int64  `json:"wait-ms"`
}

// A payload is what a task's payload says of its work.
type payload struct {
	CPU  int    `json:"cpu"`
	Work string `json:"work"`
}

// A reply is the answer to any order.
type reply struct {
	Born     int64  `json:"born"`
	ClockMS  int64  `json:"clock-ms"`
	Finished []any  `json:"finished,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Running  []any  `json:"running,omitempty"`
}

// order returns a handler for orders. Some are carried out late and not
// answered, as the fault says.
func (s *Server) order(carryOut func(o *order) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if rand.Float64() < s.fault.LateRate { //nolint:gosec // Not for secrets.
			later := lateMin + time.Duration(rand.Int64N(int64(lateSpread))) //nolint:gosec // Not for secrets.
			born := s.born
			time.AfterFunc(later, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.born.Equal(born) {
					carryOut(&o)
				}
			})
			panic(http.ErrAbortHandler)
		}
		reason := carryOut(&o)
		status := http.StatusOK
		if reason != "" {
			status = http.StatusConflict
		}
		s.write(w, status, reply{Reason: reason})
	}
}

// start starts a run. The caller holds mu.
func (s *Server) start(o *order) string {
	var p payload
	if err := json.Unmarshal([]byte(o.Spec), &p); err != nil {
		return "payload"
	}
	work, err := time.ParseDuration(p.Work)
	if err != nil {
		return "payload"
	}
	switch {
	case o.Token < s.token:
		return "fence"
	case o.DeadlineMS <= s.clock():
		return "late"
	case o.Run <= s.passed[o.Task]:
		return "old"
	case s.runs[o.Task] != nil:
		return ""
	case s.used()+p.CPU > s.options.CPU:
		return "room"
	}
	s.token = o.Token
	s.extend(o.DeadlineMS)
	s.begin(o, p.CPU, work)
	return ""
}

// begin begins a run. The caller holds mu.
func (s *Server) begin(o *order, cpu int, work time.Duration) {
	r := &run{cpu: cpu, number: o.Run, started: time.Now()}
	s.runs[o.Task] = r
	s.options.Observer.RunStarted(o.Task, s.options.Name)
	if s.fault.Hangs {
		return
	}
	how := "done"
	if s.fault.Fails {
		how = "failed"
	}
	r.work = time.Duration(float64(work) * s.options.Speed * max(1, s.fault.Slow))
	r.timer = time.AfterFunc(r.work, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.end(o.Task, r, how)
	})
}

// used returns the room that runs use. The caller holds mu.
func (s *Server) used() int {
	used := 0
	for _, r := range s.runs {
		used += r.cpu
	}
	return used
}

// extend extends the lease, and ends everything if it lapses. The caller holds mu.
func (s *Server) extend(deadline int64) {
	lease := s.born.Add(time.Duration(deadline) * time.Millisecond)
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
			s.end(task, r, "lapsed")
		}
	})
}

// end ends a run once. The caller holds mu.
func (s *Server) end(task string, r *run, how string) {
	if s.runs[task] != r {
		return
	}
	delete(s.runs, task)
	if r.timer != nil {
		r.timer.Stop()
	}
	s.passed[task] = max(s.passed[task], r.number)
	s.number++
	s.ended = append(s.ended, []any{s.number, task, r.number, how, ""})
	s.options.Observer.RunEnded(task, how)
	close(s.endings)
	s.endings = make(chan struct{})
}

// stop stops a run. The caller holds mu.
func (s *Server) stop(o *order) string {
	if o.Token < s.token {
		return "fence"
	}
	s.token = o.Token
	s.passed[o.Task] = max(s.passed[o.Task], o.Run)
	if r := s.runs[o.Task]; r != nil && r.number <= o.Run {
		time.AfterFunc(stopTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.end(o.Task, r, "stopped")
		})
	}
	return ""
}

// hold extends the lease and answers with what runs and what has ended, as
// soon as something has ended.
func (s *Server) hold(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if o.Token < s.token {
		defer s.mu.Unlock()
		s.write(w, http.StatusConflict, reply{Reason: "fence"})
		return
	}
	s.token = o.Token
	if o.DeadlineMS > 0 {
		s.extend(o.DeadlineMS)
	}
	for s.acknowledged < o.AckCursor && len(s.ended) > 0 {
		s.acknowledged++
		s.ended = s.ended[1:]
	}
	waits := len(s.ended) == 0 && o.WaitMS > 0
	endings := s.endings
	s.mu.Unlock()
	if waits {
		select {
		case <-endings:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := reply{Finished: s.ended}
	for task, r := range s.runs {
		percent := 0
		if r.work > 0 {
			percent = int(100 * time.Since(r.started) / r.work)
		}
		answer.Running = append(answer.Running, []any{task, r.number, "", percent, 0})
	}
	s.write(w, http.StatusOK, answer)
}

// write writes an answer. The caller holds mu.
func (s *Server) write(w http.ResponseWriter, status int, answer reply) {
	answer.Born, answer.ClockMS = s.born.UnixMilli(), s.clock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}
