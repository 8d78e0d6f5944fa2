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
	"go.uber.org/zap/zaptest/observer"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/tasklink"
)

// A fakeServer is a backend server on which every run completes at once.
type fakeServer struct {
	endedRuns     []pollenfront.EndedRun
	instance      string
	mu            sync.Mutex
	startRequests []pollenfront.StartRequest
}

func (f *fakeServer) SetInstance(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instance = id
}

func (f *fakeServer) Start(_ context.Context, request pollenfront.StartRequest) (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startRequests = append(f.startRequests, request)
	f.endedRuns = append(f.endedRuns, pollenfront.EndedRun{Ending: pollenfront.EndingDone, Run: request.Run, SeqNum: uint64(len(f.endedRuns) + 1)})
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
	return pollenfront.RenewalResponse{Clock: time.Second, Ended: f.endedRuns, Incarnation: 3}, nil
}

// A fakeStore is a store that holds one announcement and one token. The tests call no other
// method of pollenfront.Store.
type fakeStore struct {
	pollenfront.Store

	// loading, if set, is called by LoadAnnouncement before it returns.
	loading func()
	mu      sync.Mutex
	saved   pollenfront.Announcement
	// token is the highest fencing token that was recorded.
	token uint64
}

func (f *fakeStore) RecordToken(_ context.Context, _ string, token uint64) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	recorded := f.token
	f.token = max(recorded, token)
	return recorded, nil
}

func (f *fakeStore) SaveAnnouncement(_ context.Context, _ string, a pollenfront.Announcement) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.saved = a
	return nil
}

func (f *fakeStore) LoadAnnouncement(context.Context, string) (pollenfront.Announcement, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loading != nil {
		f.loading()
	}
	return f.saved, f.saved.Incarnation != 0, nil
}

// startDriver starts the driver of an agent that dials an entry, and exchanges the
// hellos. It returns the driver and the entry's end of the link.
func startDriver(t *testing.T, server *fakeServer, store *fakeStore) (*Driver, *tasklink.Link) {
	t.Helper()
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	d := New(tasklink.Hello{Incarnation: 9, Name: "agent-1", Service: "service", Version: tasklink.Version, Zone: "west"}, server, store, prometheus.NewRegistry(), zap.NewNop())
	go func() { _ = d.Run(ctx) }()
	go d.Dial(ctx, listener.Addr().String())
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
	return d, link
}

// awaitUpdate returns the first update on link that satisfies condition.
func awaitUpdate(t *testing.T, link *tasklink.Link, condition func(update *tasklink.Update) bool) tasklink.Update {
	t.Helper()
	for {
		var update tasklink.Update
		qt.Assert(t, link.Receive(&update), qt.IsNil)
		if condition(&update) {
			return update
		}
	}
}

// reportsReady reports whether an update states that the server accepts tasks.
func reportsReady(update *tasklink.Update) bool { return update.Report.State == tasklink.StateReady }

// announcement is the announcement of the backend server in the tests.
var announcement = pollenfront.Announcement{
	Capacity: pollenfront.Resources{CPU: 64000}, Clock: time.Second, Incarnation: 3, Instance: "i-1", SeqNum: 1, Zone: "west",
}

// TestRunTask checks that the driver starts the task of a start command on the
// backend server and reports the end of the run to the entry.
func TestRunTask(t *testing.T) {
	c := qt.New(t)
	server := &fakeServer{}
	d, link := startDriver(t, server, &fakeStore{})
	d.HandleAnnouncement(announcement)
	update := awaitUpdate(t, link, reportsReady)
	c.Assert(link.Send(&tasklink.Commands{EchoedClock: update.Clock, Starts: []tasklink.StartCommand{{
		ExpectedRunTime: int64(time.Second), Job: "0a", Need: pollenfront.Resources{CPU: 6000}, Payload: "p", Service: "service",
		Tasks: []tasklink.StartTask{{Index: 2, Run: 1, SeqNum: 1}},
	}}}), qt.IsNil)
	update = awaitUpdate(t, link, func(update *tasklink.Update) bool { return len(update.RunEnds) > 0 })
	c.Assert(update.RunEnds[0].Ending, qt.Equals, pollenfront.EndingDone)
	c.Assert(update.RunEnds[0].Run, qt.Equals, pollenfront.RunID{Number: 1, TaskID: pollenfront.TaskID{Index: 2, Job: "0a"}})
	c.Assert(server.startRequests[0].Payload, qt.Equals, "p")
	c.Assert(server.startRequests[0].Token, qt.Equals, uint64(9))
}

// TestRestoreAnnouncement checks that the next incarnation of an agent reports its
// backend server as ready before the server announces itself again.
func TestRestoreAnnouncement(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	d, link := startDriver(t, &fakeServer{}, store)
	d.HandleAnnouncement(announcement)
	awaitUpdate(t, link, reportsReady)
	for {
		if _, found, _ := store.LoadAnnouncement(context.Background(), "agent-1"); found {
			break
		}
		time.Sleep(time.Millisecond)
	}
	next, nextLink := startDriver(t, &fakeServer{}, store)
	next.RestoreAnnouncement(context.Background())
	update := awaitUpdate(t, nextLink, reportsReady)
	c.Assert(update.Report.Capacity, qt.Equals, announcement.Capacity)
}

