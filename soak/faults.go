package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/pollenfront/pollenfront/soak/internal/fleet"
	"github.com/pollenfront/pollenfront/soak/internal/proxy"
	"github.com/pollenfront/pollenfront/standin/backendserver"
	"github.com/pollenfront/pollenfront/standin/store"
)

// Parameters of a schedule of faults.
const (
	// maxDuration is the upper bound of the durations of faults.
	maxDuration = 4 * time.Second

	// meanPause is the mean time between two faults.
	meanPause = 700 * time.Millisecond
)

// An injector injects faults into a fleet. Each of its methods that inject a
// fault returns a description of the fault for the output.
type injector struct {
	ctx    context.Context //nolint:containedctx // The context has the lifetime of the injector.
	fleet  *fleet.Fleet
	random *rand.Rand
	start  time.Time
}

// injectFaults injects faults drawn from a seed until ctx is done, and prints them.
// Faults overlap. The last ones end up to maxDuration after ctx is done; a disabled
// zone returns to service up to twice maxDuration after ctx is done. Faults that are
// listed twice are drawn twice as often.
func injectFaults(ctx context.Context, f *fleet.Fleet, seed uint64) {
	i := &injector{ctx: ctx, fleet: f, random: rand.New(rand.NewPCG(seed, 3)), start: time.Now()} //nolint:gosec // The schedule must be reproducible.
	faults := []func(duration time.Duration) string{
		i.killProcess, i.killProcess, i.terminateProcess, i.suspendProcess, i.suspendProcess, i.holdLinks, i.resetLinks, i.delayLinks,
		i.setStoreFault, i.setStoreFault, i.discardStoreHistory,
		i.setServerFault, i.setServerFault, i.restartServer, i.drainServer, i.disableZone, i.updateConfig,
	}
	for ctx.Err() == nil {
		pause := time.Duration(i.random.ExpFloat64() * float64(meanPause))
		duration := time.Duration(i.random.Int64N(int64(maxDuration)))
		fault := faults[i.random.IntN(len(faults))]
		time.Sleep(pause)
		if ctx.Err() == nil {
			fmt.Printf("%6.2f s %s for %v\n", time.Since(i.start).Seconds(), fault(duration), duration.Round(time.Millisecond))
		}
	}
}

// randomProcess returns a random entry or agent, with its name.
func (i *injector) randomProcess() (*fleet.Process, string) {
	n := i.random.IntN(len(i.fleet.Entries) + len(i.fleet.Agents))
	if n < len(i.fleet.Entries) {
		return i.fleet.Entries[n], fmt.Sprintf("entry-%d", n)
	}
	n -= len(i.fleet.Entries)
	return i.fleet.Agents[n], fmt.Sprintf("agent-%d", n)
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
	n, direction := i.random.IntN(len(i.fleet.Proxies)), proxy.Direction(i.random.IntN(2))
	i.fleet.Proxies[n].Hold(direction, duration)
	return fmt.Sprintf("hold direction %d of links to entry-%d", direction, n)
}

// resetLinks resets the links of an entry.
func (i *injector) resetLinks(time.Duration) string {
	n := i.random.IntN(len(i.fleet.Proxies))
	i.fleet.Proxies[n].Reset()
	return fmt.Sprintf("reset links to entry-%d", n)
}

// delayLinks delays all traffic on the links of an entry by less than 300 ms.
func (i *injector) delayLinks(duration time.Duration) string {
	n := i.random.IntN(len(i.fleet.Proxies))
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

// randomServer returns a random backend server, with its number.
func (i *injector) randomServer() (*backendserver.Server, int) {
	n := i.random.IntN(len(i.fleet.Servers))
	return i.fleet.Servers[n], n
}

// setServerFault makes a backend server misbehave for the duration.
func (i *injector) setServerFault(duration time.Duration) string {
	s, n := i.randomServer()
	fault := []backendserver.Fault{{Dark: true}, {Fails: true}, {Hangs: true}, {LateRate: 0.3}, {Slow: 6}}[i.random.IntN(5)]
	s.SetFault(fault)
	time.AfterFunc(duration, func() { s.SetFault(backendserver.Fault{}) })
	return fmt.Sprintf("server-%d %+v", n, fault)
}

// restartServer restarts a backend server: its runs end, and its new incarnation
// does not report them.
func (i *injector) restartServer(time.Duration) string {
	s, n := i.randomServer()
	s.Restart()
	return fmt.Sprintf("restart server-%d", n)
}

// drainServer has a backend server drain for the duration.
func (i *injector) drainServer(duration time.Duration) string {
	s, n := i.randomServer()
	s.SetDraining(true)
	time.AfterFunc(duration, func() { s.SetDraining(false) })
	return fmt.Sprintf("drain server-%d", n)
}

// disableZone takes a zone out of service for twice the duration, up to 8 s.
func (i *injector) disableZone(duration time.Duration) string {
	zone := fleet.Zone(i.random.IntN(3))
	i.fleet.SetZoneDisabled(zone, true)
	time.AfterFunc(2*duration, func() { i.fleet.SetZoneDisabled(zone, false) })
	return "take out " + zone
}

// updateConfig writes a new version of the configuration. The version grows with
// time: it is the number of milliseconds since the start, plus 2, as the fleet
// starts with version 1.
func (i *injector) updateConfig(time.Duration) string {
	version := int(time.Since(i.start)/time.Millisecond) + 2
	i.fleet.Configure(version)
	return fmt.Sprintf("configure version %d", version)
}
