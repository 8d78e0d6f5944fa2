package main

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of a runner, by the bounds of a small site.
const (
	beatInterval = 1500 * time.Millisecond
	killTime     = 20 * time.Millisecond
	maxEnds      = 500
	maxHold      = time.Second
)

// A runner is a stand-in for one machine's runner. It follows the users' page on running tasks.
type runner struct {
	// address is where it listens, and control is where it sends its pings.
	address, control string
	capacity         int
	name, zone       string
	record           *record
	service          string

	// beatNow makes the runner send a ping at once.
	beatNow chan struct{}

	mu      sync.Mutex
	born    int64
	cursor  uint64
	ends    [][]any
	ended   chan struct{}
	fence   uint64
	highest map[string]int
	lastEnd uint64
	lease   time.Time
	// failShare is the share of what it starts that fails, after a tenth of its work.
	failShare float64
	// rack is its rack.
	rack string
	// late decides whether a call gets no answer and is carried out after the returned time.
	late    func(call string, o *order) time.Duration
	running map[string]*runnerTask
	seq     uint64
	server  *http.Server
	started time.Time
}

// A runnerTask is a run in progress.
type runnerTask struct {
	cpu     int
	ending  bool
	run     int
	started time.Time
	task    string
	work    time.Duration
}

// A spec is what the callers of these cases put into the spec of a job.
type spec struct {
	CPU    int   `json:"cpu"`
	WorkMS int64 `json:"work-ms"`
}

// listen starts a lifetime of the runner.
func (r *runner) listen() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born, r.started, r.seq, r.fence, r.lastEnd, r.cursor = time.Now().UnixMilli(), time.Now(), 0, 0, 0, 0
	r.ends, r.highest, r.running, r.ended, r.lease = nil, map[string]int{}, map[string]*runnerTask{}, make(chan struct{}), time.Time{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /pollenfront/run-start", r.call("run-start", r.start))
	mux.HandleFunc("POST /pollenfront/run-stop", r.call("run-stop", r.stop))
	mux.HandleFunc("POST /pollenfront/hold", r.hold)
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(listener) }(r.server)
	return nil
}

