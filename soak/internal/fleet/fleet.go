// Package fleet runs entries and agents as separate processes on loopback, and
// stand-ins for the platform's store and backend servers in this process.
//
// # Usage
//
//	f, err := fleet.Start(fleet.Options{Agents: 5, Dir: dir, Entries: 3})
//	defer f.Stop()
package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pollenfront/pollenfront/soak/internal/callers"
	"github.com/pollenfront/pollenfront/soak/internal/invariants"
	"github.com/pollenfront/pollenfront/soak/internal/proxy"
	"github.com/pollenfront/pollenfront/standin/backendserver"
	"github.com/pollenfront/pollenfront/standin/store"
)

// Ports and other parameters of a fleet.
const (
	// crashDuration is how long a backend server is down after a task has crashed it.
	crashDuration = 1500 * time.Millisecond
	linkPort      = 7100
	storePort     = 7000

	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 300 * time.Millisecond

	// serverCPU is the capacity of a backend server, in thousandths of a core.
	serverCPU = 64000

	// stopLimit is the setting stop-limit of entries and agents.
	stopLimit = 6 * time.Second

	// stopTimeout is the time from SIGTERM to SIGKILL when a fleet stops. It is
	// longer than stopLimit, so that a process can drain.
	stopTimeout = 8 * time.Second
	zoneCount   = 3
)

// Options describe a fleet and its addresses.
type Options struct {
	// Agents is the number of agents, each with a backend server.
	Agents int

	// Bin is the folder with the built programs.
	Bin string

	// Dir is the folder to which settings and logs are written.
	Dir     string
	Entries int

	// Octet is the second octet of all addresses, so that fleets can run side by
	// side in 127.0.0.0/8. With zero, Start uses the first range that is free.
	Octet int
}

// A Fleet is a running set of a store, entries, agents and backend servers. The
// caller of Start must call Stop.
type Fleet struct {
	Agents []*Process

	// CallerAddresses are the addresses at which entries serve callers.
	CallerAddresses []string
	Checker         *invariants.Checker
	Entries         []*Process

	// Proxies are the proxies through which agents link to entries, one for each
	// entry.
	Proxies []*proxy.Proxy
	Servers []*backendserver.Server
	Store   *store.Store

	cancel  context.CancelFunc
	options Options
}

// A Process runs a program, and restarts it whenever it ends.
type Process struct {
	command func() *exec.Cmd

	// done is closed when the program has ended and is not restarted.
	done    chan struct{}
	log     *os.File
	mu      sync.Mutex
	process *os.Process
	stopped bool
}

// Zone returns the name of the zone of entry i and of agent i.
func Zone(i int) string {
	return fmt.Sprintf("zone-%d", i%zoneCount)
}

