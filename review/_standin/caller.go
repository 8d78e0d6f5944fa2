package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of callers and the balancer, as the pages state them.
const (
	// timeBudget is how long callers wait for a response (X-Deadline-Ms).
	timeBudget = 1500 * time.Millisecond
	// resendDelay is resend-ms.
	resendDelay   = 1300 * time.Millisecond
	readyInterval = time.Second
	readyMisses   = 2
)

// A balancer selects entries as the platform does: an entry that has missed two readiness
// checks gets no new channels until it answers one.
type balancer struct {
	fleet  *fleet
	misses []int
	mu     sync.Mutex
}

func newBalancer(f *fleet, stop <-chan struct{}) *balancer {
	b := &balancer{fleet: f, misses: make([]int, len(f.entries))}
	for i := range f.entries {
		go b.check(i, stop)
	}
	return b
}

func (b *balancer) check(i int, stop <-chan struct{}) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		ready := b.fleet.ready(i)
		b.mu.Lock()
		if ready {
			b.misses[i] = 0
		} else {
			b.misses[i]++
		}
		b.mu.Unlock()
	}
}

// choose returns an entry in rotation other than the given one, if there is another one.
func (b *balancer) choose(except int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []int
	for i, misses := range b.misses {
		if misses < readyMisses && i != except {
			in = append(in, i)
		}
	}
	if len(in) == 0 {
		return rand.IntN(len(b.misses)) //nolint:gosec // Not for secrets.
	}
	return in[rand.IntN(len(in))] //nolint:gosec // Not for secrets.
}

// newID returns the ID of a job.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64()) //nolint:gosec // Not for secrets.
}

// jobBody returns the body of a best-effort job of tasks that each take work.
func jobBody(tasks, cpu int, work time.Duration) []byte {
	body, err := json.Marshal(map[string]any{
		"best-effort": true, "spec": fmt.Sprintf(`{"cpu":%d,"work":%q}`, cpu, work),
		"steps": []map[string]any{{"count": tasks, "cpu": cpu, "mem-mb": 64, "estimate-ms": work.Milliseconds()}},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// An answer is the outcome of a request: its status and body, or status 0 without a response.
type answer struct {
	status int
	body   string
}

// send sends a request on a channel of its own and waits for the response for at most
// budget. Then it closes the channel.
func send(method, address, path string, body []byte, budget time.Duration) answer {
	deadline := time.Now().Add(budget)
	conn, err := net.DialTimeout("tcp", address, budget)
	if err != nil {
		return answer{}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(deadline)
	request, err := http.NewRequest(method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(time.Until(deadline).Milliseconds()))
	if request.Write(conn) != nil {
		return answer{}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{status: response.StatusCode, body: string(bytes.TrimSpace(data))}
}

// submit submits a job. After no response, a 502 or a 504 it submits the job again resendDelay
// later at another entry, twice at most. It returns the last answer and the number of
// submissions.
func submit(b *balancer, r *record, id string, body []byte) (answer, int) {
	entry := -1
	for attempt := 1; ; attempt++ {
		entry = b.choose(entry)
		r.printf("caller   %s sent to entry %d, attempt %d", id, entry, attempt)
		budget := timeBudget
		if rand.IntN(100) < envInt("GIVE_UP", 0) { //nolint:gosec // Not for secrets.
			budget = time.Duration(50+rand.IntN(850)) * time.Millisecond //nolint:gosec // Not for secrets.
		}
		a := send(http.MethodPost, b.fleet.callers(entry), prefix+id, body, budget)
		r.printf("caller   %s answered by entry %d, attempt %d: %d %s", id, entry, attempt, a.status, a.body)
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout || attempt == 3 {
			return a, attempt
		}
		time.Sleep(resendDelay)
	}
}