// crash ends the lifetime: everything that runs ends at once, and all channels are reset.
func (r *runner) crash() {
	r.mu.Lock()
	server := r.server
	r.server = nil
	for _, t := range r.running {
		r.record.add("runner %s: %s run %d ends with the crash of the runner", r.name, t.task, t.run)
		r.record.endRun(r.name, t.task, t.run, "crash")
	}
	r.running = map[string]*runnerTask{}
	r.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// beat sends pings until ctx is done.
func (r *runner) beat(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		r.seq++
		up := r.server != nil
		body, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
			"capacity": map[string]int{"cpu": r.capacity, "mem-mb": 131072, "gpu": 0}, "labels": []string{"a", r.rack}, "clock-ms": r.clock(), "seq": r.seq, "born": r.born,
		})
		r.mu.Unlock()
		wait := beatInterval
		if up {
			client := http.Client{Timeout: time.Second}
			response, err := client.Post("http://"+r.control+"/pollenfront/instances/"+r.name+"/heartbeat", "application/json", strings.NewReader(string(body)))
			if err != nil {
				wait = 200 * time.Millisecond
			} else {
				_ = response.Body.Close()
			}
		}
		select {
		case <-r.beatNow:
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// clock returns the runner's steady clock, which starts with its lifetime. The caller must hold mu.
func (r *runner) clock() int64 {
	return time.Since(r.started).Milliseconds() + 1
}

// An order is the body of any call.
type order struct {
	Cursor   uint64 `json:"ack-cursor"`
	Deadline int64  `json:"deadline-ms"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Task     string `json:"task"`
	Token    uint64 `json:"fencing-token"`
	Wait     int64  `json:"wait-ms"`
}

// call returns the handler of an order that is answered at once.
func (r *runner) call(name string, carryOut func(o *order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		var o order
		if json.NewDecoder(request.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := request.Header.Get("X-Expect-Instance"); id != "" && id != r.name {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		r.mu.Lock()
		if r.late != nil {
			if delay := r.late(name, &o); delay > 0 {
				r.record.add("runner %s: %s of %s run %d is not answered, and carried out %v later", r.name, name, o.Task, o.Run, delay)
				r.mu.Unlock()
				time.AfterFunc(delay, func() {
					r.mu.Lock()
					defer r.mu.Unlock()
					if r.server != nil {
						_, refused := carryOut(&o)
						r.record.add("runner %s: %s of %s run %d with token %d is carried out late, fence %d: %q", r.name, name, o.Task, o.Run, o.Token, r.fence, refused)
					}
				})
				panic(http.ErrAbortHandler)
			}
		}
		before := r.fence
		status, reason := carryOut(&o)
		if r.fence > before+1000 || reason == "fence" {
			r.record.add("runner %s: %s with token %d, fence before %d: %q", r.name, name, o.Token, before, reason)
		}
		body := map[string]any{"clock-ms": r.clock(), "born": r.born}
		r.mu.Unlock()
		if reason != "" {
			body["reason"] = reason
		}
		write(w, status, body)
	}
}

// start carries out an order to start a run. The caller must hold mu.
func (r *runner) start(o *order) (int, string) {
	if o.Token < r.fence {
		return http.StatusConflict, "fence"
	}
	r.fence = o.Token
	if o.Deadline <= r.clock() {
		return http.StatusConflict, "late"
	}
	r.extend(o.Deadline)
	if o.Run <= r.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	if t := r.running[o.Task]; t != nil && t.run >= o.Run {
		if t.run == o.Run {
			return http.StatusOK, ""
		}
		return http.StatusConflict, "old"
	}
	var s spec
	if json.Unmarshal([]byte(o.Spec), &s) != nil {
		return http.StatusBadRequest, ""
	}
	used := s.CPU
	for _, t := range r.running {
		used += t.cpu
	}
	if used > r.capacity {
		return http.StatusConflict, "room"
	}
	t := &runnerTask{cpu: s.CPU, run: o.Run, started: time.Now(), task: o.Task, work: time.Duration(s.WorkMS) * time.Millisecond}
	r.running[o.Task] = t
	r.record.startRun(r.name, o.Task, o.Run, o.Spec)
	how, work := "done", t.work
	if rand.Float64() < r.failShare { //nolint:gosec // Not for secrets.
		how, work = "failed", t.work/10
	}
	time.AfterFunc(work, func() { r.end(t, how) })
	return http.StatusOK, ""
}

// end ends a run.
func (r *runner) end(t *runnerTask, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[t.task] != t {
		return
	}
	delete(r.running, t.task)
	r.highest[t.task] = max(r.highest[t.task], t.run)
	r.lastEnd++
	r.ends = append(r.ends, []any{r.lastEnd, t.task, t.run, how, ""})
	r.record.endRun(r.name, t.task, t.run, how)
	close(r.ended)
	r.ended = make(chan struct{})
}

// stop carries out an order to stop a run. The caller must hold mu.
func (r *runner) stop(o *order) (int, string) {
	if o.Token < r.fence {
		return http.StatusConflict, "fence"
	}
	r.fence = o.Token
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if t := r.running[o.Task]; t != nil && t.run <= o.Run {
		time.AfterFunc(killTime, func() { r.end(t, "stopped") })
	}
	return http.StatusOK, ""
}

// extend extends the lease. The caller must hold mu.
func (r *runner) extend(deadline int64) {
	until := r.started.Add(time.Duration(deadline) * time.Millisecond)
	if latest := time.Now().Add(maxHold); until.After(latest) {
		until = latest
	}
	if !until.After(r.lease) {
		return
	}
	r.lease = until
	time.AfterFunc(time.Until(until), func() {
		r.mu.Lock()
		lapsed := !time.Now().Before(r.lease)
		var all []*runnerTask
		for _, t := range r.running {
			all = append(all, t)
		}
		r.mu.Unlock()
		if lapsed {
			for _, t := range all {
				r.end(t, "lapsed")
			}
		}
	})
}

// hold answers a call that renews the lease and asks for the lists.
func (r *runner) hold(w http.ResponseWriter, request *http.Request) {
	var o order
	if json.NewDecoder(request.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := request.Header.Get("X-Expect-Instance"); id != "" && id != r.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	if o.Token < r.fence || o.Token > r.fence+1000 {
		r.record.add("runner %s: hold with token %d, fence before %d", r.name, o.Token, r.fence)
	}
	if o.Token < r.fence {
		body := map[string]any{"clock-ms": r.clock(), "born": r.born, "reason": "fence"}
		r.mu.Unlock()
		write(w, http.StatusConflict, body)
		return
	}
	r.fence = o.Token
	if o.Deadline > 0 {
		r.extend(o.Deadline)
	}
	for len(r.ends) > 0 && r.ends[0][0].(uint64) <= o.Cursor { //nolint:forcetypeassert // The runner writes it.
		r.ends = r.ends[1:]
	}
	ended, wait := r.ended, time.Duration(o.Wait)*time.Millisecond
	if len(r.ends) > 0 {
		wait = 0
	}
	r.mu.Unlock()
	select {
	case <-ended:
	case <-request.Context().Done():
		return
	case <-time.After(wait):
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([][]any, 0, len(r.running))
	for _, t := range r.running {
		percent := 0
		if t.work > 0 {
			percent = int(100 * time.Since(t.started) / t.work)
		}
		rows = append(rows, []any{t.task, t.run, "", min(percent, 100), t.cpu})
	}
	write(w, http.StatusOK, map[string]any{"clock-ms": r.clock(), "born": r.born, "running": rows, "finished": r.ends[:min(len(r.ends), maxEnds)]})
}

// write answers with a JSON body.
func write(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // Maps, lists, strings and numbers can always be encoded.
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, string(text))
}
