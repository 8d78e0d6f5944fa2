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

// service is the name of the only service.
const service = "service"

// An entryNode is an entry with its scheduler.
type entryNode struct {
	node

	attempts    map[string]int // attempts holds the attempt numbers of the submitted jobs without an answer, by ID.
	incarnation uint64
	index       int
	links       map[string]entryLink // links are the open links, by name of the agent.
	name        string
	scheduler   *scheduler.Scheduler
}

// An entryLink is the entry's side of a link. The epoch distinguishes it from earlier
// links between the same entry and agent.
type entryLink struct {
	epoch       uint64
	incarnation uint64 // incarnation is the incarnation of the agent.
}

// newEntryNode returns an entry that starts at once.
func newEntryNode(f *Fleet, i int) *entryNode {
	e := &entryNode{node: node{fleet: f}, index: i, name: entryName(i)}
	e.start()
	return e
}

// entryName returns the name of the entry with an index.
func entryName(i int) string {
	return fmt.Sprintf("entry-%d", i)
}

// start starts a new incarnation of the entry.
func (e *entryNode) start() {
	e.up = true
	e.incarnation = uint64(e.fleet.now / time.Millisecond) //nolint:gosec // Not negative.
	options := []scheduler.Option{scheduler.WithChooser(e.fleet.settings.Chooser), e.fleet.interferenceOption()}
	if e.fleet.settings.FairShares {
		options = append(options, scheduler.WithFairShares())
	}
	e.scheduler = scheduler.New(e.fleet.now, e.name, e.fleet.zoneName(e.index), options...)
	e.scheduler.SetEntries(e.fleet.entryRecords())
	e.scheduler.SetRemoteFactor(remoteFactor)
	if e.fleet.settings.DemandShares {
		e.scheduler.EnableDemandShares()
	}
	e.links = make(map[string]entryLink)
	e.attempts = make(map[string]int)
	e.tick()
}

// kill kills the entry and restarts it after a delay. The callers of its jobs resubmit
// them.
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

// tick runs the timers of the scheduler and closes the links to silent agents, at
// regular intervals.
func (e *entryNode) tick() {
	e.applyEffects(e.scheduler.Tick(e.fleet.now))
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

// applyEffects carries out the effects that the scheduler returned.
func (e *entryNode) applyEffects(effects *scheduler.Effects) {
	e.fleet.recordInterference(effects)
	for _, result := range effects.Results {
		attempt, ok := e.attempts[result.ID]
		if !ok {
			continue
		}
		delete(e.attempts, result.ID)
		e.fleet.schedule(callerEntryDelay, func() { e.fleet.handleResult(result, attempt) })
	}
	for _, a := range e.fleet.agents {
		commands, ok := effects.Commands[a.name]
		if !ok {
			continue
		}
		e.scheduler.MarkSent(e.fleet.now, a.name)
		if e.links[a.name].epoch != 0 {
			e.sendCommands(a, commands)
		}
	}
}

// sendCommands sends commands to an agent. The agent ignores them if the link has
// been closed meanwhile.
func (e *entryNode) sendCommands(a *agentNode, commands *tasklink.Commands) {
	ref := pollenfront.EntryRef{Incarnation: e.incarnation, Name: e.name}
	generation, epoch := a.generation, e.links[a.name].epoch
	e.fleet.result.Messages++
	e.fleet.deliver(e.index, a, func() {
		a.handleEvent(generation, func() {
			if a.linkEpochs[e.index] == epoch {
				a.lastReceived[e.index], a.agentCounts[e.index] = e.fleet.now, commands.AgentCount
				a.applyEffects(a.executor.HandleCommands(e.fleet.now, ref, commands))
			}
		})
	})
}

// submit submits an attempt of a job to the scheduler.
func (e *entryNode) submit(j *callerJob, attempt int) {
	e.handleEvent(e.generation, func() {
		e.attempts[j.id] = attempt
		e.applyEffects(e.scheduler.Submit(e.fleet.now, pollenfront.Submission{
			DataLabel: j.kind.DataRack, Estimate: j.estimate, ID: j.id, Need: j.need, TaskCount: j.taskCount, TimeLimit: j.timeLimit,
			Route: pollenfront.Route{
				LatencyTarget: j.kind.LatencyTarget, MaxAttempts: 3, Name: j.kind.Name, PathPrefix: j.kind.Name, Priority: j.kind.Priority, Service: service, Stretch: stretch,
			},
		}))
	})
}

// cancel cancels a job whose caller has left.
func (e *entryNode) cancel(id string) {
	e.handleEvent(e.generation, func() {
		if _, ok := e.attempts[id]; ok {
			delete(e.attempts, id)
			e.applyEffects(e.scheduler.Cancel(e.fleet.now, id))
		}
	})
}
