package jobs

import (
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// percentTime is the time in which a run reports one percent of progress.
const percentTime = 100 * time.Millisecond

// A cancelFleet is an agent with a backend server, and the entries to which it is linked. The
// runs on the server do not end by themselves.
type cancelFleet struct {
	entries []*Jobs
	t       *testing.T

	endedRuns   []pollenfront.EndedRun
	executor    *executor.Executor
	leaseExpiry time.Duration
	linkCount   uint64
	links       []*tasklink.Link                    // links has the links to the entries, nil for those that are lost.
	loseStops   bool                                // loseStops is whether requests to stop runs get lost.
	mu          sync.Mutex                          // mu guards the fields but entries and t.
	running     map[pollenfront.RunID]time.Duration // running has the starts of the runs on the server.
	startCount  int
}

// newCancelFleet returns a fleet with a number of entries, which are all linked.
func newCancelFleet(t *testing.T, entries int) *cancelFleet {
	t.Helper()
	now := bootclock.Now()
	f := &cancelFleet{
		executor: executor.New("agent-1", "service", "west", 10), links: make([]*tasklink.Link, entries), running: make(map[pollenfront.RunID]time.Duration), t: t,
	}
	f.renew(now)
	f.executor.HandleAnnouncement(now, pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: 64000}, Clock: now, Incarnation: 1, SeqNum: 1, Zone: "west"})
	for i := range entries {
		self := tasklink.Hello{Incarnation: 1, Name: entryName(i), Version: tasklink.Version, Zone: "west"}
		f.entries = append(f.entries, New(self, nil, prometheus.NewRegistry(), zap.NewNop()))
		f.link(i)
	}
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() { f.run(stop) })
	t.Cleanup(func() {
		close(stop)
		done.Wait()
		for i := range entries {
			f.unlink(i)
		}
	})
	for _, j := range f.entries {
		for !f.usable(j) {
			time.Sleep(time.Millisecond)
		}
	}
	return f
}

// entryName returns the name of the entry with an index.
func entryName(i int) string {
	return []string{"entry-1", "entry-2", "entry-3"}[i]
}

// usable reports whether an entry can send tasks to the agent.
func (f *cancelFleet) usable(j *Jobs) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.scheduler.UsableAgents(bootclock.Now()) > 0
}

// link opens a link to an entry.
func (f *cancelFleet) link(i int) {
	f.t.Helper()
	c := qt.New(f.t)
	entryConn, agentConn := net.Pipe()
	go f.entries[i].serveLink(f.entries[i].newLink(entryConn))
	link := tasklink.NewLink(agentConn)
	var hello tasklink.Hello
	c.Assert(link.Receive(&hello), qt.IsNil)
	ref := pollenfront.EntryRef{Incarnation: hello.Incarnation, Name: hello.Name}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := bootclock.Now()
	runs, effects := f.executor.LinkEntry(now, ref)
	f.linkCount++
	c.Assert(link.Send(&tasklink.Hello{
		Cancellations: f.executor.NextCancellations(now, ref.Name), Incarnation: 1, LinkSeqNum: f.linkCount, Name: "agent-1", Runs: runs, Service: "service",
		Version: tasklink.Version, Zone: "west",
	}), qt.IsNil)
	f.links[i] = link
	f.apply(now, effects)
	go f.receive(link, ref)
}

// unlink closes the link to an entry.
func (f *cancelFleet) unlink(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links[i] != nil {
		f.links[i].Close()
		f.links[i] = nil
		f.executor.UnlinkEntry(pollenfront.EntryRef{Incarnation: 1, Name: entryName(i)})
	}
}

// receive passes commands to the executor until the link is closed.
func (f *cancelFleet) receive(link *tasklink.Link, ref pollenfront.EntryRef) {
	for {
		var commands tasklink.Commands
		if link.Receive(&commands) != nil {
			return
		}
		f.mu.Lock()
		now := bootclock.Now()
		f.apply(now, f.executor.HandleCommands(now, ref, &commands))
		f.mu.Unlock()
	}
}

// run passes ticks to the entries and the executor, renews the lease and sends updates.
func (f *cancelFleet) run(stop chan struct{}) {
	ticker := time.NewTicker(executor.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		now := bootclock.Now()
		f.apply(now, f.renew(now))
		f.apply(now, f.executor.Tick(now))
		for i := range f.links {
			f.update(now, entryName(i))
		}
		f.mu.Unlock()
		for _, j := range f.entries {
			j.tick()
		}
	}
}

// renew renews the lease. If it has expired, the server has killed its runs.
func (f *cancelFleet) renew(now time.Duration) executor.Effects {
	if now > f.leaseExpiry {
		clear(f.running)
	}
	request := f.executor.NextRenewal(now)
	f.leaseExpiry = max(f.leaseExpiry, request.LeaseExpiry)
	response := &pollenfront.RenewalResponse{Clock: now, Ended: f.endedRuns, Incarnation: 1}
	for run, started := range f.running {
		response.Running = append(response.Running, pollenfront.RunningRun{Percent: int((now - started) / percentTime), Run: run})
	}
	return f.executor.HandleRenewal(now, now, response)
}

// apply carries out the effects that the executor returned.
func (f *cancelFleet) apply(now time.Duration, effects executor.Effects) {
	for _, request := range effects.Starts {
		f.running[request.Run] = now
		f.startCount++
		f.leaseExpiry = max(f.leaseExpiry, request.LeaseExpiry)
		f.apply(now, f.executor.HandleStartResponse(now, request, now, nil))
	}
	for _, request := range effects.Stops {
		if f.loseStops {
			continue
		}
		if _, ok := f.running[request.Run]; ok {
			delete(f.running, request.Run)
			f.endedRuns = append(f.endedRuns, pollenfront.EndedRun{Ending: pollenfront.EndingStopped, Run: request.Run, SeqNum: uint64(len(f.endedRuns) + 1)})
		}
		f.executor.HandleStopResponse(now, request, now, nil)
	}
	for _, name := range effects.Notify {
		f.update(now, name)
	}
}

// update sends an update to an entry if it is linked.
func (f *cancelFleet) update(now time.Duration, name string) {
	for i, link := range f.links {
		if link == nil || entryName(i) != name {
			continue
		}
		if update, ok := f.executor.NextUpdate(now, name); ok {
			_ = link.Send(&update)
		}
	}
}

// counts returns the number of runs on the server, and of those that were ever started.
func (f *cancelFleet) counts() (running, started int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.running), f.startCount
}

// setLoseStops sets whether requests to stop runs get lost.
func (f *cancelFleet) setLoseStops() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseStops = true
}
