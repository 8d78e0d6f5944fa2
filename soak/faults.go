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

// Parameters of schedules.
const (
	longestFault = 4 * time.Second
	meanPause    = 700 * time.Millisecond
)

// An injector injects faults into a fleet.
type injector struct {
	ctx    context.Context //nolint:containedctx // Its life is that of the injector.
	fleet  *fleet.Fleet
	random *rand.Rand
	since  time.Time
}

// injectFaults injects faults drawn from a seed until ctx ends. They come in
// series and overlap; all are over soon after.
func injectFaults(ctx context.Context, f *fleet.Fleet, seed uint64) {
	i := &injector{ctx: ctx, fleet: f, random: rand.New(rand.NewPCG(seed, 3)), since: time.Now()} //nolint:gosec // A schedule needs a seed.
	faults := []func(lasting time.Duration) string{
		i.kill, i.kill, i.terminate, i.suspend, i.suspend, i.hold, i.reset, i.delay, i.breakStore, i.breakStore, i.forget,
		i.breakServer, i.breakServer, i.restartServer, i.drainServer, i.takeOut, i.configure,
	}
	for ctx.Err() == nil {
		pause := time.Duration(i.random.ExpFloat64() * float64(meanPause))
		lasting := time.Duration(i.random.Int64N(int64(longestFault)))
		fault := faults[i.random.IntN(len(faults))]
		time.Sleep(pause)
		if ctx.Err() == nil {
			fmt.Printf("%6.2f s %s for %v\n", time.Since(i.since).Seconds(), fault(lasting), lasting.Round(time.Millisecond))
		}
	}
}

// process draws a process.
func (i *injector) process() (*fleet.Process, string) {
	n := i.random.IntN(len(i.fleet.Entries) + len(i.fleet.Agents))
	if n < len(i.fleet.Entries) {
		return i.fleet.Entries[n], fmt.Sprintf("entry-%d", n)
	}
	n -= len(i.fleet.Entries)
	return i.fleet.Agents[n], fmt.Sprintf("agent-%d", n)
}

// kill kills a process.
func (i *injector) kill(time.Duration) string {
	p, name := i.process()
	p.Signal(syscall.SIGKILL)
	return "kill " + name
}

// terminate stops a process in a planned way.
func (i *injector) terminate(time.Duration) string {
	p, name := i.process()
	p.Signal(syscall.SIGTERM)
	return "terminate " + name
}

// suspend suspends a process.
func (i *injector) suspend(lasting time.Duration) string {
	p, name := i.process()
	p.Signal(syscall.SIGSTOP)
	time.AfterFunc(lasting, func() { p.Signal(syscall.SIGCONT) })
	return "suspend " + name
}

// hold holds up one direction of the links of an entry.
func (i *injector) hold(lasting time.Duration) string {
	n, direction := i.random.IntN(len(i.fleet.Proxies)), proxy.Direction(i.random.IntN(2))
	i.fleet.Proxies[n].Hold(direction, lasting)
	return fmt.Sprintf("hold direction %d of links to entry-%d", direction, n)
}

// reset resets the links of an entry.
func (i *injector) reset(time.Duration) string {
	n := i.random.IntN(len(i.fleet.Proxies))
	i.fleet.Proxies[n].Reset()
	return fmt.Sprintf("reset links to entry-%d", n)
}

// delay delays the links of an entry.
func (i *injector) delay(lasting time.Duration) string {
	n := i.random.IntN(len(i.fleet.Proxies))
	i.fleet.Proxies[n].Delay(time.Duration(i.random.IntN(300)) * time.Millisecond)
	time.AfterFunc(lasting, func() { i.fleet.Proxies[n].Delay(0) })
	return fmt.Sprintf("delay links to entry-%d", n)
}

// breakStore gives the store a fault.
func (i *injector) breakStore(lasting time.Duration) string {
	fault := []store.Fault{store.Busy, store.ResponseLost, store.Reset, store.Unresponsive}[i.random.IntN(4)]
	i.fleet.Store.SetFault(fault)
	time.AfterFunc(lasting, func() { i.fleet.Store.SetFault(store.None) })
	return fmt.Sprintf("store fault %d", fault)
}

// forget lets the store forget its history.
func (i *injector) forget(time.Duration) string {
	i.fleet.Store.DiscardHistory()
	return "store forgets"
}

// server draws a backend server.
func (i *injector) server() (*backendserver.Server, int) {
	n := i.random.IntN(len(i.fleet.Servers))
	return i.fleet.Servers[n], n
}

// breakServer gives a backend server a fault.
func (i *injector) breakServer(lasting time.Duration) string {
	s, n := i.server()
	fault := []backendserver.Fault{{Dark: true}, {Fails: true}, {Hangs: true}, {LateRate: 0.3}, {Slow: 6}}[i.random.IntN(5)]
	s.SetFault(fault)
	time.AfterFunc(lasting, func() { s.SetFault(backendserver.Fault{}) })
	return fmt.Sprintf("server-%d %+v", n, fault)
}

// restartServer ends the life of a backend server.
func (i *injector) restartServer(time.Duration) string {
	s, n := i.server()
	s.Restart()
	return fmt.Sprintf("restart server-%d", n)
}

// drainServer lets a backend server drain.
func (i *injector) drainServer(lasting time.Duration) string {
	s, n := i.server()
	s.SetDraining(true)
	time.AfterFunc(lasting, func() { s.SetDraining(false) })
	return fmt.Sprintf("drain server-%d", n)
}

// takeOut takes a zone out of service.
func (i *injector) takeOut(lasting time.Duration) string {
	zone := fleet.Zone(i.random.IntN(3))
	i.fleet.SetZoneDisabled(zone, true)
	time.AfterFunc(2*lasting, func() { i.fleet.SetZoneDisabled(zone, false) })
	return "take out " + zone
}

// configure writes a version of the configuration.
func (i *injector) configure(time.Duration) string {
	version := int(time.Since(i.since)/time.Millisecond) + 2
	i.fleet.Configure(version)
	return fmt.Sprintf("configure version %d", version)
}
