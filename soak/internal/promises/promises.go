// Package promises checks what must always hold, from what callers and backend
// servers see.
//
// # Usage
//
//	p := promises.New(zones)
//	p.Submitted(id, tasks)
//	violations := p.Violations()
package promises

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// zoneOutTime is how long after an order tasks may start in a zone that is
// out of service.
const zoneOutTime = 5 * time.Second

// Promises records what happens and checks it.
type Promises struct {
	active     map[string]string // Servers of running tasks.
	done       map[string]int    // Tasks that were done, by job.
	jobs       map[string]*job
	mu         sync.Mutex
	out        map[string]time.Time // Zones out of service, since when.
	starts     int
	violations []string
	zones      map[string]string // Of servers.
}

// A job is what is known of a job.
type job struct {
	completed bool
	refusals  int
	started   bool
	submitted int
	tasks     int
}

// New returns promises for servers in zones.
func New(zones map[string]string) *Promises {
	return &Promises{
		active: make(map[string]string), done: make(map[string]int), jobs: make(map[string]*job), out: make(map[string]time.Time), zones: zones,
	}
}

// Submitted notes that a job is submitted, once more if it was before.
func (p *Promises) Submitted(id string, tasks int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.jobs[id] == nil {
		p.jobs[id] = &job{tasks: tasks}
	}
	p.jobs[id].submitted++
}

// Refused notes that a submission was refused as not run.
func (p *Promises) Refused(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[id].refusals++
}

// Completed notes that a job was answered as completed.
func (p *Promises) Completed(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.jobs[id]
	j.completed = true
	if p.done[id] < j.tasks {
		p.violate("job %s was completed with %d of %d tasks done", id, p.done[id], j.tasks)
	}
}

// Started implements backendserver.Observer.
func (p *Promises) Started(task, server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	if other, ok := p.active[task]; ok {
		p.violate("task %s runs on %s and on %s", task, other, server)
	}
	p.active[task] = server
	id := jobOf(task)
	if p.jobs[id] == nil {
		p.violate("task %s of a job that nobody submitted starts", task)
		return
	}
	p.jobs[id].started = true
	if since, ok := p.out[p.zones[server]]; ok && time.Since(since) > zoneOutTime {
		p.violate("task %s starts in zone %s, which was taken out %v before", task, p.zones[server], time.Since(since))
	}
}

// Ended implements backendserver.Observer.
func (p *Promises) Ended(task, how string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.active, task)
	if how == "done" {
		p.done[jobOf(task)]++
	}
}

// TakenOut notes that a zone is taken out of service, or returned.
func (p *Promises) TakenOut(zone string, out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if out {
		p.out[zone] = time.Now()
		return
	}
	delete(p.out, zone)
}

// Starts returns the number of starts.
func (p *Promises) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Violations returns what did not hold. It is called when nothing runs any more.
func (p *Promises) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, j := range p.jobs {
		if j.started && j.refusals == j.submitted {
			p.violate("job %s was refused as not run each time, and has started", id)
		}
	}
	for task, server := range p.active {
		p.violate("task %s still runs on %s after the end", task, server)
	}
	return slices.Clone(p.violations)
}

// violate notes a violation. The caller holds mu.
func (p *Promises) violate(format string, args ...any) {
	p.violations = append(p.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
