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

// An Observer sees what happens on servers.
type Observer interface {
	// RunEnded is called when a run ends, with its ending.
	RunEnded(task string, ending string)

	// RunStarted is called when a run starts, with the name of the server.
	RunStarted(task string, server string)
}

// Options describe a server.
type Options struct {
	Announce string // Address of the agent for announcements.
	CPU      int    // Thousandths of a core.
	Name     string
	Observer Observer
	Service  string
	Speed    float64 // Run times as a multiple of the stated work.
	Zone     string
}

// A Fault describes how a server misbehaves. The soak prints faults with %+v, so
// the names of the fields are part of its output.
type Fault struct {
	// Dark means that the server neither answers requests nor announces itself.
	Dark bool
	// Fails means that every run ends as failed.
	Fails bool
	// Hangs means that runs start but make no progress.
	Hangs bool
	// LateRate is the share of start and stop requests, from 0 to 1, that get no
	// response and are carried out some seconds later.
	LateRate float64
	// Slow is the factor by which runs take longer; below 1 it has no effect.
	Slow float64
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

// String names the server for logs.
func (s *Server) String() string {
	return fmt.Sprintf("%s in %s", s.options.Name, s.options.Zone)
}
