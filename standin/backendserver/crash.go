package backendserver

import (
	"net"
	"net/http"
	"time"
)

// listenRetryDelay is the time between two attempts to listen again after a crash.
const listenRetryDelay = 20 * time.Millisecond

// Listen serves requests at an address until this process ends. A crash interrupts it.
func (s *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = address
	s.httpServer = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.httpServer)
	return nil
}

// Crash ends the process of the server as seen from outside: its runs end, connections
// break and new ones are refused. After a time it is started again at the same address. A
// server that is down is left as it is.
func (s *Server) Crash(down time.Duration) {
	s.mu.Lock()
	server := s.httpServer
	s.httpServer = nil
	s.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close() // The listener is closed in any case.
	s.Restart()
	time.AfterFunc(down, s.listenAgain)
}

// listenAgain listens at the address that the server had before a crash.
func (s *Server) listenAgain() {
	s.Restart() // This incarnation starts now.
	for s.Listen(s.address) != nil {
		time.Sleep(listenRetryDelay)
	}
}

// crashUnder crashes the server because of a task, unless its run has ended.
func (s *Server) crashUnder(task string, r *run) {
	s.mu.Lock()
	active := s.runs[task] == r
	if active {
		s.options.Observer.ServerCrashed(task)
	}
	s.mu.Unlock()
	if active {
		s.Crash(s.options.CrashDuration)
	}
}
