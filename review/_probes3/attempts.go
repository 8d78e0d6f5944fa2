package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

// Numbers and times of the case attempts.
const (
	attemptsAgents  = 11
	attemptsBudget  = 1500 * time.Millisecond
	attemptsFail    = 0.4
	attemptsGrey    = 5 * time.Second
	attemptsLoad    = 18 * time.Second
	maxSilence      = 10 * time.Second
	noAttemptsLimit = 2147483647
)

// attempts runs under a manifest that allows as many attempts as a number holds. Two runners of eleven fail
// a share of what they start for some seconds. It looks for entries that don't answer any more.
func attempts(r *record, trouble bool) ([]string, error) {
	f, err := startFleet(r, 3, attemptsAgents)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return nil, err
	}
	limit := noAttemptsLimit
	if trial, err := strconv.Atoi(os.Getenv("ATTEMPTS")); err == nil { // For trials only.
		limit = trial
	}
	manifest, err := json.Marshal(map[string]any{
		"version": 9, "services": []map[string]any{{"name": service, "enforces-capacity": true}}, "limits": map[string]int{"max-body-bytes": 262144},
		"routes": []map[string]any{{
			"name": queue, "host": host, "path-prefix": prefix, "priority": 0, "service": service, "max-attempts": limit,
			"stretch": 1.6, "target-latency-ms": 60, "timeout-ms": 1500,
		}},
	})
	if err != nil {
		return nil, err
	}
	f.store.Put("op", "config", base64.StdEncoding.EncodeToString(manifest))
	time.Sleep(2 * time.Second)
	if trouble {
		for _, grey := range f.runners[:2] {
			r.add("%s fails %.1f of what it starts for %v", grey.name, attemptsFail, attemptsGrey)
			grey.setFailShare(attemptsFail)
			time.AfterFunc(attemptsGrey, func() { grey.setFailShare(0) })
		}
	}
	var jobs sync.WaitGroup
	var mu sync.Mutex
	served, sent := 0, 0
	heard := make([]time.Duration, 3) // The newest answer of each entry to the balancer.
	silent := make([]time.Duration, 3)
	end := r.now() + attemptsLoad
	for i := range 3 {
		heard[i] = r.now()
		jobs.Go(func() {
			for r.now() < end {
				if get("http://" + f.address(1, i, portReady) + "/pollenfront/ready") {
					heard[i] = r.now()
				} else {
					r.add("balancer: %s does not say that it is ready", f.entries[i].name)
				}
				silent[i] = max(silent[i], r.now()-heard[i])
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	for ; r.now() < end; sent++ {
		id, entry := fmt.Sprintf("%016x", 0x7000+sent), sent%3
		jobs.Go(func() {
			a := send(newClient(), "POST", "http://"+f.address(1, entry, portFront)+prefix+id, host, attemptsBudget, platformJob(8, 6200, 120*time.Millisecond), r)
			r.add("client: job %s to %s: %s", id, f.entries[entry].name, a)
			mu.Lock()
			defer mu.Unlock()
			if a.err == nil && a.status == 200 {
				served++
			}
		})
		time.Sleep(12 * time.Millisecond)
	}
	jobs.Wait()
	r.add("%d of %d jobs were answered with 200; longest times without an answer to the balancer: %v", served, sent, silent)
	var breaks []string
	for i, d := range silent {
		if d > maxSilence {
			breaks = append(breaks, fmt.Sprintf("Fault: %s has answered nothing for %v, until the end", f.entries[i].name, d.Round(time.Millisecond)))
		}
	}
	if !trouble && served < sent*9/10 {
		return nil, fmt.Errorf("without trouble only %d of %d jobs were answered", served, sent)
	}
	return breaks, nil
}

// setFailShare makes the runner fail a share of what it starts.
func (r *runner) setFailShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failShare = share
}
