package driver

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// A fakeServer is a backend server on which every run ends at once.
type fakeServer struct {
	ended  []pollenfront.EndedRun
	mu     sync.Mutex
	starts []pollenfront.StartRequest
}

func (f *fakeServer) SetInstance(string) {}

func (f *fakeServer) Start(_ context.Context, order pollenfront.StartRequest) (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, order)
	f.ended = append(f.ended, pollenfront.EndedRun{Ending: pollenfront.EndingDone, Run: order.Run, SeqNum: uint64(len(f.ended) + 1)})
	return time.Second, nil
}

func (f *fakeServer) Stop(context.Context, pollenfront.RunID, uint64) (time.Duration, error) {
	return time.Second, nil
}

func (f *fakeServer) Renew(ctx context.Context, _ pollenfront.RenewalRequest) (pollenfront.RenewalResponse, error) {
	select {
	case <-ctx.Done():
		return pollenfront.RenewalResponse{}, ctx.Err()
	case <-time.After(5 * time.Millisecond):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return pollenfront.RenewalResponse{Clock: time.Second, Ended: f.ended, Incarnation: 3}, nil
}

// A fakeStore remembers one server. Its other methods are not called.
type fakeStore struct {
	pollenfront.Store

	mu     sync.Mutex
	server pollenfront.Announcement
}

func (f *fakeStore) SaveAnnouncement(_ context.Context, _ string, a pollenfront.Announcement) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.server = a
	return nil
}

func (f *fakeStore) LoadAnnouncement(context.Context, string) (pollenfront.Announcement, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.server, f.server.Incarnation != 0, nil
}

// start starts the work of an agent that dials an entry, and returns the
// entry's side of the link after the greetings.
func start(t *testing.T, server *fakeServer, store *fakeStore) (*Driver, *tasklink.Link) {
	t.Helper()
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	w := New(tasklink.Hello{Incarnation: 9, Name: "agent-1", Service: "service", Version: tasklink.Version, Zone: "west"}, server, store, prometheus.NewRegistry(), zap.NewNop())
	go func() { _ = w.Run(ctx) }()
	go w.Dial(ctx, listener.Addr().String())
	conn, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	link := tasklink.NewLink(conn)
	t.Cleanup(func() {
		cancel()
		link.Close()
		_ = listener.Close()
	})
	c.Assert(link.Send(&tasklink.Hello{Incarnation: 1, Name: "entry-1", Version: tasklink.Version, Zone: "west"}), qt.IsNil)
	var hello tasklink.Hello
	c.Assert(link.Receive(&hello), qt.IsNil)
	c.Assert(hello.Name, qt.Equals, "agent-1")
	c.Assert(hello.LinkSeqNum, qt.Equals, uint64(1))
	return w, link
}

// await waits for an update that satisfies a condition.
func await(t *testing.T, link *tasklink.Link, met func(u *tasklink.Update) bool) tasklink.Update {
	t.Helper()
	for {
		var u tasklink.Update
		qt.Assert(t, link.Receive(&u), qt.IsNil)
		if met(&u) {
			return u
		}
	}
}

// ready reports whether an update says that the server takes tasks.
func ready(u *tasklink.Update) bool { return u.Report.State == tasklink.StateReady }

// announcement is what the server announces.
var announcement = pollenfront.Announcement{
	Capacity: pollenfront.Resources{CPU: 64000}, Clock: time.Second, Incarnation: 3, Instance: "i-1", Sequence: 1, Zone: "west",
}

func TestRun(t *testing.T) {
	c := qt.New(t)
	server := &fakeServer{}
	w, link := start(t, server, &fakeStore{})
	w.HandleAnnouncement(announcement)
	u := await(t, link, ready)
	c.Assert(link.Send(&tasklink.Commands{Echo: u.Clock, Starts: []tasklink.StartCommand{{
		Expected: int64(time.Second), Job: "0a", Need: pollenfront.Resources{CPU: 6000}, Payload: "p", Service: "service",
		Tasks: []tasklink.StartTask{{Index: 2, Run: 1, SeqNum: 1}},
	}}}), qt.IsNil)
	u = await(t, link, func(u *tasklink.Update) bool { return len(u.RunEnds) > 0 })
	c.Assert(u.RunEnds[0].Ending, qt.Equals, pollenfront.EndingDone)
	c.Assert(u.RunEnds[0].Run, qt.Equals, pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Index: 2, Job: "0a"}})
	c.Assert(server.starts[0].Payload, qt.Equals, "p")
	c.Assert(server.starts[0].Token, qt.Equals, uint64(9))
}

// TestRecall checks that the next incarnation of an agent uses its server
// before that announces itself again.
func TestRecall(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	w, link := start(t, &fakeServer{}, store)
	w.HandleAnnouncement(announcement)
	await(t, link, ready)
	for {
		if _, found, _ := store.LoadAnnouncement(context.Background(), "agent-1"); found {
			break
		}
		time.Sleep(time.Millisecond)
	}
	next, nextLink := start(t, &fakeServer{}, store)
	next.RestoreAnnouncement(context.Background())
	u := await(t, nextLink, ready)
	c.Assert(u.Report.Capacity, qt.Equals, announcement.Capacity)
}

// TestLeave checks that an agent that leaves says so and waits for nothing
// that does not run.
func TestLeave(t *testing.T) {
	w, link := start(t, &fakeServer{}, &fakeStore{})
	w.HandleAnnouncement(announcement)
	await(t, link, ready)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	w.Drain(ctx)
	qt.Assert(t, ctx.Err(), qt.IsNil)
	await(t, link, func(u *tasklink.Update) bool { return u.Report.State == tasklink.StateDraining })
}
