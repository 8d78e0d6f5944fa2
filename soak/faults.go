package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/pollenfront/pollenfront/soak/internal/callers"
	"github.com/pollenfront/pollenfront/soak/internal/fleet"
	"github.com/pollenfront/pollenfront/soak/internal/proxy"
	"github.com/pollenfront/pollenfront/standin/backendserver"
	"github.com/pollenfront/pollenfront/standin/store"
)

// Parameters of a schedule of faults.
const (
	// maxDuration is the upper bound of the durations of faults.
	maxDuration = 4 * time.Second

	// meanPause is the mean time from one fault, or pair of faults, to the next.
	meanPause = 700 * time.Millisecond

	// pairShare is the share of faults that are injected together with a second one, in
	// the same machines.
	pairShare = 0.4

	// maxServerDown is the upper bound of the times for which a backend server is down.
	maxServerDown = 2 * time.Second
)

// clockSteps are the steps by which the time of day of a backend server changes, and by which
// the incarnation in the announcement of another writer differs.
var clockSteps = []time.Duration{-24 * time.Hour, -10 * time.Second, 10 * time.Second, 24 * time.Hour}

// An injector injects faults into a fleet. Each of its methods that inject a
// fault returns a description of the fault for the output.
type injector struct {
	// agent is the number of the agent, and of the backend server beside it, that the next
	// faults hit.
	agent   int
	callers *callers.Callers
	ctx     context.Context //nolint:containedctx // The context has the lifetime of the injector.

	// entry is the number of the entry that the next faults hit.
	entry  int
	fleet  *fleet.Fleet
	random *rand.Rand
	start  time.Time
}

// injectFaults injects faults drawn from a seed until ctx is done, and prints them.
// Faults overlap, and some are injected in pairs. The last ones end up to maxDuration after
// ctx is done; a disabled zone returns to service up to twice maxDuration after ctx is done,
// and a server that leaves is back up to maxServerDown after maxDuration. Faults that are
// listed twice are drawn twice as often.
func injectFaults(ctx context.Context, f *fleet.Fleet, c *callers.Callers, seed uint64) {
	i := &injector{callers: c, ctx: ctx, fleet: f, random: rand.New(rand.NewPCG(seed, 3)), start: time.Now()} //nolint:gosec // The schedule must be reproducible.
	faults := []func(duration time.Duration) string{
		i.killProcess, i.killProcess, i.terminateProcess, i.suspendProcess, i.suspendProcess, i.holdLinks, i.resetLinks, i.delayLinks,
		i.setStoreFault, i.setStoreFault, i.discardStoreHistory,
		i.setServerFault, i.setServerFault, i.restartServer, i.drainServer, i.disableZone, i.updateConfig,
		i.hinderStops, i.hinderStops, i.delayRequests, i.delayRequests, i.crashServer, i.crashServer, i.stepServerClock, i.leave, i.closeListener,
		i.announceAsOther, i.sendFormerMessage, i.resetCallers, i.resetCallers,
	}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(i.random.ExpFloat64() * float64(meanPause)))
		i.agent, i.entry = i.random.IntN(len(i.fleet.Agents)), i.random.IntN(len(i.fleet.Entries))
		count := 1
		if i.random.Float64() < pairShare {
			count = 2
		}
		for range count {
			duration := time.Duration(i.random.Int64N(int64(maxDuration)))
			fault := faults[i.random.IntN(len(faults))]
			if ctx.Err() == nil {
				fmt.Printf("%s %6.2f s %s (duration %v)\n", time.Now().Format("15:04:05.000"), time.Since(i.start).Seconds(), fault(duration), duration.Round(time.Millisecond))
			}
		}
	}
}

// randomProcess returns the entry or the agent that the next faults hit, with its name.
func (i *injector) randomProcess() (*fleet.Process, string) {
	n := i.random.IntN(len(i.fleet.Entries) + len(i.fleet.Agents))
	if n < len(i.fleet.Entries) {
		return i.fleet.Entries[i.entry], fmt.Sprintf("entry-%d", i.entry)
	}
	return i.fleet.Agents[i.agent], fmt.Sprintf("agent-%d", i.agent)
}

