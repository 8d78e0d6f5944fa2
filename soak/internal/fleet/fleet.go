// Package fleet runs entries and agents as separate processes on loopback,
// beside stand-ins for the platform's store and backend servers.
//
// # Usage
//
//	f, err := fleet.Start(fleet.Options{Agents: 5, Dir: dir, Entries: 3, Octet: 40})
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
	linkPort     = 7100
	restartDelay = 300 * time.Millisecond
	serverCPU    = 64000 // Thousandths of a core.
	stopLimit    = 6 * time.Second
	stopTimeout  = 8 * time.Second
	zones        = 3
)

// Options describe a fleet.
type Options struct {
	Agents  int
	Bin     string // Folder with the built programs.
	Dir     string // For settings and logs.
	Entries int
	Octet   int // Second octet of all addresses.
}

// A Fleet is a running fleet.
type Fleet struct {
	Agents  []*Process
	Callers []string // Addresses of entries for callers.
	Checker *invariants.Checker
	Entries []*Process
	Proxies []*proxy.Proxy // Before each entry's links.
	Servers []*backendserver.Server
	Store   *store.Store

	cancel  context.CancelFunc
	options Options
}

// A Process is a process that is started again when it ends.
type Process struct {
	command func() *exec.Cmd
	done    chan struct{}
	log     *os.File
	mu      sync.Mutex
	process *os.Process
	stopped bool
}

// Zone returns the name of the zone of an entry or agent.
func Zone(i int) string {
	return fmt.Sprintf("zone-%d", i%zones)
}

// Start starts a fleet.
func Start(o Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	inZone := make(map[string]string)
	for i := range o.Agents {
		inZone[serverName(i)] = Zone(i)
	}
	f := &Fleet{Checker: invariants.New(inZone), Store: store.New(store.Rates{Reads: 2000, Writes: 800}), cancel: cancel, options: o}
	if err := f.serve(f.address(0, 1, 7000), f.Store); err != nil {
		return nil, err
	}
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

// Configure writes a version of the operators' configuration.
func (f *Fleet) Configure(version int) {
	var routes []store.Route
	for _, k := range callers.Kinds {
		routes = append(routes, store.Route{
			Host: callers.Host, Name: strings.Trim(k.Prefix, "/"), Prefix: k.Prefix, Priority: k.Priority, Service: callers.Service,
		})
	}
	f.Store.Configure(version, routes)
}

// SetZoneDisabled takes a zone out of service or returns it.
func (f *Fleet) SetZoneDisabled(zone string, out bool) {
	f.Store.SetZoneDisabled(zone, out)
	f.Checker.TakenOut(zone, out)
}

// address returns an address of the fleet.
func (f *Fleet) address(group, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.options.Octet, group, i, port)
}

// serverName returns the name of a backend server.
func serverName(i int) string {
	return fmt.Sprintf("server-%d", i)
}

// serve serves HTTP at an address for as long as this process runs.
func (f *Fleet) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// startEntry starts an entry behind a proxy.
func (f *Fleet) startEntry(i int) error {
	links, behind := f.address(1, i+1, linkPort), f.address(4, i+1, linkPort)
	p, err := proxy.Listen(links, behind)
	if err != nil {
		return err
	}
	f.Proxies = append(f.Proxies, p)
	f.Callers = append(f.Callers, f.address(1, i+1, 8080))
	process, err := f.startProcess("entry", i, fmt.Sprintf(`advertise = %q
api = %q
callers = %q
links = %q
name = "entry-%d"
readiness = %q
stop-limit = %q
store = %q
zone = %q
`, links, f.address(1, i+1, 8081), f.address(1, i+1, 8080), behind, i, f.address(1, i+1, 8082), stopLimit, f.address(0, 1, 7000), Zone(i)))
	f.Entries = append(f.Entries, process)
	return err
}

// startAgent starts an agent and its backend server.
func (f *Fleet) startAgent(ctx context.Context, i int) error {
	announce, address := f.address(2, i+1, 7200), f.address(3, i+1, 7300)
	speed := []float64{0.55, 1.2, 1.2}[i%3]
	server := backendserver.New(backendserver.Options{
		Announce: announce, CPU: serverCPU, Name: serverName(i), Observer: f.Checker, Service: callers.Service, Speed: speed, Zone: Zone(i),
	})
	f.Servers = append(f.Servers, server)
	if err := f.serve(address, server); err != nil {
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
`, announce, f.address(2, i+1, 8081), linkPort, i, f.address(1, 1, linkPort), address, callers.Service, stopLimit, f.address(0, 1, 7000), Zone(i)))
	f.Agents = append(f.Agents, process)
	return err
}

// startProcess writes the settings of a process and starts it.
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
	go p.keep()
	return p, nil
}

// keep runs the process again and again until it is stopped.
func (p *Process) keep() {
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

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil {
		_ = p.process.Signal(s) // It may just have ended.
	}
}

// stop stops the process for good.
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

// Stop stops everything.
func (f *Fleet) Stop() {
	var group sync.WaitGroup
	for _, p := range append(append([]*Process{}, f.Entries...), f.Agents...) {
		group.Go(p.stop)
	}
	group.Wait()
	f.cancel()
	for _, p := range f.Proxies {
		p.Close()
	}
}
