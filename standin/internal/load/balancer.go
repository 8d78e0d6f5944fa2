package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/standin/internal/plan"
)

const (
	callerZone    = 8
	connections   = 512
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// A balancer sends requests to the entries that say they are ready, in turn.
type balancer struct {
	client  *http.Client
	entries []plan.Entry
	mutex   sync.Mutex
	next    int
	ready   map[string]bool
}

// newBalancer returns a balancer in front of the entries of a fleet.
func newBalancer(fleet plan.Fleet) *balancer {
	local := &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("127.%d.%d.1", fleet.Octet, callerZone))}
	dialer := net.Dialer{LocalAddr: local, Timeout: time.Second}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: connections}
	return &balancer{client: &http.Client{Transport: transport}, entries: fleet.Entries, ready: make(map[string]bool)}
}

// run probes the entries until ctx ends.
func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		var all sync.WaitGroup
		for _, e := range b.entries {
			all.Go(func() { b.probe(ctx, e) })
		}
		all.Wait()
		time.Sleep(probeInterval)
	}
}

// probe asks one entry whether it is ready.
func (b *balancer) probe(ctx context.Context, e plan.Entry) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.API+"/readyz", nil)
	if err != nil {
		return
	}
	response, err := b.client.Do(request)
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ready[e.Name] = ready
}

// pick returns the next entry that is ready, other than the one named.
func (b *balancer) pick(other string) (plan.Entry, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for range b.entries {
		b.next = (b.next + 1) % len(b.entries)
		if e := b.entries[b.next]; b.ready[e.Name] && e.Name != other {
			return e, true
		}
	}
	return plan.Entry{}, false
}

// submit submits a job to an entry. It returns an error if no answer came.
func (b *balancer) submit(ctx context.Context, e plan.Entry, job pollenfront.Job) (pollenfront.Answer, error) {
	var answer pollenfront.Answer
	body, err := json.Marshal(job)
	if err != nil {
		return answer, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.API+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	response, err := b.client.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// cancel cancels a job.
func (b *balancer) cancel(ctx context.Context, e plan.Entry, id pollenfront.JobID) {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, e.API+"/v1/jobs/"+string(id), nil)
	if err != nil {
		return
	}
	if response, err := b.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
