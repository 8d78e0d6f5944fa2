package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pollenfront/pollenfront/standin/backendserver"
	"github.com/pollenfront/pollenfront/standin/store"
)

// Addresses and names of a fleet.
const (
	callersPort   = 8161
	readinessPort = 8167
	apiPort       = 7721
	linkPort      = 7720
	storePort     = 8169
	announcePort  = 8166
	serverPort    = 8080

	service     = "swap-desk"
	host        = "nony24.example"
	prefix      = "/sleeve-check/"
	serverCPU   = 64000
	zoneCount   = 3
	stopTimeout = 8 * time.Second
)

// fleetOptions are the numbers of processes.
type fleetOptions struct {
	entries, agents int
	// ownRunners is set if the runners are those of runner.go in place of the project's
	// stand-ins.
	ownRunners bool
}

// A fleet is a set of processes of the project with their stand-ins.
type fleet struct {
	agents, entries []*process
	cancel          context.CancelFunc
	dir             string
	octet           int
	options         fleetOptions
	record          *record
	runners         []*runner
	runs            *runLog
	servers         []*backendserver.Server
	store           *store.Store
}

// A process is a process of the project.
type process struct {
	cmd    *exec.Cmd
	done   chan struct{}
	name   string
	start  func() (*exec.Cmd, error)
	record *record
}

func (f *fleet) address(group, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.octet, group, i+1, port)
}

func zone(i int) string {
	return fmt.Sprintf("zone-%d", i%zoneCount)
}

// startFleet starts the store, the entries, and the agents with their backend servers, with
// the commands, the environment and the settings of the deploy folder.
func startFleet(o fleetOptions, r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{cancel: cancel, dir: dir, options: o, record: r, runs: newRunLog(r), store: store.New(store.Rates{Reads: 2000, Writes: 800})}
	listener, err := f.reserveRange()
	if err != nil {
		return f, err
	}
	go func() { _ = http.Serve(listener, f.store) }() //nolint:gosec // A stand-in on loopback.
	f.store.Configure(1, []store.Route{{Host: host, Name: "sleeve-check", Prefix: prefix, Priority: 1, Service: service}})
	for i := range o.entries {
		if err := f.startEntry(i); err != nil {
			return f, err
		}
	}
	for i := range o.agents {
		if err := f.startAgent(ctx, i); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady(10 * time.Second)
}

// reserveRange looks for a free range of loopback addresses and listens at the address of
// the store in it.
func (f *fleet) reserveRange() (net.Listener, error) {
	for f.octet = 60; f.octet < 240; f.octet++ {
		if listener, err := net.Listen("tcp", f.address(0, 0, storePort)); err == nil {
			return listener, nil
		}
	}
	return nil, errors.New("no range of loopback addresses is free")
}

func (f *fleet) startEntry(i int) error {
	p, err := f.startProcess("entry", i, []string{"GOMEMLIMIT=120MiB", "GOGC=200"}, fmt.Sprintf(`name = "entry-%d"
zone = %q
callers = %q
readiness = %q
links = %q
api = %q
store = %q
stop-limit = "6s"
remote-factor = 1.5
demand-shares = true
`, i, zone(i), f.callers(i), f.address(1, i, readinessPort), f.address(1, i, linkPort), f.address(1, i, apiPort), f.address(0, 0, storePort)))
	f.entries = append(f.entries, p)
	return err
}

// callers returns the address of entry i for callers.
func (f *fleet) callers(i int) string {
	return f.address(1, i, callersPort)
}

func (f *fleet) startAgent(ctx context.Context, i int) error {
	announce, address := f.address(2, i, announcePort), f.address(3, i, serverPort)
	if err := f.startServer(ctx, i, announce, address); err != nil {
		return err
	}
	p, err := f.startProcess("agent", i, []string{"GOMEMLIMIT=80MiB", "GOGC=200"}, fmt.Sprintf(`name = "agent-%d"
zone = %q
announcements = %q
link-port = %d
api = %q
seeds = [%q]
server = %q
service = %q
store = %q
stop-limit = "6s"
demand-shares = true
`, i, zone(i), announce, linkPort, f.address(2, i, apiPort), f.address(1, 0, announcePort), address, service, f.address(0, 0, storePort)))
	f.agents = append(f.agents, p)
	return err
}

// startServer starts the runner beside agent i.
func (f *fleet) startServer(ctx context.Context, i int, announce, address string) error {
	id := fmt.Sprintf("i-%d", i)
	if f.options.ownRunners {
		s := &runner{address: address, announce: announce, id: id, log: f.runs, record: f.record, restarted: make(chan struct{}, 1), zone: zone(i)}
		f.runners = append(f.runners, s)
		if err := s.start(); err != nil {
			return err
		}
		go s.beat(ctx)
		return nil
	}
	server := backendserver.New(backendserver.Options{Announce: announce, CPU: serverCPU, Name: id, Observer: f.runs, RunTimeFactor: 1, Service: service, Zone: zone(i)})
	if err := server.Listen(address); err != nil {
		return err
	}
	f.servers = append(f.servers, server)
	go func() { _ = server.Run(ctx, address) }()
	return nil
}

// startProcess starts a program as the deploy file does. Its settings and its output are in
// the temporary folder of the fleet.
func (f *fleet) startProcess(program string, i int, env []string, settings string) (*process, error) {
	name := fmt.Sprintf("%s-%d", program, i)
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path+".toml", []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(path + ".log") //nolint:gosec // In the fleet's own folder.
	if err != nil {
		return nil, err
	}
	p := &process{name: name, record: f.record}
	p.start = func() (*exec.Cmd, error) {
		cmd := exec.Command(filepath.Join("target", program), "run") //nolint:gosec // A program of this repository.
		if n := os.Getenv("PROCS"); n != "" {
			env = append(env, "GOMAXPROCS="+n)
		}
		cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POLLENFRONT_CONFIG=" + path + ".toml"}, env...)
		cmd.Stdout, cmd.Stderr = log, log
		return cmd, cmd.Start()
	}
	return p, p.run()
}

// run starts the process. It must not be running.
func (p *process) run() error {
	cmd, err := p.start()
	if err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		p.record.printf("process  %s ended: %v", p.name, cmd.ProcessState)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // The process may have ended.
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// awaitReady waits until all entries are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for i := range f.entries {
		for !f.ready(i) {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %d is not ready", i)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// ready asks an entry whether it is ready, as the balancer does.
func (f *fleet) ready(i int) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + f.address(1, i, readinessPort) + "/pollenfront/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends all processes and removes the folder of the fleet, unless KEEP is set.
func (f *fleet) stop() {
	processes := append(append([]*process{}, f.entries...), f.agents...)
	for _, p := range processes {
		if p != nil {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGTERM)
		}
	}
	for _, p := range processes {
		if p == nil {
			continue
		}
		select {
		case <-p.done:
		case <-time.After(stopTimeout):
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
	f.cancel()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println(f.dir)
	}
}