// killProcess kills a process with SIGKILL.
func (i *injector) killProcess(time.Duration) string {
	p, name := i.randomProcess()
	p.Signal(syscall.SIGKILL)
	return "kill " + name
}

// terminateProcess has a process drain and exit, with SIGTERM.
func (i *injector) terminateProcess(time.Duration) string {
	p, name := i.randomProcess()
	p.Signal(syscall.SIGTERM)
	return "terminate " + name
}

// suspendProcess stops a process with SIGSTOP and continues it after the
// duration.
func (i *injector) suspendProcess(duration time.Duration) string {
	p, name := i.randomProcess()
	p.Signal(syscall.SIGSTOP)
	time.AfterFunc(duration, func() { p.Signal(syscall.SIGCONT) })
	return "suspend " + name
}

// holdLinks holds what is sent in one direction of the links of an entry.
func (i *injector) holdLinks(duration time.Duration) string {
	n, direction := i.entry, proxy.Direction(i.random.IntN(2))
	i.fleet.Proxies[n].Hold(direction, duration)
	return fmt.Sprintf("hold direction %d of links to entry-%d", direction, n)
}

// resetLinks resets the links of an entry.
func (i *injector) resetLinks(time.Duration) string {
	n := i.entry
	i.fleet.Proxies[n].Reset()
	return fmt.Sprintf("reset links to entry-%d", n)
}

// delayLinks delays all traffic on the links of an entry by less than 300 ms.
func (i *injector) delayLinks(duration time.Duration) string {
	n := i.entry
	i.fleet.Proxies[n].Delay(time.Duration(i.random.IntN(300)) * time.Millisecond)
	time.AfterFunc(duration, func() { i.fleet.Proxies[n].Delay(0) })
	return fmt.Sprintf("delay links to entry-%d", n)
}

// setStoreFault makes the store misbehave for the duration.
func (i *injector) setStoreFault(duration time.Duration) string {
	fault := []store.Fault{store.Busy, store.ResponseLost, store.Reset, store.Unresponsive}[i.random.IntN(4)]
	i.fleet.Store.SetFault(fault)
	time.AfterFunc(duration, func() { i.fleet.Store.SetFault(store.None) })
	return fmt.Sprintf("store fault %d", fault)
}

// discardStoreHistory has the store discard its history of changes, so that
// polls have to read all rows again.
func (i *injector) discardStoreHistory(time.Duration) string {
	i.fleet.Store.DiscardHistory()
	return "store discards its history"
}

// server returns the backend server that the next faults hit, with its number.
func (i *injector) server() (*backendserver.Server, int) {
	return i.fleet.Servers[i.agent], i.agent
}

// setServerFault makes a backend server misbehave for the duration.
func (i *injector) setServerFault(duration time.Duration) string {
	s, n := i.server()
	fault := []backendserver.Fault{{Dark: true}, {Fails: true}, {Hangs: true}, {LateRate: 0.3}, {Slow: 6}}[i.random.IntN(5)]
	time.AfterFunc(duration, s.AddFault(fault))
	return fmt.Sprintf("server-%d %+v", n, fault)
}

// addFaultToAll adds a fault to all backend servers for twice the duration, but at most until
// maxDuration after the context is done.
func (i *injector) addFaultToAll(fault backendserver.Fault, duration time.Duration) string {
	deadline, _ := i.ctx.Deadline()
	duration = min(2*duration, time.Until(deadline)+maxDuration)
	for _, s := range i.fleet.Servers {
		time.AfterFunc(duration, s.AddFault(fault))
	}
	return fmt.Sprintf("all servers %+v for twice the duration", fault)
}

// hinderStops has all backend servers lose many stop requests, or carry them out late, for
// twice the duration, while they answer other requests.
func (i *injector) hinderStops(duration time.Duration) string {
	share := []float64{0.5, 0.9}[i.random.IntN(2)]
	fault := []backendserver.Fault{{LateStopRate: share}, {LostStopRate: share}}[i.random.IntN(2)]
	return i.addFaultToAll(fault, duration)
}

