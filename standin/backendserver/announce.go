package backendserver

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Last elements of the paths to which messages to the agent are sent.
const (
	announcementPath = "heartbeat"
	noticePath       = "deregister"
)

// strayClockOffset is the difference between the clock that another writer states and the
// server's.
const strayClockOffset = time.Hour

// messages are the bodies of messages to the agent.
type messages struct {
	announcement, notice []byte
}

// Run announces the server at an address until ctx is done.
func (s *Server) Run(ctx context.Context, address string) error {
	s.mu.Lock()
	s.announcedAddress = address
	s.mu.Unlock()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		s.announce()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// announce announces the server once, unless it is silent.
func (s *Server) announce() {
	s.mu.Lock()
	s.announcementSeqNum++
	silent := s.fault.Dark || s.down || s.leaving
	body := s.announcement(0)
	s.mu.Unlock()
	if !silent {
		s.post(announcementPath, body)
	}
}

// AnnounceAsOther sends an announcement of another writer: it names the server, but states
// an incarnation that differs by a time, and another clock.
func (s *Server) AnnounceAsOther(difference time.Duration) {
	s.mu.Lock()
	body := s.announcement(difference)
	s.mu.Unlock()
	s.post(announcementPath, body)
}

// SendFormerAnnouncement sends the newest announcement of the former incarnation, as if it
// had been delayed. It does nothing if there is none.
func (s *Server) SendFormerAnnouncement() {
	s.mu.Lock()
	body := s.former.announcement
	s.mu.Unlock()
	s.post(announcementPath, body)
}

// SendFormerNotice sends the notice of leaving of the former incarnation, as if it had been
// delayed. It does nothing if there is none.
func (s *Server) SendFormerNotice() {
	s.mu.Lock()
	body := s.former.notice
	s.mu.Unlock()
	s.post(noticePath, body)
}

// announcement returns the body of an announcement. It states an incarnation that differs
// from the server's by a time, and another clock unless that is zero. The caller holds mu.
func (s *Server) announcement(difference time.Duration) []byte {
	state, clock := "ready", s.clockMS()
	if s.draining {
		state = "draining"
	}
	if difference != 0 {
		clock += strayClockOffset.Milliseconds()
	}
	return encode(map[string]any{
		"address": s.announcedAddress, "born": s.born + difference.Milliseconds(), "capacity": map[string]int{"cpu": s.options.CPU, "mem-mb": 65536, "gpu": 0},
		"clock-ms": clock, "cold-remaining-ms": 0, "labels": []string{"a", "r1-1"}, "seq": s.announcementSeqNum, "service": s.options.Service, "slots": 8,
		"state": state, "version": "v1", "zone": s.options.Zone,
	})
}

// notice returns the body of the notice that the server leaves. The caller holds mu.
func (s *Server) notice() []byte {
	return encode(map[string]any{"born": s.born})
}

// encode returns the encoding of a body.
func encode(body map[string]any) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // Bodies have only values that can be encoded.
	}
	return data
}

// post sends a message to the agent, unless the body is empty. Errors are ignored, as the
// next announcement follows after announceInterval.
func (s *Server) post(path string, body []byte) {
	if len(body) == 0 {
		return
	}
	url := "http://" + s.options.Announce + "/pollenfront/instances/" + s.options.Name + "/" + path
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := s.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
