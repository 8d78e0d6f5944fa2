// Package backendserver is a stand-in for a backend server: it announces itself
// to the agent beside it, runs tasks under a lease, and can inject the faults of
// real servers. The payload of a task states its run time as a duration. Each start of
// the server is an incarnation, which knows nothing of the former ones.
//
// # Usage
//
//	s := backendserver.New(backendserver.Options{Announce: agentAddress, RunTimeFactor: 1.2, Service: "lookup"})
//	go http.Serve(listener, s)
//	go s.Run(ctx, address)
package backendserver

import (
	"fmt"
	"net"
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
	// RunEnded is called when a run ends, with the name of the server and its ending.
	RunEnded(task, server, ending string)

	// RunStarted is called when a run starts, with the name of the server and the time
	// at which the server received the request.
	RunStarted(task, server string, received time.Time)

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

// A Server is the stand-in. It serves the requests of an agent over HTTP.
type Server struct {
	// acknowledged is the highest sequence number of an ending that the agent has
	// acknowledged.
	acknowledged uint64

	// address is the address at which the server listens, or empty if requests reach it
	// otherwise.
	address string

	// announcedAddress is the address that the server announces.
	announcedAddress string

	// announcementSeqNum is the sequence number of the newest announcement.
	announcementSeqNum uint64

	// born is the time of day at which this incarnation started, by the server's own
	// clock, in milliseconds. It identifies the incarnation.
	born     int64
	client   *http.Client
	draining bool

	// down is whether the process of the server has ended and is not yet started again.
	down bool

	// endedRuns are the endings that the agent has not acknowledged, in the form in
	// which the response to a renewal has them.
	endedRuns []any

	// fault is the union of faults.
	fault Fault

	// faults are the faults that are in effect.
	faults map[*Fault]bool

	// former has the newest announcement and the notice of leaving of the former
	// incarnation.
	former messages

	// httpServer serves requests; it is nil while there are no connections.
	httpServer *http.Server

	// lastSeqNum is the sequence number of the newest ending.
	lastSeqNum uint64

	// lease is the time at which the lease expires.
	lease time.Time

	// leaving is whether the server has sent the notice that it leaves.
	leaving bool

	// listener is nil while nothing listens at the address of the server.
	listener net.Listener
	mu       sync.Mutex
	options  Options
	router   *mux.Router

	// runEnded is closed and replaced whenever a run ends.
	runEnded chan struct{}

	// runs has the runs in progress.
	runs map[runKey]*run

	// startTime is the start of this incarnation.
	startTime time.Time

	// superseded has the highest run numbers that ended or were stopped, by task.
	superseded map[string]int

	// token is the highest fencing token received.
	token uint64

	// wallClockOffset is the server's time of day minus that of this process.
	wallClockOffset time.Duration
}

// A runKey identifies a run in one incarnation.
type runKey struct {
	task   string
	number int
}

// A run is a run of a task that has not ended.
type run struct {
	cpu     int
	key     runKey
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
		client: &http.Client{Timeout: announceTimeout}, faults: make(map[*Fault]bool), runEnded: make(chan struct{}), options: options,
		superseded: make(map[string]int), router: mux.NewRouter(), runs: make(map[runKey]*run),
	}
	s.resetState()
	s.router.HandleFunc("/pollenfront/run-start", s.handle(s.start, Fault.lateStarts, Fault.lostStarts)).Methods(http.MethodPost)
	s.router.HandleFunc("/pollenfront/run-stop", s.handle(s.stop, Fault.lateStops, Fault.lostStops)).Methods(http.MethodPost)
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
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != s.options.Name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.router.ServeHTTP(w, r)
}

// SetDraining sets whether the server announces that it is draining.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
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
