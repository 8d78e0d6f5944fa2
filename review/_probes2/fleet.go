package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pollenfront/pollenfront/standin/store"
)

// Ports of a fleet. Each process has an address of its own in 127.0.0.0/8.
const (
	apiPort     = 7101
	callersPort = 7200
	controlPort = 7201
	linkPort    = 7100
	readyPort   = 7202
	runnerPort  = 7300
	storePort   = 7000
)

// service is the service of all runners, and the others belong to its queue.
const (
	host    = "desk.example"
	prefix  = "/confirm/"
	queue   = "confirm"
	service = "desk"
)

// maxTime is the longest time that a case may take.
const maxTime = 100 * time.Second

// A fleet is a small deployment: entries and agents as processes, with stand-ins in this process.
type fleet struct {
	agents  []*process
	cancel  context.CancelFunc
	ctx     context.Context
	dir     string
	entries []*process
	history *history
	octet   int
	rec     *record
	runners []*runner
	store   *store.Store
}

// A process is a program of the project.
type process struct {
	cmd     *exec.Cmd
	done    chan struct{} // done is closed when the process has ended.
	file    string        // file is the path of the settings file. The log lies beside it.
	name    string
	program string
	rec     *record
	zone    string
}

// The settings of the processes, as the templates of the deploy file fill them in.
const (
	agentSettings = `name = "side-%d"
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
`
	entrySettings = `name = "front-%d"
zone = %q
callers = %q
readiness = %q
links = %q
api = %q
store = %q
stop-limit = "6s"
remote-factor = 1.5
demand-shares = true
`
)

// configure writes a version of the manifest, which has one queue with the given name. Its timeout is longer than
// any request of the cases.
func (f *fleet) configure(version int, queue string) {
	manifest, _ := json.Marshal(map[string]any{
		"limits": map[string]int{"max-body-bytes": 262144},
		"routes": []map[string]any{{
			"host": host, "max-attempts": 4, "name": queue, "path-prefix": prefix, "priority": 0, "service": service, "stretch": 1.6,
			"target-latency-ms": 60, "timeout-ms": 9000,
		}},
		"services": []map[string]string{{"name": service}}, "version": version,
	})
	f.store.Put("op", "config", base64.StdEncoding.EncodeToString(manifest))
	f.rec.addf("operator: the store acknowledges version %d of the manifest, with the queue %s", version, queue)
}

// processes returns all processes.
func (f *fleet) processes() []*process {
	return slices.Concat(f.entries, f.agents)
}

// zone returns the zone of entry or agent i.
func zone(i int) string { return []string{"west", "east", "anping"}[i%3] }

// address returns an address of the fleet: group 0 has the store, 1 the entries, 2 the agents, 3
// the runners.
func (f *fleet) address(group, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.octet, group, i+1, port)
}

// startFleet starts a deployment and waits until it serves.
func startFleet(rec *record, entries, agents int) (*fleet, error) {
	f := &fleet{history: &history{rec: rec}, rec: rec, store: store.New(store.Rates{Reads: 2000, Writes: 800})}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	go f.stopOnSignal()
	var err error
	if f.dir, err = os.MkdirTemp("", "review"); err != nil {
		return f, err
	}
	var listener net.Listener
	for f.octet = 150; f.octet < 240; f.octet++ { // The listener of the store reserves the range.
		if listener, err = net.Listen("tcp", f.address(0, 0, storePort)); err != nil {
			continue
		}
		if err = f.checkFree(entries, agents); err == nil {
			break
		}
		_ = listener.Close()
	}
	if err != nil {
		return f, err
	}
	go func() { _ = (&http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	f.configure(1, queue)
	for i := range entries {
		p, err := f.newProcess("entry", i, fmt.Sprintf(entrySettings, i, zone(i), f.address(1, i, callersPort), f.address(1, i, readyPort),
			f.address(1, i, linkPort), f.address(1, i, apiPort), f.address(0, 0, storePort)))
		if err != nil {
			return f, err
		}
		f.entries = append(f.entries, p)
	}
	for i := range agents {
		r := newRunner(rec, f.history, fmt.Sprintf("i-%d", i), f.address(3, i, runnerPort), f.address(2, i, controlPort), service, zone(i))
		f.runners = append(f.runners, r)
		if err := r.serve(f.ctx); err != nil {
			return f, err
		}
		p, err := f.newProcess("agent", i, fmt.Sprintf(agentSettings, i, zone(i), f.address(2, i, controlPort), linkPort, f.address(2, i, apiPort),
			f.address(1, 0, controlPort), f.address(3, i, runnerPort), service, f.address(0, 0, storePort)))
		if err != nil {
			return f, err
		}
		f.agents = append(f.agents, p)
	}
	for _, p := range f.processes() {
		if err := p.start(); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady()
}

// checkFree returns an error if an address of the fleet is in use.
func (f *fleet) checkFree(entries, agents int) error {
	var addresses []string
	for i := range entries {
		addresses = append(addresses, f.address(1, i, callersPort), f.address(1, i, readyPort), f.address(1, i, linkPort), f.address(1, i, apiPort))
	}
	for i := range agents {
		addresses = append(addresses, f.address(2, i, controlPort), f.address(2, i, apiPort), f.address(3, i, runnerPort))
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		_ = listener.Close()
	}
	return nil
}

// newProcess writes the settings of a process that is not started.
func (f *fleet) newProcess(program string, i int, settings string) (*process, error) {
	p := &process{name: fmt.Sprintf("%s-%d", program, i), program: program, rec: f.rec, zone: zone(i)}
	p.file = filepath.Join(f.dir, p.name+".toml")
	return p, os.WriteFile(p.file, []byte(settings), 0o600)
}

// start starts the program with the command and the environment of the deploy file.
func (p *process) start() error {
	log, err := os.OpenFile(p.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	limit := map[string]string{"agent": "80MiB", "entry": "120MiB"}[p.program]
	p.cmd = exec.Command(filepath.Join("target", p.program), "run")
	p.cmd.Env = []string{"POLLENFRONT_CONFIG=" + p.file, "GOMEMLIMIT=" + limit, "GOGC=200"}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	p.rec.addf("%s: process started", p.name)
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		p.rec.addf("%s: process ended: %v", p.name, err)
		close(done)
	}(p.cmd, p.done)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.rec.addf("%s: gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// awaitReady waits until all entries are ready, and a little longer, so that all agents are linked.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for i := range f.entries {
		for {
			resp, err := http.Get("http://" + f.address(1, i, readyPort) + "/pollenfront/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %d is not ready", i)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second) // All runners have announced themselves by then.
	for _, p := range f.processes() {
		if !p.running() {
			return fmt.Errorf("%s has ended", p.name)
		}
	}
	f.rec.addf("the deployment is ready")
	return nil
}

// stopOnSignal ends all processes when this one is asked to end, or runs for too long.
func (f *fleet) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxTime):
	case <-f.ctx.Done():
		return
	}
	f.rec.addf("stopped early")
	f.stop()
	os.Exit(failed)
}

// stop ends all processes that were started.
func (f *fleet) stop() {
	var all sync.WaitGroup
	for _, p := range f.processes() {
		if !p.running() {
			continue
		}
		all.Go(func() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.done
		})
	}
	all.Wait()
	f.cancel()
	if os.Getenv("KEEP") == "" { // KEEP=1 keeps the settings and logs.
		_ = os.RemoveAll(f.dir)
	}
}
