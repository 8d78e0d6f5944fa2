package backendserver

import (
	"net"
	"net/http"
	"time"
)

// listenRetryDelay is the time between two attempts to listen again.
const listenRetryDelay = 20 * time.Millisecond

// Listen serves requests at an address until this process ends. A crash interrupts it.
func (s *Server) Listen(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = address
	return s.listen()
}

// listen serves requests at the server's address. The caller holds mu.
func (s *Server) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.listener = listener
	if s.httpServer == nil {
		s.httpServer = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.httpServer)
	return nil
}

// CloseListener closes the listener for a time, and breaks all connections unless they are
// to be kept. The server goes on with its runs and announces itself.
func (s *Server) CloseListener(duration time.Duration, keepConnections bool) {
	s.mu.Lock()
	if s.listener == nil {
		s.mu.Unlock()
		return
	}
	_ = s.listener.Close()
	s.listener = nil
	s.mu.Unlock()
	if !keepConnections {
		s.breakConnections()
	}
	time.AfterFunc(duration, s.reopenListener)
}

// breakConnections closes the listener and all connections.
func (s *Server) breakConnections() {
	s.mu.Lock()
	server := s.httpServer
	s.httpServer, s.listener = nil, nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close() // The listener is closed in any case.
	}
}

// reopenListener listens again, unless the server has been started again or is down, in
// which case its next incarnation listens.
func (s *Server) reopenListener() {
	for !s.listening() {
		time.Sleep(listenRetryDelay)
	}
}

// listening reports whether the server listens, is down or never listened itself. If not, it
// tries to listen.
func (s *Server) listening() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.listener != nil || s.address == "" || s.listen() == nil
}

// Crash ends the process of the server as seen from outside: its runs end, connections
// break and new ones are refused. After a time it is started again at the same address. A
// server that is down is left as it is.
func (s *Server) Crash(down time.Duration) {
	s.CrashWithClockStep(down, 0)
}

// CrashWithClockStep is like Crash, but the time of day of the server is changed by a step
// while it is down. With a step back, the next incarnation has a lower number than the
// former one.
func (s *Server) CrashWithClockStep(down, step time.Duration) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	s.endAllRuns()
	s.mu.Unlock()
	s.breakConnections()
	time.AfterFunc(down, func() { s.startAgain(step) })
}

// startAgain starts the next incarnation after a crash.
func (s *Server) startAgain(step time.Duration) {
	s.mu.Lock()
	s.wallClockOffset += step
	s.resetState()
	s.down = false
	s.mu.Unlock()
	s.reopenListener()
}

// Restart ends all runs and starts the next incarnation of the server at once. Connections
// are kept.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.endAllRuns()
	s.resetState()
}

// resetState starts an incarnation, which knows nothing of the former one. No run is in
// progress. The caller holds mu.
func (s *Server) resetState() {
	if s.born != 0 {
		s.former = messages{announcement: s.announcement(0), notice: s.notice()}
	}
	s.startTime = time.Now()
	s.born = s.startTime.Add(s.wallClockOffset).UnixMilli()
	s.acknowledged, s.announcementSeqNum, s.endedRuns, s.lastSeqNum, s.lease, s.leaving, s.token = 0, 0, nil, 0, time.Time{}, false, 0
	clear(s.superseded)
}

// Leave sends the notice that the server leaves, as if its answer were lost: the server goes
// on with its runs for a time, then ends. It is started again after the time down. A server
// that is down or leaves already is left as it is.
func (s *Server) Leave(goOn, down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.leaving {
		return
	}
	s.leaving = true
	go s.post(noticePath, s.notice())
	incarnation := s.startTime
	time.AfterFunc(goOn, func() {
		s.mu.Lock()
		current := s.startTime.Equal(incarnation)
		s.mu.Unlock()
		if current {
			s.Crash(down)
		}
	})
}

// crashUnder crashes the server because of a task, unless its run has ended.
func (s *Server) crashUnder(r *run) {
	s.mu.Lock()
	active := s.runs[r.key] == r
	if active {
		s.options.Observer.ServerCrashed(r.key.task)
	}
	s.mu.Unlock()
	if active {
		s.Crash(s.options.CrashDuration)
	}
}
