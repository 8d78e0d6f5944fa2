package backendserver_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/platform"
	"github.com/pollenfront/pollenfront/standin/backendserver"
)

// A watcher counts starts.
type watcher struct {
	mu     sync.Mutex
	starts int
}

func (w *watcher) RunStarted(string, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
}

func (w *watcher) RunEnded(string, string) {}

// count returns the number of starts.
func (w *watcher) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// newServer returns a stand-in with room for one task of six cores, and the
// client for it.
func newServer(t *testing.T) (*backendserver.Server, *platform.BackendServer, *watcher) {
	t.Helper()
	w := &watcher{}
	s := backendserver.New(backendserver.Options{CPU: 6000, Name: "server-0", Observer: w, Service: "lookup", Speed: 1, Zone: "west"})
	server := httptest.NewServer(s)
	t.Cleanup(server.CloseClientConnections)
	return s, platform.NewBackendServer(strings.TrimPrefix(server.URL, "http://")), w
}

// order returns an order to start a run of a task.
func order(index, number int, token uint64) pollenfront.StartRequest {
	id := pollenfront.TaskID{Index: index, Job: "0011223344556677"}
	return pollenfront.StartRequest{
		Lease: time.Hour, Payload: `{"cpu":6000,"work":"50ms"}`, Run: pollenfront.RunID{Number: number, TaskID: id}, Token: token,
	}
}

func TestRun(t *testing.T) {
	c := qt.New(t)
	_, client, _ := newServer(t)
	ctx := context.Background()
	clock, err := client.Start(ctx, order(0, 1, 5))
	c.Assert(err, qt.IsNil)
	c.Assert(clock > 0, qt.IsTrue)
	_, err = client.Start(ctx, order(1, 1, 5))
	c.Assert(err, qt.ErrorIs, pollenfront.ErrNoCapacity)
	_, err = client.Start(ctx, order(1, 1, 4))
	c.Assert(err, qt.ErrorIs, pollenfront.ErrFenced)

	held, err := client.Renew(ctx, pollenfront.RenewalRequest{Lease: time.Hour, Token: 5, Wait: time.Second})
	c.Assert(err, qt.IsNil)
	c.Assert(held.Running, qt.HasLen, 0)
	c.Assert(held.Ended, qt.DeepEquals, []pollenfront.EndedRun{{Ending: pollenfront.EndingDone, Run: order(0, 1, 5).Run, SeqNum: 1}})
	_, err = client.Start(ctx, order(0, 1, 5))
	c.Assert(err, qt.ErrorIs, pollenfront.ErrRunSuperseded)
	held, err = client.Renew(ctx, pollenfront.RenewalRequest{Acknowledged: 1, Token: 5})
	c.Assert(err, qt.IsNil)
	c.Assert(held.Ended, qt.HasLen, 0)

	late := order(2, 1, 5)
	late.Lease = time.Millisecond
	_, err = client.Start(ctx, late)
	c.Assert(err, qt.ErrorIs, pollenfront.ErrLate)
}

func TestStopKeepsARunFromStarting(t *testing.T) {
	c := qt.New(t)
	_, client, w := newServer(t)
	ctx := context.Background()
	_, err := client.Stop(ctx, order(0, 3, 1).Run, 1)
	c.Assert(err, qt.IsNil)
	_, err = client.Start(ctx, order(0, 3, 1))
	c.Assert(err, qt.ErrorIs, pollenfront.ErrRunSuperseded)
	c.Assert(w.count(), qt.Equals, 0)
	_, err = client.Start(ctx, order(0, 4, 1))
	c.Assert(err, qt.IsNil)
}

func TestLeaseLapses(t *testing.T) {
	c := qt.New(t)
	_, client, _ := newServer(t)
	ctx := context.Background()
	short := order(0, 1, 1)
	short.Lease = 40 * time.Millisecond
	_, err := client.Start(ctx, short)
	c.Assert(err, qt.IsNil)
	held, err := client.Renew(ctx, pollenfront.RenewalRequest{Token: 1, Wait: time.Second})
	c.Assert(err, qt.IsNil)
	c.Assert(held.Ended[0].Ending, qt.Equals, pollenfront.EndingLost)
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault backendserver.Fault
		want  string // Error of a start.
		how   pollenfront.Ending
	}{
		{name: "it fails what it runs", fault: backendserver.Fault{Fails: true}, how: pollenfront.EndingFailed},
		{name: "it is slow", fault: backendserver.Fault{Slow: 3}, how: pollenfront.EndingDone},
		{name: "it carries orders out late", fault: backendserver.Fault{LateRate: 1}, want: "call the backend server: .*"},
		{name: "it answers nothing", fault: backendserver.Fault{Dark: true}, want: "call the backend server: .*deadline exceeded.*"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, client, _ := newServer(t)
			s.SetFault(test.fault)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			_, err := client.Start(ctx, order(0, 1, 1))
			if test.want != "" {
				c.Assert(err, qt.ErrorMatches, test.want)
				return
			}
			c.Assert(err, qt.IsNil)
			held, err := client.Renew(ctx, pollenfront.RenewalRequest{Lease: time.Hour, Token: 1, Wait: time.Second})
			c.Assert(err, qt.IsNil)
			c.Assert(held.Ended[0].Ending, qt.Equals, test.how)
		})
	}
}
