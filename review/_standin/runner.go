package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pollenfront/pollenfront/standin/backendserver"
)

// Times of a runner, as the pages state them.
const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = time.Second
	stopTime          = 20 * time.Millisecond // At most stop-timeout-ms, which is 50.
)

// A runner is a stand-in for a backend server that can leave a start order unanswered, and
// carry it out seconds later, also in its next life under the same ID.
type runner struct {
	address, announce, id, zone string
	log                         backendserver.Observer
	record                      *record

	// late selects the start orders that are left unanswered. It is called with mu held.
	late func(task string) bool

	// restarted has a value after a start of which the agent was not told yet.
	restarted chan struct{}

	born       int64
	down       bool
	finished   []any
	http       *http.Server
	lateOrders []lateOrder
	lease      time.Time
	mu         sync.Mutex
	// randomDelay is set if each late order is carried out 2 to 12 s later, if the runner is
	// up then, and not only at the next start.
	randomDelay bool
	runs        map[string]*runnerRun // runs has the runs by task.
	seqNum      int
	started     time.Time
	superseded  map[string]int
	token       uint64
	beats       int
	wake        chan struct{}
}

type lateOrder struct {
	at    time.Time
	order order
}

type runnerRun struct {
	cpu, number int
	since       time.Time
	task        string
	work        time.Duration
}

