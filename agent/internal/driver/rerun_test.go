package driver

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestRerunLogged guards against second starts of a task of which the log tells neither the token
// nor the lease, and against a line for each first start.
func TestRerunLogged(t *testing.T) {
	run := pollenfront.RunID{Number: 2, TaskID: pollenfront.TaskID{Index: 3, Job: "0a"}}
	request := pollenfront.StartRequest{Incarnation: 4, LeaseExpiry: 7 * time.Second, Run: run, Timeout: time.Second, Token: 5}
	tests := []struct {
		name  string
		rerun *executor.Rerun
		want  []map[string]any
	}{
		{name: "first start"},
		{
			name: "second start", rerun: &executor.Rerun{Attempt: 1, EchoAge: 20 * time.Millisecond, Entry: "entry-1", Lease: 600 * time.Millisecond, Run: run},
			want: []map[string]any{{
				"attempt": int64(1), "echo-age": 20 * time.Millisecond, "entry": "entry-1", "incarnation": uint64(4), "lease": 600 * time.Millisecond,
				"lease-end": 7 * time.Second, "request": "0a", "run": int64(2), "task": int64(3), "token": uint64(5),
			}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			core, logs := observer.New(zap.InfoLevel)
			d := New(tasklink.Hello{Name: "agent-1"}, &fakeServer{}, &fakeStore{}, prometheus.NewRegistry(), zap.New(core))
			d.startRun(bootclock.Now(), request, test.rerun)
			var got []map[string]any
			for _, line := range logs.FilterMessage("task started again").All() {
				got = append(got, line.ContextMap())
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}
