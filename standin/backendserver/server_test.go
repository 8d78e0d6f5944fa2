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

// A startCounter is an observer that counts the starts of runs.
type startCounter struct {
	mu    sync.Mutex
	count int
}

func (c *startCounter) RunStarted(string, string, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
}

func (c *startCounter) RunEnded(string, string, string) {}

func (c *startCounter) ServerCrashed(string) {}

// total returns the number of starts so far.
func (c *startCounter) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// newServer returns a stand-in with capacity for one task of six cores, a client
// for it, and the counter of its starts.
func newServer(t *testing.T) (*backendserver.Server, *platform.BackendServer, *startCounter) {
	t.Helper()
	counter := &startCounter{}
	s := backendserver.New(backendserver.Options{CPU: 6000, Name: "server-0", Observer: counter, RunTimeFactor: 1, Service: "lookup", Zone: "west"})
	server := httptest.NewServer(s)
	t.Cleanup(server.CloseClientConnections)
	return s, platform.NewBackendServer(strings.TrimPrefix(server.URL, "http://")), counter
}

// startRequest returns a request to start a run of the task with an index.
func startRequest(index, number int, token uint64) pollenfront.StartRequest {
	id := pollenfront.TaskID{Index: index, Job: "0011223344556677"}
	return pollenfront.StartRequest{
		LeaseExpiry: time.Hour, Payload: `{"cpu":6000,"work":"50ms"}`, Run: pollenfront.RunID{Number: number, TaskID: id}, Token: token,
	}
}

func TestRun(t *testing.T) {
	c := qt.New(t)
	_, client, _ := newServer(t)
	ctx := context.Background()
	clock, err := client.Start(ctx, startRequest(0, 1, 5))
	c.Assert(err, qt.IsNil)
	c.Assert(clock > 0, qt.IsTrue)
	_, err = client.Start(ctx, startRequest(1, 1, 5))
	c.Assert(err, qt.ErrorIs, pollenfront.ErrNoCapacity)
	_, err = client.Start(ctx, startRequest(1, 1, 4))
	c.Assert(err, qt.ErrorIs, pollenfront.ErrFenced)

	renewal, err := client.Renew(ctx, pollenfront.RenewalRequest{LeaseExpiry: time.Hour, Token: 5, Wait: time.Second})
	c.Assert(err, qt.IsNil)
	c.Assert(renewal.Running, qt.HasLen, 0)
	c.Assert(renewal.Ended, qt.DeepEquals, []pollenfront.EndedRun{{Ending: pollenfront.EndingDone, Run: startRequest(0, 1, 5).Run, SeqNum: 1}})
	_, err = client.Start(ctx, startRequest(0, 1, 5))
	c.Assert(err, qt.ErrorIs, pollenfront.ErrRunSuperseded)
	renewal, err = client.Renew(ctx, pollenfront.RenewalRequest{AcknowledgedSeqNum: 1, Token: 5})
	c.Assert(err, qt.IsNil)
	c.Assert(renewal.Ended, qt.HasLen, 0)

	late := startRequest(2, 1, 5)
	late.LeaseExpiry = time.Millisecond
	_, err = client.Start(ctx, late)
	c.Assert(err, qt.ErrorIs, pollenfront.ErrLate)
}

func TestStopBeforeStart(t *testing.T) {
	c := qt.New(t)
	_, client, counter := newServer(t)
	ctx := context.Background()
	_, err := client.Stop(ctx, startRequest(0, 3, 1).Run, 1)
	c.Assert(err, qt.IsNil)
	_, err = client.Start(ctx, startRequest(0, 3, 1))
	c.Assert(err, qt.ErrorIs, pollenfront.ErrRunSuperseded)
	c.Assert(counter.total(), qt.Equals, 0)
	_, err = client.Start(ctx, startRequest(0, 4, 1))
	c.Assert(err, qt.IsNil)
}

func TestLeaseExpires(t *testing.T) {
	c := qt.New(t)
	_, client, _ := newServer(t)
	ctx := context.Background()
	short := startRequest(0, 1, 1)
	short.LeaseExpiry = 40 * time.Millisecond
	_, err := client.Start(ctx, short)
	c.Assert(err, qt.IsNil)
	renewal, err := client.Renew(ctx, pollenfront.RenewalRequest{Token: 1, Wait: time.Second})
	c.Assert(err, qt.IsNil)
	c.Assert(renewal.Ended[0].Ending, qt.Equals, pollenfront.EndingLost)
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault backendserver.Fault

		// wantErr is a pattern of the error of a start; if it is empty, the run starts.
		wantErr string
		ending  pollenfront.Ending
	}{
		{name: "runs fail", fault: backendserver.Fault{Fails: true}, ending: pollenfront.EndingFailed},
		{name: "runs are slow", fault: backendserver.Fault{Slow: 3}, ending: pollenfront.EndingDone},
		{name: "requests are carried out late", fault: backendserver.Fault{LateRate: 1}, wantErr: "call the backend server: .*"},
		{name: "no response", fault: backendserver.Fault{Dark: true}, wantErr: "call the backend server: .*deadline exceeded.*"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, client, _ := newServer(t)
			s.SetFault(test.fault)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			_, err := client.Start(ctx, startRequest(0, 1, 1))
			if test.wantErr != "" {
				c.Assert(err, qt.ErrorMatches, test.wantErr)
				return
			}
			c.Assert(err, qt.IsNil)
			renewal, err := client.Renew(ctx, pollenfront.RenewalRequest{LeaseExpiry: time.Hour, Token: 1, Wait: time.Second})
			c.Assert(err, qt.IsNil)
			c.Assert(renewal.Ended[0].Ending, qt.Equals, test.ending)
		})
	}
}
