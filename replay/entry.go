package replay

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Names of the only service and zone.
const (
	service = "service"
	zone    = "zone"
)

// An entryNode is an entry.
type entryNode struct {
	node

	attempts    map[string]int // Attempts of jobs that wait here.
	incarnation uint64
	index       int
	links       map[string]entryLink // By agent.
	name        string
	scheduler   *scheduler.Scheduler
}

// An entryLink is the entry's side of a link.
type entryLink struct {
	epoch       uint64
	incarnation uint64 // Of the agent.
}

// newEntryNode returns an entry that starts now.
func newEntryNode(f *Fleet, i int) *entryNode {
	e := &entryNode{node: node{fleet: f}, index: i, name: entryName(i)}
	e.start()
	return e
}

// entryName returns the name of an entry.
func entryName(i int) string {
	return fmt.Sprintf("entry-%d", i)
}

// start starts the entry.
func (e *entryNode) start() {
	e.up = true
	e.incarnation = uint64(e.fleet.now / time.Millisecond) //nolint:gosec // Not negative.
	e.scheduler = scheduler.New(e.fleet.now, e.name, zone, scheduler.WithChooser(e.fleet.settings.Chooser))
	var records []pollenfront.EntryRecord
	for i := range e.fleet.settings.Entries {
		records = append(records, pollenfront.EntryRecord{Name: entryName(i), Zone: zone})
	}
	e.scheduler.SetEntries(records)
	e.scheduler.SetRemoteFactor(remoteFactor)
	e.links = make(map[string]entryLink)
	e.attempts = make(map[string]int)
	e.tick()
}

// kill kills the entry and starts it again after a time. Its callers submit
// their jobs again elsewhere.
func (e *entryNode) kill(d time.Duration) {
	e.up = false
	e.generation++
	for _, a := range e.fleet.agents {
		epoch := a.linkEpochs[e.index]
		e.fleet.deliver(e.index, a, func() { e.fleet.closeAgentSide(e.index, a, epoch) })
	}
	for _, id := range slices.Sorted(maps.Keys(e.attempts)) {
		e.fleet.resubmit(id, e.attempts[id])
	}
	e.fleet.schedule(d, e.start)
}

// tick lets time pass.
func (e *entryNode) tick() {
	e.perform(e.scheduler.Tick(e.fleet.now))
	for _, ref := range e.scheduler.SilentAgents(e.fleet.now) {
		for _, a := range e.fleet.agents {
			if link, ok := e.links[a.name]; ok && a.name == ref.Name {
				delete(e.links, a.name)
				e.scheduler.UnlinkAgent(ref.Name, ref.Incarnation)
				e.fleet.deliver(e.index, a, func() { e.fleet.closeAgentSide(e.index, a, link.epoch) })
			}
		}
	}
	e.schedule(scheduler.TickInterval, e.tick)
}

// perform carries out what the scheduler decided.
func (e *entryNode) perform(fx *scheduler.Effects) {
	for _, answer := range fx.Results {
		attempt, ok := e.attempts[answer.ID]
		if !ok {
			continue
		}
		delete(e.attempts, answer.ID)
		e.fleet.schedule(callerDelay, func() { e.fleet.handleResult(answer, attempt) })
	}
	for _, a := range e.fleet.agents {
		orders, ok := fx.Commands[a.name]
		if !ok {
			continue
		}
		e.scheduler.MarkSent(e.fleet.now, a.name)
		if e.links[a.name].epoch != 0 {
			e.sendCommands(a, orders)
		}
	}
}

// sendCommands sends orders to an agent.
func (e *entryNode) sendCommands(a *agentNode, orders *tasklink.Commands) {
	ref := pollenfront.EntryRef{Incarnation: e.incarnation, Name: e.name}
	generation, epoch := a.generation, e.links[a.name].epoch
	e.fleet.deliver(e.index, a, func() {
		a.process(generation, func() {
			if a.linkEpochs[e.index] == epoch {
				a.lastReceived[e.index] = e.fleet.now
				a.perform(a.executor.HandleCommands(e.fleet.now, ref, orders))
			}
		})
	})
}

// submit submits a job of a caller.
func (e *entryNode) submit(j *callerJob, attempt int) {
	e.process(e.generation, func() {
		e.attempts[j.id] = attempt
		e.perform(e.scheduler.Submit(e.fleet.now, pollenfront.Submission{
			Count: j.taskCount, DataLabel: j.kind.DataRack, Estimate: j.estimate, ID: j.id, Need: j.need, TimeLimit: j.timeLimit,
			Route: pollenfront.Route{
				LatencyTarget: j.kind.LatencyTarget, MaxAttempts: 3, Name: j.kind.Name, Priority: j.kind.Priority, Service: service, Stretch: stretch,
			},
		}))
	})
}

// cancel notes that a caller has left.
func (e *entryNode) cancel(id string) {
	e.process(e.generation, func() {
		if _, ok := e.attempts[id]; ok {
			delete(e.attempts, id)
			e.perform(e.scheduler.Cancel(e.fleet.now, id))
		}
	})
}