// An order is the body of any call of an agent.
type order struct {
	AckCursor  int    `json:"ack-cursor"`
	DeadlineMS int64  `json:"deadline-ms"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Task       string `json:"task"`
	Token      uint64 `json:"fencing-token"`
	WaitMS     int    `json:"wait-ms"`
}

// start begins a life of the runner: it knows nothing of a former one.
func (s *runner) start() error {
	s.mu.Lock()
	s.started, s.down = time.Now(), false
	s.born = s.started.UnixMilli()
	s.runs, s.superseded, s.finished, s.seqNum, s.token, s.beats, s.lease = make(map[string]*runnerRun), make(map[string]int), nil, 0, 0, 0, time.Time{}
	s.wake = make(chan struct{})
	late := s.lateOrders
	s.lateOrders = nil
	if after := envInt("LATE_AFTER_MS", 0); after > 0 {
		time.AfterFunc(time.Duration(after)*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.carryOutAll(late)
		})
	} else {
		s.carryOutAll(late)
	}
	s.mu.Unlock()
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	handle := func(pattern string, h http.HandlerFunc) { mux.HandleFunc(pattern, misbehave(h)) }
	handle("POST /pollenfront/run-start", s.serve(s.startRun))
	handle("POST /pollenfront/run-stop", s.serve(s.stopRun))
	handle("POST /pollenfront/hold", s.hold)
	s.http = &http.Server{Handler: mux} //nolint:gosec // A stand-in on loopback.
	go func(server *http.Server) { _ = server.Serve(listener) }(s.http)
	select {
	case s.restarted <- struct{}{}:
	default:
	}
	return nil
}

// carryOutAll carries out late orders. The caller holds mu.
func (s *runner) carryOutAll(late []lateOrder) {
	for _, l := range late {
		reason := s.startRun(&l.order)
		s.record.printf("runner   %s carries out the start order of %s run %d, %v late, refused as %q",
			s.id, l.order.Task, l.order.Run, time.Since(l.at).Round(time.Millisecond), reason)
	}
}

// crash ends the process of the runner, with all that it runs.
func (s *runner) crash() {
	s.mu.Lock()
	s.down = true
	for _, r := range s.runs {
		s.log.RunEnded(r.task, s.id, "lost with its runner")
	}
	s.runs = make(map[string]*runnerRun)
	s.mu.Unlock()
	_ = s.http.Close()
}

// beat reports to the agent until ctx is done, and at once after each start.
func (s *runner) beat(ctx context.Context) {
	client := http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		s.mu.Lock()
		s.beats++
		down := s.down
		body, _ := json.Marshal(map[string]any{
			"service": service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
			"capacity": map[string]int{"cpu": serverCPU, "mem-mb": 131072, "gpu": 0}, "labels": []string{"a", "r1-1"}, "born": s.born, "clock-ms": s.clock(), "seq": s.beats,
		})
		s.mu.Unlock()
		if !down {
			if response, err := client.Post("http://"+s.announce+"/pollenfront/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(body)); err == nil {
				_ = response.Body.Close()
			}
		}
		select {
		case <-ctx.Done():
		case <-s.restarted:
		case <-time.After(heartbeatInterval):
		}
	}
}

// clockSpeed is the speed of the clocks of runners, which "may be 2% slow".
var clockSpeed = float64(envInt("CLOCK_PERCENT", 100)) / 100

func (s *runner) clock() int64 {
	return int64(float64(time.Since(s.started).Milliseconds())*clockSpeed) + 1
}

// serve returns the handler of the calls that execute carries out. It returns the reason of a
// refusal, or "".
func (s *runner) serve(execute func(*order) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get("X-Expect-Instance"); id != "" && id != s.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		s.mu.Lock()
		if r.URL.Path == "/pollenfront/run-start" && s.late != nil && s.late(o.Task) {
			if !s.randomDelay {
				s.lateOrders = append(s.lateOrders, lateOrder{at: time.Now(), order: o})
			}
			s.record.printf("runner   %s leaves the start order of %s run %d unanswered", s.id, o.Task, o.Run)
			if s.randomDelay {
				time.AfterFunc(2*time.Second+rand.N(10*time.Second), s.carryOutLate(o))
			}
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
		if r.URL.Path == "/pollenfront/run-stop" && rand.IntN(1000) < envInt("LOST_STOPS", 0) { //nolint:gosec // Not for secrets.
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
		reason := execute(&o)
		s.respond(w, reason)
		s.mu.Unlock()
	}
}

// respond writes a response. The caller holds mu.
func (s *runner) respond(w http.ResponseWriter, reason string) {
	status := http.StatusOK
	body := map[string]any{"born": s.born, "clock-ms": s.clock()}
	if reason != "" {
		status, body["reason"] = http.StatusConflict, reason
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// startRun carries out a start order. The caller holds mu.
func (s *runner) startRun(o *order) string {
	if o.Token < s.token {
		return "fence"
	}
	s.token = o.Token
	if o.DeadlineMS <= s.clock() {
		return "late"
	}
	s.extend(o.DeadlineMS)
	var spec struct {
		CPU  int    `json:"cpu"`
		Work string `json:"work"`
	}
	_ = json.Unmarshal([]byte(o.Spec), &spec)
	work, _ := time.ParseDuration(spec.Work)
	used := spec.CPU
	for _, r := range s.runs {
		used += r.cpu
	}
	current := s.runs[o.Task]
	switch {
	case o.Run <= s.superseded[o.Task] || current != nil && o.Run < current.number:
		return "old"
	case current != nil && o.Run == current.number:
		return ""
	case used > serverCPU:
		return "room"
	}
	r := &runnerRun{cpu: spec.CPU, number: o.Run, since: time.Now(), task: o.Task, work: work}
	s.runs[o.Task] = r
	s.log.RunStarted(o.Task, s.id, time.Now())
	time.AfterFunc(work, func() { s.end(r, "done") })
	return ""
}

// stopRun carries out a stop order. The caller holds mu.
func (s *runner) stopRun(o *order) string {
	if o.Token < s.token {
		return "fence"
	}
	s.token = o.Token
	s.superseded[o.Task] = max(s.superseded[o.Task], o.Run)
	if r := s.runs[o.Task]; r != nil && r.number == o.Run {
		time.AfterFunc(time.Duration(envInt("STOP_MS", int(stopTime.Milliseconds())))*time.Millisecond, func() { s.end(r, "stopped") })
	}
	return ""
}

// extend extends the lease of all runs.
func (s *runner) extend(deadlineMS int64) {
	lease := s.started.Add(time.Duration(float64(deadlineMS) / clockSpeed * float64(time.Millisecond)))
	if latest := time.Now().Add(time.Duration(float64(maxHold) / clockSpeed)); lease.After(latest) {
		lease = latest
	}
	if !lease.After(s.lease) {
		return
	}
	s.lease = lease
	life := s.born
	time.AfterFunc(time.Until(lease), func() {
		s.mu.Lock()
		var lapsed []*runnerRun
		if s.born == life && !time.Now().Before(s.lease) {
			for _, r := range s.runs {
				lapsed = append(lapsed, r)
			}
		}
		s.mu.Unlock()
		for _, r := range lapsed {
			s.end(r, "lapsed")
		}
	})
}

// end ends a run.
func (s *runner) end(r *runnerRun, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[r.task] != r {
		return
	}
	delete(s.runs, r.task)
	s.superseded[r.task] = max(s.superseded[r.task], r.number)
	s.seqNum++
	s.finished = append(s.finished, []any{s.seqNum, r.task, r.number, how, ""})
	s.log.RunEnded(r.task, s.id, how)
	close(s.wake)
	s.wake = make(chan struct{})
}

// hold extends the lease and returns the lists. It waits for an end for as long as it may.
func (s *runner) hold(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Token < s.token {
		s.respond(w, "fence")
		return
	}
	s.token = o.Token
	if o.DeadlineMS > 0 {
		s.extend(o.DeadlineMS)
	}
	for len(s.finished) > 0 && s.finished[0].([]any)[0].(int) <= o.AckCursor { //nolint:forcetypeassert // Written by end.
		s.finished = s.finished[1:]
	}
	if len(s.finished) == 0 && o.WaitMS > 0 {
		wake := s.wake
		s.mu.Unlock()
		select {
		case <-wake:
		case <-r.Context().Done():
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
		s.mu.Lock()
	}
	running := []any{}
	for _, run := range s.runs {
		running = append(running, []any{run.task, run.number, "", min(99, int(100*time.Since(run.since)/run.work)), 0})
	}
	finished := s.finished[:min(500, len(s.finished))]
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"born": s.born, "clock-ms": s.clock(), "running": running, "finished": append([]any{}, finished...)})
}

// String returns the ID of the runner.
func (s *runner) String() string {
	return fmt.Sprintf("%s at %s", s.id, s.address)
}

// carryOutLate returns a function that carries out a late order whose time has come, or keeps
// it for the next start if the runner is down.
func (s *runner) carryOutLate(o order) func() {
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down {
			s.lateOrders = append(s.lateOrders, lateOrder{at: time.Now(), order: o})
			return
		}
		s.startRun(&o)
	}
}

// misbehave returns a handler that answers some calls with 503, carries some out and leaves them
// unanswered, and delays some before or after they are carried out. The variables UNHEALTHY,
// LOST_ANSWERS and DELAYED have the shares in thousandths; they are 0 in the cases.
func misbehave(h http.HandlerFunc) http.HandlerFunc {
	chance := func(name string) bool { return rand.IntN(1000) < envInt(name, 0) }    //nolint:gosec // Not for secrets.
	pause := func() { time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond) } //nolint:gosec // Not for secrets.
	return func(w http.ResponseWriter, r *http.Request) {
		switch {
		case chance("UNHEALTHY"):
			w.WriteHeader(http.StatusServiceUnavailable)
		case chance("LOST_ANSWERS"):
			h(discard{header: make(http.Header)}, r)
			<-r.Context().Done()
		case chance("DELAYED"):
			pause()
			h(w, r.WithContext(context.WithoutCancel(r.Context())))
		default:
			h(w, r)
		}
	}
}

// discard is an http.ResponseWriter that drops the response.
type discard struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (d discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discard) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (d discard) WriteHeader(int) {}
