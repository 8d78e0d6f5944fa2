package main

import (
	"errors"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pollenfront/pollenfront/standin/backendserver"
)

// playTry plays random disruptions of the kinds that the variable KINDS names, separated by
// spaces, for FOR seconds, those of different kinds at the same time. It is no case; the report
// tells what was tried with it. It checks the rules TWICE and REFUSED, and that a completed job
// has a finished run of each task.
func playTry(f *fleet, r *record, trouble bool) (bool, error) {
	kinds := strings.Fields(os.Getenv("KINDS"))
	stop := make(chan struct{})
	t := &tryTraffic{balancer: newBalancer(f, stop), fleet: f, record: r, statuses: make(map[int]int)}
	rate := envInt("RATE", 60)
	var callers sync.WaitGroup
	callers.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			callers.Go(t.submitOne)
		}
	})
	time.Sleep(3 * time.Second)
	f.disruptUntil(r, kinds, trouble, time.Now().Add(time.Duration(envInt("FOR", 60))*time.Second))
	close(stop)
	callers.Wait()
	time.Sleep(time.Second)
	started, twice := f.runs.counts()
	refused := f.runs.startedThoughRefused()
	r.summary("%v: last answers by status %v, jobs sent again %d, starts %d, TWICE %d, REFUSED %d, WRONG %d", kinds, t.statuses, t.resent, started, twice, refused, t.wrong)
	if t.statuses[200] < rate {
		return false, errors.New("too few jobs were served")
	}
	return twice+refused+t.wrong > 0, nil
}

// tryTraffic is the traffic of playTry.
type tryTraffic struct {
	balancer *balancer
	fleet    *fleet
	mu       sync.Mutex
	record   *record
	resent   int
	statuses map[int]int // statuses counts the last answers.
	wrong    int         // wrong counts the jobs that were said to be completed and were not.
}

// submitOne submits a random job and records how it ended.
func (t *tryTraffic) submitOne() {
	id := newID()
	tasks, work := 1+rand.IntN(3), time.Duration(50+rand.IntN(900))*time.Millisecond //nolint:gosec // Not for secrets.
	a, attempts := submit(t.balancer, t.record, id, jobBody(tasks, 4000, work))
	done := t.fleet.runs.done(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[a.status]++
	if attempts > 1 {
		t.resent++
	}
	if a.status == 200 && strings.Contains(a.body, "completed") && done < tasks {
		t.wrong++
		t.record.printf("WRONG    %s is said to be completed, %d of %d tasks are done", id, done, tasks)
	}
	if attempts == 1 && (a.status == 503 || a.status == 429) {
		t.fleet.runs.refuse(id)
	}
}

// envInt returns the number in a variable of the environment, or another one.
func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// disruptUntil plays disruptions of each kind, one after the other, until the given time.
func (f *fleet) disruptUntil(r *record, kinds []string, trouble bool, end time.Time) {
	var loops sync.WaitGroup
	for _, kind := range kinds {
		loops.Go(func() {
			for time.Now().Before(end) {
				d := disruption{
					agent: rand.IntN(len(f.agents)), entry: rand.IntN(len(f.entries)), fleet: f, kind: kind, //nolint:gosec // Not for secrets.
					length: time.Duration(200+rand.IntN(3800)) * time.Millisecond, record: r, //nolint:gosec // Not for secrets.
				}
				if trouble {
					d.play()
				}
				time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond) //nolint:gosec // Not for secrets.
			}
		})
	}
	loops.Wait()
}

// A disruption is a disruption of one kind at one place.
type disruption struct {
	agent, entry int
	fleet        *fleet
	kind         string
	length       time.Duration
	record       *record
}

// play plays the disruption, and returns when it has ended.
func (d *disruption) play() {
	kinds := map[string]func(){
		"freeze-entry":   func() { d.freeze(d.fleet.entries[d.entry]) },
		"freeze-agent":   func() { d.freeze(d.fleet.agents[d.agent]) },
		"freeze-agents":  d.freezeAgents,
		"kill-entry":     func() { d.end(d.fleet.entries[d.entry], syscall.SIGKILL) },
		"kill-agent":     func() { d.end(d.fleet.agents[d.agent], syscall.SIGKILL) },
		"term-entry":     func() { d.end(d.fleet.entries[d.entry], syscall.SIGTERM) },
		"term-agent":     func() { d.end(d.fleet.agents[d.agent], syscall.SIGTERM) },
		"power":          d.power,
		"crash-runner":   d.crashRunner,
		"crash-server":   d.crashServer,
		"restart-server": d.restartServer,
		"dark-server":    func() { d.addFault(d.fleet.servers[d.agent:d.agent+1], backendserver.Fault{Dark: true}) },
		"late":           func() { d.addFault(d.fleet.servers, backendserver.Fault{LateRate: 0.055}) },
		"late-renewals":  func() { d.addFault(d.fleet.servers, backendserver.Fault{LateRate: 0.055, LateRenewalRate: 0.055}) },
	}
	d.record.printf("DISRUPT  %s, entry %d or agent %d, for %v", d.kind, d.entry, d.agent, d.length)
	kinds[d.kind]()
	d.record.printf("DISRUPT  %s ends", d.kind)
}

// freeze stops a process and continues it.
func (d *disruption) freeze(p *process) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d.length)
	p.signal(syscall.SIGCONT)
}

// freezeAgents freezes four agents.
func (d *disruption) freezeAgents() {
	var all sync.WaitGroup
	for _, i := range rand.Perm(len(d.fleet.agents))[:4] { //nolint:gosec // Not for secrets.
		all.Go(func() { d.freeze(d.fleet.agents[i]) })
	}
	all.Wait()
}

// end ends a process with a signal and starts it again.
func (d *disruption) end(p *process, s syscall.Signal) {
	p.signal(s)
	<-p.done
	time.Sleep(time.Duration(50+rand.IntN(500)) * time.Millisecond) //nolint:gosec // Not for secrets.
	d.start(p.run)
	time.Sleep(2 * time.Second)
}

// start starts something again.
func (d *disruption) start(start func() error) {
	if err := start(); err != nil {
		d.record.printf("not started: %v", err)
	}
}

// power ends an agent and its runner at once.
func (d *disruption) power() {
	agent, s := d.fleet.agents[d.agent], d.fleet.runners[d.agent]
	s.crash()
	agent.signal(syscall.SIGKILL)
	<-agent.done
	time.Sleep(d.length / 2)
	d.start(s.start)
	d.start(agent.run)
	time.Sleep(time.Second)
}

// crashRunner crashes a runner and starts it again.
func (d *disruption) crashRunner() {
	s := d.fleet.runners[d.agent]
	s.crash()
	time.Sleep(d.length / 2)
	d.start(s.start)
	time.Sleep(time.Second)
}

// crashServer crashes a stand-in of the project, which starts again by itself.
func (d *disruption) crashServer() {
	d.fleet.servers[d.agent].Crash(d.length / 2)
	time.Sleep(d.length)
}

// restartServer starts the next life of a stand-in of the project.
func (d *disruption) restartServer() {
	d.fleet.servers[d.agent].Restart()
	time.Sleep(500 * time.Millisecond)
}

// addFault adds a fault to stand-ins of the project for a time.
func (d *disruption) addFault(servers []*backendserver.Server, fault backendserver.Fault) {
	for _, s := range servers {
		defer s.AddFault(fault)()
	}
	time.Sleep(d.length)
}