// Start starts the store, then the entries, then the agents with their backend
// servers. It does not wait until they are ready. The settings and logs are written
// to o.Dir, which is created if it does not exist.
func Start(o Options) (*Fleet, error) {
	if err := os.MkdirAll(o.Dir, 0o750); err != nil {
		return nil, fmt.Errorf("create the folder for settings and logs: %w", err)
	}
	listener, octet, err := reserveRange(o.Octet)
	if err != nil {
		return nil, err
	}
	o.Octet = octet
	ctx, cancel := context.WithCancel(context.Background())
	zoneOf := make(map[string]string)
	for i := range o.Agents {
		zoneOf[serverName(i)] = Zone(i)
	}
	f := &Fleet{Checker: invariants.New(zoneOf), Store: store.New(store.Rates{Reads: 2000, Writes: 800}), cancel: cancel, options: o}
	serve(listener, f.Store)
	f.Configure(1)
	for i := range o.Entries {
		if err := f.startEntry(i); err != nil {
			return nil, err
		}
	}
	for i := range o.Agents {
		if err := f.startAgent(ctx, i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Configure writes a version of the operators' configuration, with one queue for
// each kind of job.
func (f *Fleet) Configure(version int) {
	var routes []store.Route
	for _, k := range callers.Kinds {
		routes = append(routes, store.Route{
			Host: callers.Host, Name: strings.Trim(k.Prefix, "/"), Prefix: k.Prefix, Priority: k.Priority, Service: callers.Service,
		})
	}
	f.Store.Configure(version, routes)
}

// SetZoneDisabled takes a zone out of service or returns it to service.
func (f *Fleet) SetZoneDisabled(zone string, disabled bool) {
	f.Store.SetZoneDisabled(zone, disabled)
	f.Checker.SetZoneDisabled(zone, disabled)
}

// address returns the address of member i of a group, with a port. Group 0 is the
// store, 1 the entries, 2 the agents, 3 the backend servers, and 4 the listeners
// of the entries for links, behind the proxies.
func (f *Fleet) address(group, i, port int) string {
	return address(f.options.Octet, group, i, port)
}

// serverName returns the name of the backend server of agent i.
func serverName(i int) string {
	return fmt.Sprintf("server-%d", i)
}

// Range returns the range of loopback addresses that the fleet uses.
func (f *Fleet) Range() string {
	return addressRange(f.options.Octet)
}

// serve serves HTTP on a listener until this process ends.
func serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
}

// startEntry starts an entry and the proxy for its links. The entry advertises the
// address of the proxy.
func (f *Fleet) startEntry(i int) error {
	proxyAddress, linkAddress := f.address(1, i+1, linkPort), f.address(4, i+1, linkPort)
	p, err := proxy.Listen(proxyAddress, linkAddress)
	if err != nil {
		return err
	}
	f.Proxies = append(f.Proxies, p)
	f.CallerAddresses = append(f.CallerAddresses, f.address(1, i+1, 8080))
	process, err := f.startProcess("entry", i, fmt.Sprintf(`advertise = %q
api = %q
callers = %q
links = %q
name = "entry-%d"
readiness = %q
stop-limit = %q
store = %q
zone = %q
`, proxyAddress, f.address(1, i+1, 8081), f.address(1, i+1, 8080), linkAddress, i, f.address(1, i+1, 8082), stopLimit, f.address(0, 1, storePort), Zone(i)))
	f.Entries = append(f.Entries, process)
	return err
}

// startAgent starts an agent and its backend server.
func (f *Fleet) startAgent(ctx context.Context, i int) error {
	announce, address := f.address(2, i+1, 7200), f.address(3, i+1, 7300)
	runTimeFactor := []float64{0.55, 1.2, 1.2}[i%3]
	server := backendserver.New(backendserver.Options{
		Announce: announce, CPU: serverCPU, CrashDuration: crashDuration, Name: serverName(i), Observer: f.Checker, RunTimeFactor: runTimeFactor, Service: callers.Service, Zone: Zone(i),
	})
	f.Servers = append(f.Servers, server)
	if err := server.Listen(address); err != nil {
		return err
	}
	go func() { _ = server.Run(ctx, address) }()
	process, err := f.startProcess("agent", i, fmt.Sprintf(`announcements = %q
api = %q
link-port = %d
name = "agent-%d"
seeds = [%q]
server = %q
service = %q
stop-limit = %q
store = %q
zone = %q
`, announce, f.address(2, i+1, 8081), linkPort, i, f.address(1, 1, linkPort), address, callers.Service, stopLimit, f.address(0, 1, storePort), Zone(i)))
	f.Agents = append(f.Agents, process)
	return err
}

// startProcess writes the settings of a program to a file and starts the program.
// Its output is logged to a file in the folder of the fleet.
func (f *Fleet) startProcess(program string, i int, settings string) (*Process, error) {
	path := filepath.Join(f.options.Dir, fmt.Sprintf("%s-%d", program, i))
	if err := os.WriteFile(path+".toml", []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(path + ".log")
	if err != nil {
		return nil, err
	}
	p := &Process{done: make(chan struct{}), log: log}
	p.command = func() *exec.Cmd {
		cmd := exec.Command(filepath.Join(f.options.Bin, program), "run", "--settings", path+".toml") //nolint:gosec // A program of this repository.
		cmd.Stdout, cmd.Stderr = log, log
		return cmd
	}
	go p.run()
	return p, nil
}

// run runs the program, and restarts it after restartDelay, until p is stopped.
func (p *Process) run() {
	defer close(p.done)
	for {
		p.mu.Lock()
		if p.stopped {
			p.mu.Unlock()
			return
		}
		cmd := p.command()
		err := cmd.Start()
		p.process = cmd.Process
		p.mu.Unlock()
		if err == nil {
			_ = cmd.Wait()
		}
		time.Sleep(restartDelay)
	}
}

// Signal sends a signal to the program. It does nothing if the program is not
// running.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil {
		_ = p.process.Signal(s) // The process may have ended in the meantime.
	}
}

// stop ends the program with SIGTERM, or with SIGKILL after stopTimeout, and does
// not restart it. SIGCONT comes first, as the program may be suspended.
func (p *Process) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.Signal(syscall.SIGKILL)
		<-p.done
	}
	_ = p.log.Close()
}

// Stop stops the processes, the announcements of the backend servers and the
// proxies.
func (f *Fleet) Stop() {
	var stops sync.WaitGroup
	for _, p := range append(append([]*Process{}, f.Entries...), f.Agents...) {
		stops.Go(p.stop)
	}
	stops.Wait()
	f.cancel()
	for _, p := range f.Proxies {
		p.Close()
	}
}