// TestRestoreAfterDeregistration checks that a server which has left is not in use again
// after a restart of its agent, even if it still answers.
func TestRestoreAfterDeregistration(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	awaitSaved := func(condition func(pollenfront.Announcement) bool) {
		for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if saved, _, _ := store.LoadAnnouncement(context.Background(), "agent-1"); condition(saved) {
				return
			}
		}
	}
	d, _ := startDriver(t, &fakeServer{}, store)
	d.HandleAnnouncement(announcement)
	awaitSaved(func(a pollenfront.Announcement) bool { return a.Incarnation != 0 })
	d.HandleDeregistration(announcement.Instance)
	awaitSaved(func(a pollenfront.Announcement) bool { return a.Draining })
	next, nextLink := startDriver(t, &fakeServer{}, store)
	next.RestoreAnnouncement(context.Background())
	update := awaitUpdate(t, nextLink, func(update *tasklink.Update) bool { return update.Report.State != tasklink.StateUnavailable })
	c.Assert(update.Report.State, qt.Equals, tasklink.StateDraining)
}

// TestRestoreTwiceAfterDeregistration checks the same if the server had announced itself
// to an earlier incarnation only than the one that it notified of its shutdown.
func TestRestoreTwiceAfterDeregistration(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{saved: announcement}
	notified, notifiedLink := startDriver(t, &fakeServer{}, store)
	notified.RestoreAnnouncement(context.Background())
	awaitUpdate(t, notifiedLink, reportsReady)
	notified.HandleDeregistration(announcement.Instance)
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if saved, _, _ := store.LoadAnnouncement(context.Background(), "agent-1"); saved.Draining {
			break
		}
	}
	next, nextLink := startDriver(t, &fakeServer{}, store)
	next.RestoreAnnouncement(context.Background())
	update := awaitUpdate(t, nextLink, func(update *tasklink.Update) bool { return update.Report.State != tasklink.StateUnavailable })
	c.Assert(update.Report.State, qt.Equals, tasklink.StateDraining)
}

// TestRestoreOutdatedAnnouncement checks that an announcement of an earlier incarnation of
// the backend server is not restored if the server announces itself while the store is
// read. Requests addressed to the earlier incarnation would be refused.
func TestRestoreOutdatedAnnouncement(t *testing.T) {
	c := qt.New(t)
	server := &fakeServer{}
	outdated := announcement
	outdated.Incarnation, outdated.Instance = 2, "i-0"
	store := &fakeStore{saved: outdated}
	d, _ := startDriver(t, server, store)
	store.loading = func() { d.HandleAnnouncement(announcement) }
	d.RestoreAnnouncement(context.Background())
	server.mu.Lock()
	defer server.mu.Unlock()
	c.Assert(server.instance, qt.Equals, announcement.Instance)
}

// TestDrain checks that Drain returns before its context is done if no run is left,
// and that the agent then reports its state as draining.
func TestDrain(t *testing.T) {
	d, link := startDriver(t, &fakeServer{}, &fakeStore{})
	d.HandleAnnouncement(announcement)
	awaitUpdate(t, link, reportsReady)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	d.Drain(ctx)
	qt.Assert(t, ctx.Err(), qt.IsNil)
	awaitUpdate(t, link, func(update *tasklink.Update) bool { return update.Report.State == tasklink.StateDraining })
}

// TestReleaseLink checks that the link to a released entry can be closed once the entry
// has echoed the report that says so, and that it serves again after Retain.
func TestReleaseLink(t *testing.T) {
	c := qt.New(t)
	d, link := startDriver(t, &fakeServer{}, &fakeStore{})
	d.HandleAnnouncement(announcement)
	update := awaitUpdate(t, link, reportsReady)
	c.Assert(link.Send(&tasklink.Commands{AgentCount: 7, EchoedClock: update.Clock}), qt.IsNil)
	for d.Links()[0].AgentCount != 7 {
		time.Sleep(time.Millisecond)
	}
	address := d.Links()[0].Address
	c.Assert(d.Release(address), qt.IsFalse)
	update = awaitUpdate(t, link, func(update *tasklink.Update) bool { return update.Report.State == tasklink.StateDraining })
	c.Assert(link.Send(&tasklink.Commands{EchoedClock: update.Clock}), qt.IsNil)
	for !d.Release(address) {
		time.Sleep(time.Millisecond)
	}
	d.Retain(address)
	awaitUpdate(t, link, reportsReady)
	c.Assert(d.Release("127.0.0.1:1"), qt.IsTrue, qt.Commentf("there is no link to this address"))
}