// delayRequests has all backend servers carry out requests late for twice the duration.
func (i *injector) delayRequests(duration time.Duration) string {
	fault := backendserver.Fault{LateRate: []float64{0.3, 0.8}[i.random.IntN(2)], LateRenewalRate: []float64{0, 0.3}[i.random.IntN(2)]}
	return i.addFaultToAll(fault, duration)
}

// restartServer restarts a backend server: its runs end, and its new incarnation
// does not report them.
func (i *injector) restartServer(time.Duration) string {
	s, n := i.server()
	s.Restart()
	return fmt.Sprintf("restart server-%d", n)
}

// randomDown returns a random time for which a backend server is down.
func (i *injector) randomDown() time.Duration {
	return time.Duration(i.random.Int64N(int64(maxServerDown)))
}

// crashServer crashes a backend server, and starts it again under its ID.
func (i *injector) crashServer(time.Duration) string {
	s, n := i.server()
	down := i.randomDown()
	s.Crash(down)
	return fmt.Sprintf("crash server-%d, down for %v", n, down)
}

// stepServerClock crashes a backend server, and starts it again after its time of day has been
// changed.
func (i *injector) stepServerClock(time.Duration) string {
	s, n := i.server()
	down, step := i.randomDown(), clockSteps[i.random.IntN(len(clockSteps))]
	s.CrashWithClockStep(down, step)
	return fmt.Sprintf("crash server-%d, down for %v, and step its clock by %v", n, down, step)
}

// leave has a backend server send the notice that it leaves, go on with its runs for the
// duration and end. It is started again later.
func (i *injector) leave(duration time.Duration) string {
	s, n := i.server()
	down := i.randomDown()
	s.Leave(duration, down)
	return fmt.Sprintf("notice that server-%d leaves, down for %v after it goes on", n, down)
}

// closeListener closes the listener of a backend server for the duration; its runs go on. In
// half of the cases its connections are kept.
func (i *injector) closeListener(duration time.Duration) string {
	s, n := i.server()
	keep := i.random.IntN(2) == 0
	s.CloseListener(duration, keep)
	return fmt.Sprintf("close the listener of server-%d, connections kept: %t", n, keep)
}

// announceAsOther sends an announcement of another writer to an agent.
func (i *injector) announceAsOther(time.Duration) string {
	s, n := i.server()
	difference := clockSteps[i.random.IntN(len(clockSteps))]
	go s.AnnounceAsOther(difference)
	return fmt.Sprintf("announce server-%d with an incarnation that differs by %v", n, difference)
}

// sendFormerMessage sends an announcement or a notice of the former incarnation of a backend
// server to its agent.
func (i *injector) sendFormerMessage(time.Duration) string {
	s, n := i.server()
	if i.random.IntN(2) == 0 {
		go s.SendFormerAnnouncement()
		return fmt.Sprintf("former announcement of server-%d", n)
	}
	go s.SendFormerNotice()
	return fmt.Sprintf("former notice of server-%d", n)
}

// resetCallers resets the connections of callers to an entry.
func (i *injector) resetCallers(time.Duration) string {
	i.callers.ResetConnections(i.entry)
	return fmt.Sprintf("reset the connections of callers to entry-%d", i.entry)
}

// drainServer has a backend server drain for the duration.
func (i *injector) drainServer(duration time.Duration) string {
	s, n := i.server()
	s.SetDraining(true)
	time.AfterFunc(duration, func() { s.SetDraining(false) })
	return fmt.Sprintf("drain server-%d", n)
}

// disableZone takes a zone out of service for twice the duration, up to 8 s.
func (i *injector) disableZone(duration time.Duration) string {
	zone := fleet.Zone(i.random.IntN(3))
	i.fleet.SetZoneDisabled(zone, true)
	time.AfterFunc(2*duration, func() { i.fleet.SetZoneDisabled(zone, false) })
	return "take out " + zone + " for twice the duration"
}

// updateConfig writes a new version of the configuration. The version grows with
// time: it is the number of milliseconds since the start, plus 2, as the fleet
// starts with version 1.
func (i *injector) updateConfig(time.Duration) string {
	version := int(time.Since(i.start)/time.Millisecond) + 2
	i.fleet.Configure(version)
	return fmt.Sprintf("configure version %d", version)
}
