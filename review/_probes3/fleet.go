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
	"sync"
	"syscall"
	"time"

	"github.com/pollenfront/pollenfront/standin/store"
)

// Names in the manifest of a fleet.
const (
	host    = "desk.example"
	prefix  = "/jobs/"
	queue   = "trade-confirm"
	service = "swap-desk"
)

// Ports of the programs, each on an address of its own.
const (
	portStore = 8169
	portFront = 8160
	portReady = 8161
	portLinks = 7720
	portAPI   = 7721
	portBeats = 8166
	portApp   = 8080
)

// stopTimeout is when a process is killed after a SIGTERM at the end of a case.
const stopTimeout = 8 * time.Second

// A fleet is a small deployment on loopback: a store, entries, and agents with their runners.
type fleet struct {
	agents, entries []*process
	dir             string
	octet           int
	record          *record
	runners         []*runner
	store           *store.Store

	cancel context.CancelFunc
}

// started are the processes that the case has started.
var started struct {
	mu        sync.Mutex
	over      bool
	processes []*os.Process
}

// killAll kills all processes that the case has started, and prevents that more are started.
func killAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	started.over = true
	for _, p := range started.processes {
		_ = p.Kill() // It may have ended.
	}
}

// A process is one of the project's programs.
type process struct {
	command string
	env     []string
	log     string
	name    string

	mu      sync.Mutex
	running *exec.Cmd
	done    chan struct{}
}

// address returns a loopback address of the fleet.
func (f *fleet) address(group, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.octet, group, i+1, port)
}

// zoneOf returns the zone of entry i and of agent i.
func zoneOf(i int) string {
	return []string{"tainan-west", "tainan-east", "tainan-anping"}[i%3]
}

// startFleet starts a fleet and waits until all entries are ready.
func startFleet(record *record, entries, agents int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "probes3-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{cancel: cancel, dir: dir, record: record, store: store.New(store.Rates{Reads: 2000, Writes: 800})}
	var listener net.Listener
	for f.octet = 150; ; f.octet++ {
		if listener, err = net.Listen("tcp", f.address(0, 0, portStore)); err == nil {
			break
		}
		if f.octet == 230 {
			return nil, errors.New("no free loopback addresses")
		}
	}
	go func() { _ = (&http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	f.store.Configure(7, []store.Route{{Host: host, Name: queue, Prefix: prefix, Priority: 0, Service: service}})
	for i := range entries {
		if err := f.addEntry(i); err != nil {
			return f, err
		}
	}
	for i := range agents {
		if err := f.addAgent(ctx, i); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady()
}

// seeds returns the seeds of the settings, which are the control addresses of the first entries.
func (f *fleet) seeds() string {
	return fmt.Sprintf("%q, %q, %q", f.address(1, 0, portBeats), f.address(1, 1, portBeats), f.address(1, 2, portBeats))
}

// addEntry starts entry i with the settings of the template.
func (f *fleet) addEntry(i int) error {
	name := fmt.Sprintf("front-%s-%d", zoneOf(i), i/3+1)
	p, err := f.newProcess("target/entry", name, []string{"GOMEMLIMIT=120MiB", "GOGC=200"}, fmt.Sprintf(`name = %q
zone = %q
callers = %q
readiness = %q
links = %q
api = %q
store = %q
stop-limit = "6s"
remote-factor = 1.5
demand-shares = true
`, name, zoneOf(i), f.address(1, i, portFront), f.address(1, i, portReady), f.address(1, i, portLinks), f.address(1, i, portAPI), f.address(0, 0, portStore)))
	if err != nil {
		return err
	}
	f.entries = append(f.entries, p)
	return p.start()
}

// addAgent starts agent i and its runner.
func (f *fleet) addAgent(ctx context.Context, i int) error {
	r := &runner{beatNow: make(chan struct{}, 1), address: f.address(3, i, portApp), capacity: 64000, control: f.address(2, i, portBeats), name: fmt.Sprintf("i-%d", i), rack: fmt.Sprintf("r1-%d", i/3), record: f.record, service: service, zone: zoneOf(i)}
	f.runners = append(f.runners, r)
	if err := r.listen(); err != nil {
		return err
	}
	go r.beat(ctx)
	name := fmt.Sprintf("side-%s-%d", zoneOf(i), i/3+1)
	p, err := f.newProcess("target/agent", name, []string{"GOMEMLIMIT=80MiB", "GOGC=200"}, fmt.Sprintf(`name = %q
zone = %q
announcements = %q
link-port = %d
api = %q
seeds = [%s]
server = %q
service = %q
store = %q
stop-limit = "6s"
demand-shares = true
`, name, zoneOf(i), f.address(2, i, portBeats), portLinks, f.address(2, i, portAPI), f.seeds(), r.address, service, f.address(0, 0, portStore)))
	if err != nil {
		return err
	}
	f.agents = append(f.agents, p)
	return p.start()
}

// newProcess writes the settings of a process.
func (f *fleet) newProcess(program, name string, env []string, settings string) (*process, error) {
	file := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	env = append(env, "POLLENFRONT_CONFIG="+file, "PATH="+os.Getenv("PATH"), "HOME="+f.dir)
	return &process{command: program, env: env, log: filepath.Join(f.dir, name+".log"), name: name}, nil
}

// start starts the program.
func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.command, "run") //nolint:gosec // One of the project's programs.
	cmd.Env, cmd.Stdout, cmd.Stderr = p.env, log, log
	done := make(chan struct{})
	started.mu.Lock()
	defer started.mu.Unlock()
	if started.over {
		return errors.New("the case is over")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	started.processes = append(started.processes, cmd.Process)
	p.mu.Lock()
	p.running, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the program.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.running.Process.Signal(s) // The program may have ended.
}

// wait waits until the program has ended, and reports whether it has.
func (p *process) wait(limit time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// awaitReady waits until all entries say that they are ready.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(12 * time.Second)
	for i := range f.entries {
		for !get("http://" + f.address(1, i, portReady) + "/pollenfront/ready") {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %d is not ready", i)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second) // The agents have linked to all entries, and the warm-up is over.
	return nil
}

// get reports whether a GET is answered with 200.
func get(url string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends all processes of the fleet and removes its folder.
func (f *fleet) stop() {
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		if p.running != nil {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGTERM)
		}
	}
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		if p.running != nil && !p.wait(stopTimeout) {
			p.signal(syscall.SIGKILL)
			p.wait(stopTimeout)
		}
	}
	killAll() // A restart may have come after the signals.
	f.cancel()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}
