package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// playWide submits jobs of many small tasks beside others. It is no case; the report tells
// what was tried with it.
func playWide(f *fleet, r *record, trouble bool) (bool, error) {
	stop := make(chan struct{})
	b := newBalancer(f, stop)
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[string]int)
	phase := "before"
	callers.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			callers.Go(func() {
				mu.Lock()
				p := phase
				mu.Unlock()
				a, _ := submit(b, r, newID(), jobBody(2, 6200, 200*time.Millisecond))
				mu.Lock()
				statuses[fmt.Sprintf("%s %d", p, a.status)]++
				mu.Unlock()
			})
		}
	})
	time.Sleep(5 * time.Second)
	mu.Lock()
	phase = "during"
	mu.Unlock()
	if trouble {
		for range envInt("WIDE_JOBS", 1) {
			id := newID()
			r.printf("caller   %s wide job sent", id)
			started := time.Now()
			a := send(http.MethodPost, f.callers(0), prefix+id, jobBody(envInt("WIDE", 10000), envInt("CPU", 5), 200*time.Millisecond), 6*time.Second)
			r.summary("wide job: %d %s after %v, %d tasks done", a.status, a.body, time.Since(started), f.runs.done(id))
		}
	}
	time.Sleep(10 * time.Second)
	close(stop)
	callers.Wait()
	started, twice := f.runs.counts()
	r.summary("%v, starts %d, TWICE %d", statuses, started, twice)
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		for _, line := range strings.Split(string(data), "\n") {
			if strings.HasPrefix(line, "VmHWM") {
				r.summary("%s %s running %v", p.name, line, p.running())
			}
		}
	}
	return false, nil
}
