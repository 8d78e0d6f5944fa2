package backendserver_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/backend"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/standin/internal/backendserver"
)

func TestRun(t *testing.T) {
	tests := []struct {
		name    string
		after   func(*httptest.Server) // Done while the task runs.
		payload string
		startBy time.Duration
		stopped bool // Whether the server is not there.
		want    refusal.Kind
	}{
		{name: "succeeds", payload: `{"work":"10ms"}`, startBy: time.Second},
		{name: "fails", payload: `{"work":"10ms","fail":true}`, startBy: time.Second, want: refusal.TaskFailed},
		{name: "comes too late", payload: `{"work":"10ms"}`, startBy: -time.Second, want: refusal.NotStarted},
		{name: "server not there", startBy: time.Second, stopped: true, want: refusal.NotStarted},
		{
			name: "connection lost in mid-run", payload: `{"work":"300ms"}`, startBy: time.Second, want: refusal.OutcomeUnknown,
			after: func(s *httptest.Server) { s.CloseClientConnections() },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(backendserver.New(backendserver.Config{Slots: 1, Speed: 1}).Handler())
			defer server.Close()
			if test.stopped {
				server.Close()
			}
			if test.after != nil {
				time.AfterFunc(100*time.Millisecond, func() { test.after(server) })
			}
			client := backend.NewClient(server.URL, 2)
			ref := pollenfront.TaskRef{Job: pollenfront.NewJobID(), Task: "a"}
			task := pollenfront.Task{Name: "a", Payload: json.RawMessage(test.payload)}
			_, err := client.Run(t.Context(), ref, "lookup", task, time.Now().Add(test.startBy))
			if test.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, refusal.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
