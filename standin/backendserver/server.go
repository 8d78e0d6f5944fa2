// Package backendserver is a stand-in for a backend server: it announces itself
// to the agent beside it, runs tasks under a lease, and can inject the faults of
// real servers. The payload of a task states its run time as a duration.
//
// # Usage
//
//	s := backendserver.New(backendserver.Options{Announce: agentAddress, RunTimeFactor: 1.2, Service: "lookup"})
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

// Times of a server.
const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second

	// lateDelaySpread is the range of the random part of the delay of a late
	// request.
	lateDelaySpread = 4 * time.Second

	// maxLease is the longest lease that the server accepts; it shortens longer
	// ones.
	maxLease = time.Second

	// minLateDelay is the shortest time after which a request that got no
	// response is carried out.
	minLateDelay = 2 * time.Second

	// stopDelay is the time that a run takes to stop.
	stopDelay = 10 * time.Millisecond
)

// An Observer is notified when runs start and end on servers. Its methods are
// called with the lock of a server held.
type Observer interface {
	// RunEnded is called when a run ends, with its ending.
	RunEnded(task string, ending string)

	// RunStarted is called when a run starts, with the name of the server.
	RunStarted(task string, server string)

	// ServerCrashed is called when a task crashes a server, before its run ends.
	ServerCrashed(task string)
}

// Options describe a server.
type Options struct {
	// Announce is the address at which the agent receives announcements.
	Announce string

	// CPU is the capacity of the server, in thousandths of a core.
	CPU int

	// CrashDuration is how long the server is down after a task has crashed it.
	CrashDuration time.Duration
	Name          string
	Observer      Observer

	// RunTimeFactor is the run time of a task as a multiple of that in the payload.
	RunTimeFactor float64
	Service       string
	Zone          string
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

// A Server is the stand-in. It serves the requests of an agent over HTTP.
type Server struct {
	// acknowledged is the highest sequence number of an ending that the agent has
	// acknowledged.
	acknowledged uint64

	// address is the address at which the server listens.
	address string

	// announcementSeqNum is the sequence number of the newest announcement.
	announcementSeqNum uint64
	client             *http.Client
	draining           bool

	// endedRuns are the endings that the agent has not acknowledged, in the form in
	// which the response to a renewal has them.
	endedRuns []any
	fault     Fault

	// httpServer serves requests; it is nil while the server is down after a crash.
	httpServer *http.Server

	// lastSeqNum is the sequence number of the newest ending.
	lastSeqNum uint64

	// lease is the time at which the lease expires.
	lease   time.Time
	mu      sync.Mutex
	options Options
	router  *mux.Router

	// runEnded is closed and replaced whenever a run ends.
	runEnded chan struct{}

	// runs has the runs in progress, by task.
	runs map[string]*run

	// startTime is the start of this incarnation, and identifies it.
	startTime time.Time

	// superseded has the highest run numbers that ended or were stopped, by task.
	superseded map[string]int

	// token is the highest fencing token received.
	token uint64
}

// A run is a run of a task that has not ended.
type run struct {
	cpu     int
	number  int
	started time.Time

	// timer ends the run; it is nil for a run that makes no progress.
	timer *time.Timer

	// work is the run time; it is zero for a run that makes no progress.
	work time.Duration
}

var _ http.Handler = &Server{}

// New returns a server that runs nothing.
func New(options Options) *Server {
	s := &Server{
		startTime: time.Now(), client: &http.Client{Timeout: announceTimeout}, runEnded: make(chan struct{}), options: options,
		superseded: make(map[string]int), router: mux.NewRouter(), runs: make(map[string]*run),
	}
	s.router.HandleFunc("/pollenfront/run-start", s.handle(s.start)).Methods(http.MethodPost)
	s.router.HandleFunc("/pollenfront/run-stop", s.handle(s.stop)).Methods(http.MethodPost)
	s.router.HandleFunc("/pollenfront/hold", s.renew).Methods(http.MethodPost)
	return s
}

// ServeHTTP implements http.Handler. A server with the fault Dark responds to no
// request.
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

// SetDraining sets whether the server announces that it is draining.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// Restart ends all runs and starts a new incarnation of the server, which knows
// nothing of earlier runs.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for task := range s.runs {
		s.endRun(task, s.runs[task], "lapsed")
	}
	s.startTime, s.endedRuns, s.lastSeqNum, s.acknowledged, s.token, s.announcementSeqNum = time.Now(), nil, 0, 0, 0, 0
	clear(s.superseded)
}

// Run announces the server at an address until ctx is done.
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

// announce announces the server once. Errors are ignored, as the next
// announcement follows after announceInterval.
func (s *Server) announce(ctx context.Context, address string) {
	s.mu.Lock()
	s.announcementSeqNum++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	silent := s.fault.Dark || s.address != "" && s.httpServer == nil
	body, err := json.Marshal(map[string]any{
		"address": address, "born": s.startTime.UnixMilli(), "capacity": map[string]int{"cpu": s.options.CPU, "mem-mb": 65536, "gpu": 0},
		"clock-ms": s.clockMS(), "cold-remaining-ms": 0, "labels": []string{"a", "r1-1"}, "seq": s.announcementSeqNum, "service": s.options.Service, "slots": 8,
		"state": state, "version": "v1", "zone": s.options.Zone,
	})
	s.mu.Unlock()
	if silent || err != nil {
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

// clockMS returns the clock of the server: the milliseconds since its start, plus
// one, since agents treat zero as a missing clock. The caller holds mu.
func (s *Server) clockMS() int64 {
	return time.Since(s.startTime).Milliseconds() + 1
}

// String returns the name and zone of the server, for logs.
func (s *Server) String() string {
	return fmt.Sprintf("%s in %s", s.options.Name, s.options.Zone)
}
