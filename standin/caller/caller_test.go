package caller_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/standin/caller"
)

// TestReset guards against a caller that goes on waiting after a reset, against an entry
// that does not notice it, and against a reset that reaches connections to other entries.
func TestReset(t *testing.T) {
	c := qt.New(t)
	received, canceled := make(chan string, 2), make(chan string, 2)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The server notices a reset only after the body.
		received <- r.Host
		<-r.Context().Done()
		canceled <- r.Host
	})
	var addresses []string
	for range 2 {
		entry := httptest.NewServer(handler)
		defer entry.Close()
		addresses = append(addresses, strings.TrimPrefix(entry.URL, "http://"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers, outcomes := caller.New(), make(chan caller.Outcome)
	submit := func(i int, host string) {
		go func() {
			outcomes <- callers.Submit(ctx, addresses[i], caller.Job{Deadline: time.Now().Add(time.Minute), Host: host, Path: "/lookup/0011223344556677"})
		}()
		c.Assert(<-received, qt.Equals, host)
	}
	submit(0, "reset.example")
	submit(1, "other.example")
	callers.Reset(addresses[0])
	c.Assert(<-outcomes, qt.Equals, caller.Unknown)
	c.Assert(<-canceled, qt.Equals, "reset.example")
	select {
	case <-canceled:
		t.Fatal("the connection to the other entry was reset")
	case <-time.After(100 * time.Millisecond):
	}
	cancel()
	c.Assert(<-outcomes, qt.Equals, caller.Unknown)
	c.Assert(<-canceled, qt.Equals, "other.example")
}

// TestCanceledJob checks which answers acknowledge a request to cancel a job, and that the answer
// to a canceled job is told from others.
func TestCanceledJob(t *testing.T) {
	tests := []struct {
		status       int
		body         string
		acknowledged bool
		outcome      caller.Outcome
	}{
		{status: http.StatusOK, body: `{"state":"cancelled"}`, acknowledged: true, outcome: caller.Canceled},
		{status: http.StatusGone, acknowledged: true, outcome: caller.Unknown},
		{status: http.StatusServiceUnavailable, body: `{"reason":"unconfirmed"}`, outcome: caller.Refused},
	}
	for _, test := range tests {
		c := qt.New(t)
		entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(test.status)
			_, _ = io.WriteString(w, test.body)
		}))
		callers, job := caller.New(), caller.Job{Deadline: time.Now().Add(time.Minute), Host: "h.example", Path: "/lookup/0011223344556677"}
		address := strings.TrimPrefix(entry.URL, "http://")
		c.Check(callers.Cancel(context.Background(), address, job), qt.Equals, test.acknowledged)
		c.Check(callers.Submit(context.Background(), address, job), qt.Equals, test.outcome)
		entry.Close()
	}
}
