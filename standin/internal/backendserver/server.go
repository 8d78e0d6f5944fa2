// Package backendserver is the stand-in of a backend server. It sleeps instead
// of computing, keeps a record of every start, and has faults that can be
// ordered while it runs.
//
// # Usage
//
//	server := backendserver.New(backendserver.Config{Slots: 8, Speed: 1.5})
//	http.Serve(listener, server.Handler())
//
// GET /v1/starts lists the starts; POST /faults takes a Faults.
package backendserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/backend"
	"github.com/pollenfront/pollenfront/observe"
)

// defaultWork is the work of a task whose payload does not say it.
const defaultWork = 100 * time.Millisecond

// A Config describes a backend server.
type Config struct {
	Slots int
	Speed float64 // Work done in a unit of time by each slot.
	Zone  string
}

// Faults are the faults that are in effect.
type Faults struct {
	Fail  bool    `json:"fail"`  // Every task fails at once.
	Speed float64 `json:"speed"` // Replaces the configured speed unless zero.
}

// A Payload is the part of a task's payload that the stand-in reads.
type Payload struct {
	Fail bool                 `json:"fail,omitempty"` // The task fails after its run time.
	Work pollenfront.Duration `json:"work,omitempty"` // Run time at speed 1.
}

// A Start is the record of a task that was started.
type Start struct {
	At    time.Time            `json:"at"`
	End   time.Time            `json:"end"` // Zero while the task runs.
	Job   pollenfront.JobID    `json:"job"`
	Kind  string               `json:"kind"`
	OK    bool                 `json:"ok"`
	Speed float64              `json:"speed"`
	Task  string               `json:"task"`
	Work  pollenfront.Duration `json:"work"`
	Zone  string               `json:"zone"`
}

// A Server is the stand-in of a backend server.
type Server struct {
	config  Config
	faults  Faults
	mutex   sync.Mutex
	running int
	starts  []*Start
}

// New returns a Server without starts.
func New(config Config) *Server {
	return &Server{config: config}
}

// Handler returns the HTTP handler of the server.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/faults", s.setFaults).Methods(http.MethodPost)
	r.HandleFunc("/v1/starts", s.list).Methods(http.MethodGet)
	r.HandleFunc("/v1/tasks", s.run).Methods(http.MethodPost)
	return r
}

// setFaults replaces the faults.
func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !observe.ReadJSON(w, r, &faults) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	observe.WriteJSON(w, http.StatusOK, faults)
}

// list lists the starts.
func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	starts := make([]Start, 0, len(s.starts))
	for _, start := range s.starts {
		starts = append(starts, *start)
	}
	s.mutex.Unlock()
	observe.WriteJSON(w, http.StatusOK, starts)
}

// run runs a task. It goes on when the connection breaks.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	var request backend.Request
	if !observe.ReadJSON(w, r, &request) {
		return
	}
	payload := Payload{Work: pollenfront.Duration(defaultWork)}
	if len(request.Payload) > 0 {
		if err := json.Unmarshal(request.Payload, &payload); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	start, err := s.begin(r, request, payload)
	if err != nil {
		w.Header().Set(backend.HeaderNotStarted, "true")
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	failed := s.sleep(start, payload)
	s.end(start, !failed)
	if failed {
		http.Error(w, "the task failed", http.StatusInternalServerError)
		return
	}
	observe.WriteJSON(w, http.StatusOK, map[string]string{"job": string(request.Job), "task": request.Task})
}

// begin records a start if there is a free slot and the start is in time.
func (s *Server) begin(r *http.Request, request backend.Request, payload Payload) (*Start, error) {
	startBy, err := strconv.ParseInt(r.Header.Get(backend.HeaderStartBy), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("bad %s header: %w", backend.HeaderStartBy, err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if now.UnixNano() > startBy {
		return nil, fmt.Errorf("the start came %v too late", now.Sub(time.Unix(0, startBy)))
	}
	if s.running >= s.config.Slots {
		return nil, fmt.Errorf("all %d slots are busy", s.config.Slots)
	}
	s.running++
	start := &Start{
		At: now, Job: request.Job, Kind: request.Kind, Speed: s.speed(), Task: request.Task, Work: payload.Work, Zone: s.config.Zone,
	}
	s.starts = append(s.starts, start)
	return start, nil
}

// sleep lets the run time pass and reports whether the task failed.
func (s *Server) sleep(start *Start, payload Payload) bool {
	s.mutex.Lock()
	fail := s.faults.Fail
	s.mutex.Unlock()
	if fail {
		return true
	}
	time.Sleep(time.Duration(float64(payload.Work) / start.Speed))
	return payload.Fail
}

// end records the end of a task.
func (s *Server) end(start *Start, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
	start.End = time.Now()
	start.OK = ok
}

// speed returns the speed in effect.
func (s *Server) speed() float64 {
	if s.faults.Speed > 0 {
		return s.faults.Speed
	}
	return s.config.Speed
}
