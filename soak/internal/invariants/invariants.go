// Package invariants checks invariants of a fleet, from the events that callers
// and backend servers report: for example that a task never runs on two servers
// at once, and that a job whose submissions were all refused has started no task.
//
// # Usage
//
//	c := invariants.New(zones)
//	c.RecordSubmission(id, tasks)
//	violations := c.Violations()
package invariants

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// cancelBound is how long after the acknowledgement of a request to cancel a job its tasks may
// still start, and cancelStopTime how long after that they may run.
const (
	cancelBound    = 3 * time.Second
	cancelStopTime = 50 * time.Millisecond
)

// zoneDisableTimeout is how long tasks may still start in a zone after it was
// taken out of service.
const zoneDisableTimeout = 5 * time.Second

// A Checker records events and checks the invariants. It is safe for concurrent
// use, and implements backendserver.Observer.
type Checker struct {
	// crashes has the servers that tasks have crashed, by task.
	crashes map[string]*crashCount

	// disabledSince has the times at which zones were taken out of service, by
	// zone.
	disabledSince map[string]time.Time

	// doneRuns has the numbers of runs that ended as done, by job.
	doneRuns map[string]int
	jobs     map[string]*job
	mu       sync.Mutex

	// serversOf has the servers of the runs in progress, by task.
	serversOf  map[string][]string
	starts     int
	violations []string

	// zoneOf has the zones of the servers, by server.
	zoneOf map[string]string
}

// Limits on the starts of a task that crashes servers.
const (
	// crashLimit is the number of servers that a task has crashed from which on its
	// starts are counted.
	crashLimit = 3

	// maxStartsAfterCrashes is the number of these starts that is not a violation.
	maxStartsAfterCrashes = 2
)

// A crashCount counts the servers that a task has crashed.
type crashCount struct {
	crashes int

	// starts is the number of starts since crashLimit was reached.
	starts int
}

// A job records the submissions and outcomes of a job.
type job struct {
	// canceledAt is when a request to cancel the job was acknowledged, or zero.
	canceledAt time.Time
	completed  bool

	// refusals is the number of submissions that were refused.
	refusals    int
	started     bool
	submissions int
	tasks       int
}

// New returns a checker that has recorded nothing. zoneOf has the zones of the
// servers, by the name of the server.
func New(zoneOf map[string]string) *Checker {
	return &Checker{
		crashes: make(map[string]*crashCount), disabledSince: make(map[string]time.Time), doneRuns: make(map[string]int), jobs: make(map[string]*job),
		serversOf: make(map[string][]string), zoneOf: zoneOf,
	}
}

// RecordSubmission records that a job is about to be submitted, for the first
// time or again.
func (c *Checker) RecordSubmission(id string, tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[id] == nil {
		c.jobs[id] = &job{tasks: tasks}
	}
	c.jobs[id].submissions++
}

// RecordRefusal records that a submission was refused, that is, that it started no
// task.
func (c *Checker) RecordRefusal(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].refusals++
}

// RecordCompletion records that a job was answered as completed. It checks that the
// number of its runs that ended as done is not below the number of its tasks.
func (c *Checker) RecordCompletion(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	j.completed = true
	if c.doneRuns[id] < j.tasks {
		c.violate("job %s was completed with %d of %d tasks done", id, c.doneRuns[id], j.tasks)
	}
}

// RecordCancellation records that a request to cancel a job was acknowledged. After cancelBound
// and cancelStopTime it checks that no task of the job runs.
func (c *Checker) RecordCancellation(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].canceledAt = time.Now()
	time.AfterFunc(cancelBound+cancelStopTime, func() { c.checkCanceled(id) })
}

// checkCanceled records a violation for each task of a canceled job that runs.
func (c *Checker) checkCanceled(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, servers := range c.serversOf {
		if jobOf(task) == id {
			c.violate("task %s runs on %s %v after its job was canceled", task, strings.Join(servers, ", "), time.Since(c.jobs[id].canceledAt))
		}
	}
}

// RunStarted implements backendserver.Observer. It checks that no other run of the task
// is in progress, that its job was submitted, and that the zone of the server was
// in service when the server received the request. A server may carry it out later.
func (c *Checker) RunStarted(task, server string, received time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	for _, other := range c.serversOf[task] {
		c.violate("task %s runs on %s and on %s at the same time", task, other, server)
	}
	c.serversOf[task] = append(c.serversOf[task], server)
	if count := c.crashes[task]; count != nil && count.crashes >= crashLimit {
		count.starts++
		if count.starts > maxStartsAfterCrashes {
			c.violate("task %s was started %d times more after it had crashed %d servers", task, count.starts, crashLimit)
		}
	}
	id := jobOf(task)
	if c.jobs[id] == nil {
		c.violate("task %s started, but its job was not submitted", task)
		return
	}
	c.jobs[id].started = true
	if canceledAt := c.jobs[id].canceledAt; !canceledAt.IsZero() && received.Sub(canceledAt) > cancelBound {
		c.violate("task %s started on %s %v after its job was canceled", task, server, received.Sub(canceledAt))
	}
	if since, ok := c.disabledSince[c.zoneOf[server]]; ok && received.Sub(since) > zoneDisableTimeout {
		c.violate("task %s started in zone %s, which was taken out of service %v earlier", task, c.zoneOf[server], received.Sub(since))
	}
}

// RunEnded implements backendserver.Observer.
func (c *Checker) RunEnded(task, server, ending string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	servers := c.serversOf[task]
	if i := slices.Index(servers, server); i >= 0 {
		servers = slices.Delete(servers, i, i+1)
	}
	if c.serversOf[task] = servers; len(servers) == 0 {
		delete(c.serversOf, task)
	}
	if ending == "done" {
		c.doneRuns[jobOf(task)]++
	}
}

// ServerCrashed implements backendserver.Observer.
func (c *Checker) ServerCrashed(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.crashes[task] == nil {
		c.crashes[task] = &crashCount{}
	}
	c.crashes[task].crashes++
}

// Crashes returns the number of servers that tasks have crashed, and the largest number for
// one task.
func (c *Checker) Crashes() (all, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, count := range c.crashes {
		all += count.crashes
		most = max(most, count.crashes)
	}
	return all, most
}

// SetZoneDisabled records that a zone is taken out of service or returned to
// service.
func (c *Checker) SetZoneDisabled(zone string, disabled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if disabled {
		c.disabledSince[zone] = time.Now()
		return
	}
	delete(c.disabledSince, zone)
}

// Starts returns the number of runs that backend servers started.
func (c *Checker) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// Violations returns the violations of invariants. It first records those that show
// only at the end of the soak, such as a task that still runs, so it must be called
// only once, after the last runs have had time to end.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		if j.started && j.refusals == j.submissions {
			c.violate("job %s was refused as not run at each submission, but one of its tasks started", id)
		}
	}
	for task, servers := range c.serversOf {
		c.violate("task %s still runs on %s at the end of the soak", task, strings.Join(servers, ", "))
	}
	return slices.Clone(c.violations)
}

// violate records a violation with its time of day. The caller holds mu.
func (c *Checker) violate(format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// jobOf returns the ID of the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
