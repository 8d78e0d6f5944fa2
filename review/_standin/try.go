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
// spaces, for FOR seconds, those of different kinds at the same time. It is no case; the report tells what was tried with it. It checks
// the rules TWICE and REFUSED, and that a completed job has a finished run of each task.
func playTry(f *fleet, r *record, trouble bool) (bool, error) {
	seconds, err := strconv.Atoi(os.Getenv("FOR"))
	if err != nil {
		return false, err
	}
	rate := envInt("RATE", 60)
	kinds := strings.Fields(os.Getenv("KINDS"))
	stop := make(chan struct{})
	b := newBalancer(f, stop)
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses, resent, broken := make(map[int]int), 0, 0
	callers.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			callers.Go(func() {
				id := newID()
				tasks, work := 1+rand.IntN(3), time.Duration(50+rand.IntN(900))*time.Millisecond
				a, attempts := submit(b, r, id, jobBody(tasks, 4000, work))
				done := f.runs.done(id)
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
				if attempts > 1 {
					resent++
				}
				if a.status == 200 && strings.Contains(a.body, "completed") && done < tasks {
					broken++
					r.printf("WRONG    %s is said to be completed, %d of %d tasks are done", id, done, tasks)
				}
				if attempts == 1 && (a.status == 503 || a.status == 429) {
					f.runs.refuse(id)
				}
			})
		}
	})
	time.Sleep(3 * time.Second)
	var loops sync.WaitGroup
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	for _, kind := range kinds {
		loops.Go(func() {
			for time.Now().Before(end) {
				if trouble {
					f.disrupt(r, kind)
				}
				time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
			}
		})
	}
	loops.Wait()
	close(stop)
	callers.Wait()
	time.Sleep(time.Second)
	started, twice := f.runs.counts()
	refused := f.runs.startedThoughRefused()
	r.summary("%v: last answers by status %v, jobs sent again %d, starts %d, TWICE %d, REFUSED %d, WRONG %d", kinds, statuses, resent, started, twice, refused, broken)
	if statuses[200] < rate {
		return false, errors.New("too few jobs were served")
	}
	return twice+refused+broken > 0, nil
}

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// disrupt plays one disruption, and waits until it has ended.
func (f *fleet) disrupt(r *record, kind string) {
	entry, agent := f.entries[rand.IntN(len(f.entries))], rand.IntN(len(f.agents))
	length := time.Duration(200+rand.IntN(3800)) * time.Millisecond
	freeze := func(p *process) {
		r.printf("DISRUPT  %s of %s for %v", kind, p.name, length)
		p.signal(syscall.SIGSTOP)
		time.Sleep(length)
		p.signal(syscall.SIGCONT)
		r.printf("DISRUPT  %s of %s ends", kind, p.name)
	}
	end := func(p *process, s syscall.Signal) {
		r.printf("DISRUPT  %s of %s", kind, p.name)
		p.signal(s)
		<-p.done
		time.Sleep(time.Duration(50+rand.IntN(500)) * time.Millisecond)
		if err := p.run(); err != nil {
			r.printf("not started: %v", err)
		}
		time.Sleep(2 * time.Second)
	}
	var server *backendserver.Server
	if len(f.servers) > 0 {
		server = f.servers[agent]
	}
	switch kind {
	case "freeze-entry":
		freeze(entry)
	case "freeze-agent":
		freeze(f.agents[agent])
	case "freeze-agents":
		var all sync.WaitGroup
		for _, i := range rand.Perm(len(f.agents))[:4] {
			all.Go(func() { freeze(f.agents[i]) })
		}
		all.Wait()
	case "kill-entry":
		end(entry, syscall.SIGKILL)
	case "kill-agent":
		end(f.agents[agent], syscall.SIGKILL)
	case "term-entry":
		end(entry, syscall.SIGTERM)
	case "term-agent":
		end(f.agents[agent], syscall.SIGTERM)
	case "power":
		r.printf("DISRUPT  power loss of agent %d and its runner", agent)
		f.runners[agent].crash()
		f.agents[agent].signal(syscall.SIGKILL)
		<-f.agents[agent].done
		time.Sleep(length / 2)
		_ = f.runners[agent].start()
		_ = f.agents[agent].run()
		time.Sleep(time.Second)
	case "crash-runner":
		r.printf("DISRUPT  crash of runner %d", agent)
		f.runners[agent].crash()
		time.Sleep(length / 2)
		_ = f.runners[agent].start()
		time.Sleep(time.Second)
	case "crash-server":
		r.printf("DISRUPT  crash of server %d", agent)
		server.Crash(length / 2)
		time.Sleep(length)
	case "restart-server":
		r.printf("DISRUPT  restart of server %d", agent)
		server.Restart()
		time.Sleep(500 * time.Millisecond)
	case "dark-server":
		r.printf("DISRUPT  server %d is dark for %v", agent, length)
		ends := server.AddFault(backendserver.Fault{Dark: true})
		time.Sleep(length)
		ends()
	case "late":
		r.printf("DISRUPT  late requests for %v", length)
		for _, s := range f.servers {
			time.AfterFunc(length, s.AddFault(backendserver.Fault{LateRate: 0.055}))
		}
		time.Sleep(length)
	case "late-renewals":
		r.printf("DISRUPT  late requests and renewals for %v", length)
		for _, s := range f.servers {
			time.AfterFunc(length, s.AddFault(backendserver.Fault{LateRate: 0.055, LateRenewalRate: 0.055}))
		}
		time.Sleep(length)
	}
}
