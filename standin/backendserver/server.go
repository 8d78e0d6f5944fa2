// Package backendserver is a stand-in for a backend server: it announces itself
// to the agent beside it, runs tasks under a lease, and has the faults of real
// ones. A task's work is stated in its payload, as a duration.
//
// # Usage
//
//	s := backendserver.New(backendserver.Options{Announce: agentAddress, Service: "lookup", Speed: 1.2})
//	go http.Serve(listener, s)
//	go s.Run(ctx, address)
package backendserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Limits of a server.
const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
	lateMin          = 2 * time.Second // After which an order that was not answered is carried out.
	lateSpread       = 4 * time.Second
	maxLease         = time.Second
	stopTime         = 10 * time.Millisecond
)

// A Watcher sees what happens on servers.
type Watcher interface {
	// Ended is called when a run ends.
	Ended(task string, how string)

	// Started is called when a run starts, with the name of the server.
	Started(task string, server string)
}

// Options describe a server.
type Options struct {
	Announce string // Address of the agent for announcements.
	CPU      int    // Thousandths of a core.
	Name     string
	Service  string
	Speed    float64 // Run times as a multiple of the stated work.
	Watcher  Watcher
	Zone     string
}

// A Fault is how a server misbehaves.
type Fault struct {
	Dark     bool    // It answers nothing.
	Fails    bool    // It fails all that it runs.
	Hangs    bool    // What it starts makes no progress.
	LateRate float64 // Share of orders that get no answer and are carried out later.
	Slow     float64 // Multiple of run times, if not zero.
}

// A Server is the stand-in.
type Server struct {
	acknowledged uint64
	born         time.Time
	client       *http.Client
	draining     bool
	ended        []any
	endings      chan struct{} // Closed and replaced at each ending.
	fault        Fault
	lease        time.Time
	mu           sync.Mutex
	number       uint64
	options      Options
	passed       map[string]int // By task, the highest run that ended or was stopped.
	router       *mux.Router
	runs         map[string]*run
	sequence     uint64
	token        uint64
}

// A run is a run of a task.
type run struct {
	cpu     int
	number  int
	started time.Time
	timer   *time.Timer
	work    time.Duration // Zero if it makes no progress.
}

var _ http.Handler = &Server{}

// New returns a server that runs nothing.
func New(options Options) *Server {
	s := &Server{
		born: time.Now(), client: &http.Client{Timeout: announceTimeout}, endings: make(chan struct{}), options: options,
		passed: make(map[string]int), router: mux.NewRouter(), runs: make(map[string]*run),
	}
	s.router.HandleFunc("/pollenfront/run-start", s.order(s.start)).Methods(http.MethodPost)
	s.router.HandleFunc("/pollenfront/run-stop", s.order(s.stop)).Methods(http.MethodPost)
	s.router.HandleFunc("/pollenfront/hold", s.hold).Methods(http.MethodPost)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	dark := s.fault.Dark
	s.mu.Unlock()
	if dark {
		<-r.Context().Done()
		return
	}
	s.router.ServeHTTP(w, r)
}

// SetFault sets how the server misbehaves from now on.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetDraining says whether the server is about to leave.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// Restart ends the server's life and begins another.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for task := range s.runs {
		s.end(task, s.runs[task], "lapsed")
	}
	s.born, s.ended, s.number, s.acknowledged, s.token, s.sequence = time.Now(), nil, 0, 0, 0, 0
	clear(s.passed)
}

// Run announces the server at an address until ctx ends.
func (s *Server) Run(ctx context.Context, address string) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		s.announce(ctx, address)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// announce announces the server once. A failure is made good by the next one.
func (s *Server) announce(ctx context.Context, address string) {
	s.mu.Lock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	dark := s.fault.Dark
	body, err := json.Marshal(map[string]any{
		"address": address, "born": s.born.UnixMilli(), "capacity": map[string]int{"cpu": s.options.CPU, "mem-mb": 65536, "gpu": 0},
		"clock-ms": s.clock(), "labels": []string{"a", "r1-1"}, "seq": s.sequence, "service": s.options.Service, "slots": 8,
		"state": state, "version": "v1", "zone": s.options.Zone,
	})
	s.mu.Unlock()
	if dark || err != nil {
		return
	}
	url := "http://" + s.options.Announce + "/pollenfront/instances/" + s.options.Name + "/heartbeat"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := s.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// clock returns the server's clock in milliseconds. The caller holds mu.
func (s *Server) clock() int64 {
	return time.Since(s.born).Milliseconds() + 1
}

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
	s.options.Watcher.Started(o.Task, s.options.Name)
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
	s.options.Watcher.Ended(task, how)
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

// String names the server for logs.
func (s *Server) String() string {
	return fmt.Sprintf("%s in %s", s.options.Name, s.options.Zone)
}
