// Package invariants checks what must always hold, from what callers and backend
// servers see.
//
// # Usage
//
//	c := invariants.New(zones)
//	c.Submitted(id, tasks)
//	violations := c.Violations()
package invariants

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

// A Checker records what happens and checks it.
type Checker struct {
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

// New returns a checker for servers in zones.
func New(zones map[string]string) *Checker {
	return &Checker{
		active: make(map[string]string), done: make(map[string]int), jobs: make(map[string]*job), out: make(map[string]time.Time), zones: zones,
	}
}

// Submitted notes that a job is submitted, once more if it was before.
func (c *Checker) Submitted(id string, tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[id] == nil {
		c.jobs[id] = &job{tasks: tasks}
	}
	c.jobs[id].submitted++
}

// Refused notes that a submission was refused as not run.
func (c *Checker) Refused(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].refusals++
}

// Completed notes that a job was answered as completed.
func (c *Checker) Completed(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	j.completed = true
	if c.done[id] < j.tasks {
		c.violate("job %s was completed with %d of %d tasks done", id, c.done[id], j.tasks)
	}
}

// Started implements backendserver.Observer.
func (c *Checker) Started(task, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	if other, ok := c.active[task]; ok {
		c.violate("task %s runs on %s and on %s", task, other, server)
	}
	c.active[task] = server
	id := jobOf(task)
	if c.jobs[id] == nil {
		c.violate("task %s of a job that nobody submitted starts", task)
		return
	}
	c.jobs[id].started = true
	if since, ok := c.out[c.zones[server]]; ok && time.Since(since) > zoneOutTime {
		c.violate("task %s starts in zone %s, which was taken out %v before", task, c.zones[server], time.Since(since))
	}
}

// Ended implements backendserver.Observer.
func (c *Checker) Ended(task, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, task)
	if how == "done" {
		c.done[jobOf(task)]++
	}
}

// TakenOut notes that a zone is taken out of service, or returned.
func (c *Checker) TakenOut(zone string, out bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if out {
		c.out[zone] = time.Now()
		return
	}
	delete(c.out, zone)
}

// Starts returns the number of starts.
func (c *Checker) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// Violations returns what did not hold. It is called when nothing runs any more.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		if j.started && j.refusals == j.submitted {
			c.violate("job %s was refused as not run each time, and has started", id)
		}
	}
	for task, server := range c.active {
		c.violate("task %s still runs on %s after the end", task, server)
	}
	return slices.Clone(c.violations)
}

// violate notes a violation. The caller holds mu.
func (c *Checker) violate(format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
