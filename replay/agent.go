package replay

import (
	"fmt"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/cell"
	"github.com/pollenfront/pollenfront/executor"
)

const (
	rackCount          = 4
	linkSilenceTimeout = 1500 * time.Millisecond // linkSilenceTimeout is the time without messages after which an agent closes a link.
)

// An agentNode is an agent together with its server.
type agentNode struct {
	node

	agentCounts    map[int]int // agentCounts holds the newest AgentCount of each entry, by its index.
	cell           *cell.Cell
	dialing        map[int]bool                 // dialing holds the entries to which there is a link or that are being dialed, by index.
	entryRefs      map[int]pollenfront.EntryRef // entryRefs identify the incarnations of the linked entries, by index of the entry.
	executor       *executor.Executor
	incarnation    uint64
	index          int
	lastReceived   map[int]time.Duration // lastReceived is the time of the last message from an entry, by index of the entry.
	linkEpochs     map[int]uint64        // linkEpochs are the epochs of the open links, by index of the entry. Epochs are never zero.
	name           string
	renewals       int    // renewals is the number of renewals sent.
	recordingToken bool   // recordingToken is set while the agent has a call to the store in progress.
	recordedToken  uint64 // recordedToken is the highest fencing token that this incarnation has recorded in the store.
	server         *serverNode
	slowTicks      int // slowTicks counts the faults that make the timers of the executor run late.
	startedAt      time.Duration
	// timeOfDayStep is by how much the time of day of the agent's machine has been set ahead.
	timeOfDayStep time.Duration
	wanted        map[int]bool // wanted holds the entries to which there should be links, by index.
	zone          string
}

// newAgentNode returns an agent with its server. The agent starts at once, except in a
// clairvoyant fleet, which uses only the servers.
func newAgentNode(f *Fleet, i int, runTimeFactor, clockRate float64) *agentNode {
	a := &agentNode{node: node{fleet: f}, index: i, name: fmt.Sprintf("agent-%d", i), server: newServerNode(f, runTimeFactor, clockRate), zone: f.zoneName(i)}
	a.server.rack = a.rack()
	a.server.announce = func() { a.handleEvent(a.generation, a.announceServer) }
	a.server.deregister = func() {
		a.handleEvent(a.generation, func() { a.applyEffects(a.executor.HandleDeregistration(a.fleet.now)) })
	}
	if f.centralQueue == nil {
		a.start()
	}
	return a
}

// start starts a new incarnation of the agent.
func (a *agentNode) start() {
	a.up, a.startedAt = true, a.fleet.now
	a.incarnation = uint64((firstTimeOfDay + a.fleet.now + a.timeOfDayStep) / time.Millisecond) //nolint:gosec // Not negative.
	a.executor = executor.New(a.name, service, a.zone, a.incarnation)
	if a.fleet.settings.DemandShares {
		a.executor.EnableDemandShares()
	}
	a.executor.SetInterference(a.fleet.settings.InterferenceMode)
	a.recordedToken, a.recordingToken = 0, false
	a.recordToken()
	a.linkEpochs = make(map[int]uint64)
	a.lastReceived = make(map[int]time.Duration)
	a.entryRefs = make(map[int]pollenfront.EntryRef)
	a.tick()
	a.sendUpdates()
	a.renew()
	a.announce()
	a.cell = cell.New(a.fleet.now, a.name, a.zone, nil)
	a.cell.SetEntries(a.fleet.entryRecords())
	a.agentCounts, a.dialing = make(map[int]int), make(map[int]bool)
	a.updateCell()
}

// kill kills the agent and restarts it after a delay.
func (a *agentNode) kill(d time.Duration) {
	a.up = false
	a.generation++
	for e := range a.fleet.entries {
		a.fleet.closeEntrySide(e, a, a.linkEpochs[e])
	}
	a.fleet.schedule(d, a.start)
}

// tick runs the timers of the executor at regular intervals.
func (a *agentNode) tick() {
	a.applyEffects(a.executor.Tick(a.fleet.now))
	a.schedule(executor.TickInterval+a.drawTickDelay(), a.tick)
}

// rack returns the label of the server's rack.
func (a *agentNode) rack() string {
	return fmt.Sprintf("rack-%d", a.index%rackCount)
}

// applyEffects carries out the effects that the executor returned.
func (a *agentNode) applyEffects(effects executor.Effects) {
	a.recordToken()
	if effects.RenewNow || effects.TokenRaise != nil {
		a.renew()
	}
	for _, request := range effects.Starts {
		a.callServer(Starts, request.Timeout, func() error { return a.server.start(request) }, func(clock time.Duration, err error) {
			a.applyEffects(a.executor.HandleStartResponse(a.fleet.now, request, clock, err))
		})
	}
	for _, request := range effects.Stops {
		a.callServer(Stops, executor.StopTimeout, func() error { return a.server.receiveStop(request.Run, request.Token) }, func(clock time.Duration, err error) {
			a.applyEffects(a.executor.HandleStopResponse(a.fleet.now, request, clock, err))
		})
	}
	for _, name := range effects.Notify {
		for e, n := range a.fleet.entries {
			if n.name == name && a.linkEpochs[e] != 0 {
				a.sendUpdate(e)
			}
		}
	}
}
