package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times and sizes of a runner, as in the bounds of the deployment.
const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = time.Second
	runnerCPU         = 64000
	runnerMemoryMB    = 131072
	stopTime          = 30 * time.Millisecond // At most stop-timeout-ms, which is 50.
)

// A runner is a stand-in for a runner of the platform. Each of its lives has its own clock, run
// lists, lease and fencing token.
type runner struct {
	address string // address is that of the runner itself.
	control string // control is the address to which it sends its pings.
	id      string
	rec     *record
	service string
	zone    string

	// onOrder, if set, is called with mu held for each run-start. If it returns a delay above
	// zero, the order gets no answer and is carried out that much later, by the life that is up
	// then.
	onOrder func(r *runner, o *order) time.Duration

	mu      sync.Mutex
	born    int64
	conns   map[net.Conn]bool
	ends    [][]any
	ended   chan struct{}
	history *history
	lastEnd uint64
	lease   time.Time
	life    int
	listed  map[uint64]*pastRun // listed has the ends that are not taken note of, by their numbers.
	passed  map[string]int
	runs    map[string]*taskRun
	seq     uint64
	state   string
	token   uint64
	up      bool
	upSince time.Time
}

// An order is the body of a call.
type order struct {
	AckCursor  uint64 `json:"ack-cursor"`
	DeadlineMS int64  `json:"deadline-ms"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Task       string `json:"task"`
	Token      uint64 `json:"fencing-token"`
	WaitMS     int64  `json:"wait-ms"`
}

// A taskRun is a run that has not ended.
type taskRun struct {
	number int
	task   string
	began  time.Time
	timer  *time.Timer
	work   time.Duration
	past   *pastRun
}

// An answer is the body of a response.
type answer struct {
	Born     int64   `json:"born"`
	ClockMS  int64   `json:"clock-ms"`
	Finished [][]any `json:"finished,omitempty"`
	Reason   string  `json:"reason,omitempty"`
	Running  [][]any `json:"running,omitempty"`
}

// newRunner returns a runner that is not up yet.
func newRunner(rec *record, h *history, id, address, control, service, zone string) *runner {
	return &runner{address: address, control: control, conns: make(map[net.Conn]bool), history: h, id: id, rec: rec, service: service, state: "ready", zone: zone}
}

// serve listens at the runner's address and starts its first life and its pings.
func (r *runner) serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.begin()
	r.mu.Unlock()
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute, ConnState: r.track}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	go r.ping(ctx)
	return nil
}

// track keeps the open connections.
func (r *runner) track(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, conn)
	}
}

// begin starts a life, which knows nothing of the former ones. The caller holds mu.
func (r *runner) begin() {
	r.life++
	r.up, r.upSince = true, time.Now()
	r.born = r.upSince.UnixMilli()
	r.ends, r.ended, r.lastEnd, r.lease, r.listed = nil, make(chan struct{}), 0, time.Time{}, make(map[uint64]*pastRun)
	r.passed, r.runs, r.seq, r.token = make(map[string]int), make(map[string]*taskRun), 0, 0
	r.rec.addf("%s: life %d begins", r.id, r.life)
}

// crash ends the current life without a word. The next one begins after down.
func (r *runner) crash(down time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up = false
	for _, run := range r.runs {
		run.timer.Stop()
		r.history.end(run.past, "lost with its runner")
	}
	r.runs = make(map[string]*taskRun)
	r.rec.addf("%s: life %d ends", r.id, r.life)
	time.AfterFunc(down, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for conn := range r.conns {
			_ = conn.Close() // The new life knows no channel of the former one.
		}
		r.begin()
	})
}

// isUp reports whether the runner is up.
func (r *runner) isUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !r.isUp() {
		<-req.Context().Done() // Without power nothing answers.
		return
	}
	if id := req.Header.Get("X-Expect-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/pollenfront/run-start":
		r.handleStart(w, req, &o)
	case "/pollenfront/run-stop":
		r.handleStop(w, &o)
	case "/pollenfront/hold":
		r.handleHold(w, req, &o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// handleStart handles a run-start.
func (r *runner) handleStart(w http.ResponseWriter, req *http.Request, o *order) {
	r.mu.Lock()
	if r.onOrder != nil {
		if delay := r.onOrder(r, o); delay > 0 {
			life := r.life
			r.rec.addf("%s: run-start %s run %d arrives, gets no answer and is carried out %v later", r.id, o.Task, o.Run, delay)
			r.mu.Unlock()
			time.AfterFunc(delay, func() { r.carryOutLate(o, life) })
			<-req.Context().Done()
			return
		}
	}
	reason := r.start(o)
	r.rec.addf("%s: run-start %s run %d: %s", r.id, o.Task, o.Run, orOK(reason))
	a := r.answer(reason)
	r.mu.Unlock()
	write(w, reason, a)
}

// carryOutLate carries out an order that got no answer.
func (r *runner) carryOutLate(o *order, life int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	reason := r.start(o)
	r.rec.addf("%s: late run-start %s run %d, sent to life %d, is carried out in life %d: %s", r.id, o.Task, o.Run, life, r.life, orOK(reason))
}

// start carries out a run-start. The caller holds mu.
func (r *runner) start(o *order) string {
	if o.Token < r.token {
		return "fence"
	}
	r.token = o.Token
	if o.DeadlineMS <= r.clockMS() {
		return "late"
	}
	r.extend(o.DeadlineMS)
	var spec struct {
		CPU    int   `json:"cpu"`
		WorkMS int64 `json:"work-ms"`
	}
	_ = json.Unmarshal([]byte(o.Spec), &spec)
	run, ok := r.runs[o.Task]
	used := 0
	for _, other := range r.runs {
		used += other.past.cpu
	}
	switch {
	case o.Run <= r.passed[o.Task]:
		return "old"
	case ok && run.number >= o.Run:
		return ""
	case used+spec.CPU > runnerCPU:
		return "room"
	}
	work := time.Duration(spec.WorkMS) * time.Millisecond
	run = &taskRun{began: time.Now(), number: o.Run, task: o.Task, work: work, past: r.history.start(r, o, spec.CPU)}
	run.timer = time.AfterFunc(work, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.end(run, "done")
	})
	r.runs[o.Task] = run
	return ""
}

// extend extends the lease. The caller holds mu.
func (r *runner) extend(deadlineMS int64) {
	deadline := r.upSince.Add(time.Duration(deadlineMS) * time.Millisecond)
	if latest := time.Now().Add(maxHold); deadline.After(latest) {
		deadline = latest
	}
	if !deadline.After(r.lease) {
		return
	}
	r.lease = deadline
	life := r.life
	time.AfterFunc(time.Until(deadline), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.life != life || !r.up || time.Now().Before(r.lease) {
			return
		}
		for _, run := range r.runs {
			r.end(run, "lapsed")
		}
	})
}

// end ends a run. The caller holds mu.
func (r *runner) end(run *taskRun, how string) {
	if r.runs[run.task] != run {
		return
	}
	run.timer.Stop()
	delete(r.runs, run.task)
	r.passed[run.task] = max(r.passed[run.task], run.number)
	r.lastEnd++
	r.ends = append(r.ends, []any{r.lastEnd, run.task, run.number, how, ""})
	r.listed[r.lastEnd] = run.past
	r.history.end(run.past, how)
	close(r.ended)
	r.ended = make(chan struct{})
}

// handleStop handles a run-stop.
func (r *runner) handleStop(w http.ResponseWriter, o *order) {
	r.mu.Lock()
	reason := ""
	if o.Token < r.token {
		reason = "fence"
	} else {
		r.token = o.Token
		r.passed[o.Task] = max(r.passed[o.Task], o.Run)
		if run, ok := r.runs[o.Task]; ok && run.number <= o.Run {
			time.AfterFunc(stopTime, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.end(run, "stopped")
			})
		}
	}
	r.rec.addf("%s: run-stop %s run %d: %s", r.id, o.Task, o.Run, orOK(reason))
	a := r.answer(reason)
	r.mu.Unlock()
	write(w, reason, a)
}

// handleHold handles a hold.
func (r *runner) handleHold(w http.ResponseWriter, req *http.Request, o *order) {
	r.mu.Lock()
	if o.Token < r.token {
		a := r.answer("fence")
		r.mu.Unlock()
		write(w, "fence", a)
		return
	}
	r.token = o.Token
	if o.DeadlineMS > 0 {
		r.extend(o.DeadlineMS)
	}
	for len(r.ends) > 0 && r.ends[0][0].(uint64) <= o.AckCursor { //nolint:forcetypeassert // Ends are written by end.
		r.history.acknowledge(r.listed[r.ends[0][0].(uint64)])
		r.ends = r.ends[1:]
	}
	ended, life, wait := r.ended, r.life, len(r.ends) == 0 && o.WaitMS > 0
	r.mu.Unlock()
	if wait {
		select {
		case <-ended:
		case <-req.Context().Done():
			return
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
	}
	r.mu.Lock()
	if !r.up || r.life != life {
		r.mu.Unlock()
		panic(http.ErrAbortHandler) // The life that took the call has ended.
	}
	a := r.answer("")
	a.Finished = append([][]any{}, r.ends[:min(len(r.ends), 500)]...)
	for _, run := range r.runs {
		percent := int64(100)
		if run.work > 0 {
			percent = min(99, int64(100*time.Since(run.began)/run.work))
		}
		a.Running = append(a.Running, []any{run.task, run.number, "", percent, run.past.cpu})
	}
	r.mu.Unlock()
	write(w, "", a)
}

// clockMS returns the runner's clock. The caller holds mu.
func (r *runner) clockMS() int64 { return time.Since(r.upSince).Milliseconds() + 1 }

// answer returns the body of a response. The caller holds mu.
func (r *runner) answer(reason string) answer {
	return answer{Born: r.born, ClockMS: r.clockMS(), Reason: reason}
}

// write writes a response.
func write(w http.ResponseWriter, reason string, a answer) {
	w.Header().Set("Content-Type", "application/json")
	if reason != "" {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(a)
}

// orOK returns the reason of a refusal, or "accepted".
func orOK(reason string) string {
	if reason == "" {
		return "accepted"
	}
	return "refused, " + reason
}

// ping sends pings until ctx is done.
func (r *runner) ping(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		delay := heartbeatInterval
		if r.isUp() && !r.sendPing(ctx, client) {
			delay = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// sendPing sends a ping and reports whether it was acknowledged.
func (r *runner) sendPing(ctx context.Context, client *http.Client) bool {
	r.mu.Lock()
	r.seq++
	body, _ := json.Marshal(map[string]any{
		"address": r.address, "born": r.born, "capacity": map[string]int{"cpu": runnerCPU, "gpu": 0, "mem-mb": runnerMemoryMB}, "clock-ms": r.clockMS(),
		"cold-remaining-ms": 0, "labels": []string{"a", "r1-1"}, "seq": r.seq, "service": r.service, "slots": 8, "state": r.state, "version": "v1", "zone": r.zone,
	})
	r.mu.Unlock()
	url := fmt.Sprintf("http://%s/pollenfront/instances/%s/heartbeat", r.control, r.id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}