// TestDeregistrationOfEarlierInstance checks that the notice of an earlier incarnation of
// the backend server, which may arrive late, does not end the use of the current one.
func TestDeregistrationOfEarlierInstance(t *testing.T) {
	tests := []struct {
		instance string
		want     tasklink.State
	}{
		{instance: "i-0", want: tasklink.StateReady},
		{instance: announcement.Instance, want: tasklink.StateUnavailable},
	}
	for _, test := range tests {
		d, link := startDriver(t, &fakeServer{}, &fakeStore{})
		d.HandleAnnouncement(announcement)
		awaitUpdate(t, link, reportsReady)
		d.HandleDeregistration(test.instance)
		d.mu.Lock()
		state := d.executor.State()
		d.mu.Unlock()
		qt.Check(t, state, qt.Equals, test.want, qt.Commentf("instance %s", test.instance))
	}
}

// TestHelloNotSent checks that a link on which the hello can't be sent does not count as
// open.
func TestHelloNotSent(t *testing.T) {
	c := qt.New(t)
	d := New(tasklink.Hello{Name: "agent-1"}, &fakeServer{}, &fakeStore{}, prometheus.NewRegistry(), zap.NewNop())
	conn, _ := net.Pipe()
	link := &entryLink{Link: tasklink.NewLink(conn), ref: pollenfront.EntryRef{Incarnation: 1, Name: "entry-1"}}
	link.Close()
	c.Assert(d.addLink(link), qt.IsNotNil)
	c.Assert(d.Links(), qt.HasLen, 0)
	_, linked := d.executor.NextUpdate(time.Second, "entry-1")
	c.Assert(linked, qt.IsFalse)
}

// TestDialErrorsLogged checks that the reason why an entry can't be linked is logged once,
// and again when it changes.
func TestDialErrorsLogged(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	core, logs := observer.New(zap.InfoLevel)
	d := New(tasklink.Hello{Name: "agent-1"}, &fakeServer{}, &fakeStore{}, prometheus.NewRegistry(), zap.New(core))
	d.started = bootclock.Now() - time.Minute // No run of an earlier incarnation is left.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Dial(ctx, listener.Addr().String())
	for range 3 {
		conn, err := listener.Accept()
		c.Assert(err, qt.IsNil)
		link := tasklink.NewLink(conn)
		c.Assert(link.Send(&tasklink.Hello{Name: "entry-1", Version: tasklink.Version + 1}), qt.IsNil)
		_ = link.Receive(&tasklink.Hello{})
		link.Close()
	}
	c.Assert(listener.Close(), qt.IsNil)
	failures := func() []observer.LoggedEntry { return logs.FilterMessage("entry not linked").All() }
	for len(failures()) < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(3 * minRedialDelay)
	c.Assert(failures(), qt.HasLen, 2)
	c.Assert(failures()[0].ContextMap()["error"], qt.Contains, "protocol version")
	c.Assert(failures()[1].ContextMap()["error"], qt.Contains, "refused")
}

// TestKeepConfig checks that an agent passes the newest configuration that it has received
// to an entry that has none when it links, and to no other.
func TestKeepConfig(t *testing.T) {
	c := qt.New(t)
	d, link := startDriver(t, &fakeServer{}, &fakeStore{}) // The entry of this link has none.
	for _, version := range []uint64{5, 4} {
		c.Assert(link.Send(&tasklink.Commands{Config: &pollenfront.Config{Version: version}}), qt.IsNil)
	}
	update := awaitUpdate(t, link, func(update *tasklink.Update) bool { return update.Config != nil })
	c.Assert(update.Config.Version, qt.Equals, uint64(5))
	for _, needs := range []bool{true, false} {
		entryConn, agentConn := net.Pipe()
		other := tasklink.NewLink(entryConn)
		ref := pollenfront.EntryRef{Incarnation: 1, Name: "entry-2"}
		c.Assert(d.addLink(&entryLink{Link: tasklink.NewLink(agentConn), needsConfig: needs, ref: ref}), qt.IsNil)
		var hello tasklink.Hello
		c.Assert(other.Receive(&hello), qt.IsNil)
		update := awaitUpdate(t, other, func(*tasklink.Update) bool { return true })
		c.Assert(update.Config != nil, qt.Equals, needs)
		other.Close()
	}
}

// TestSuspendedStart guards against a start request that is sent after a suspension of the
// agent. The server may have been restarted meanwhile, and would start a run that its entry
// considers lost.
func TestSuspendedStart(t *testing.T) {
	c := qt.New(t)
	server := &fakeServer{}
	d := New(tasklink.Hello{Name: "agent-1"}, server, &fakeStore{}, prometheus.NewRegistry(), zap.NewNop())
	d.startRun(bootclock.Now()-time.Second, pollenfront.StartRequest{Timeout: time.Second}, nil)
	c.Assert(server.startRequests, qt.HasLen, 0)
	d.startRun(bootclock.Now(), pollenfront.StartRequest{Timeout: time.Second}, nil)
	c.Assert(server.startRequests, qt.HasLen, 1)
}
