package attempts

import (
	"maps"
	"math"
	"time"
)

// Parameters of an entry's own evidence.
const (
	// evidencePeriod is the time in which evidence fades to 1/e. A failing server that gets
	// no tasks gives no new evidence, and has to be tried again.
	evidencePeriod = 3 * time.Second
	// maxLogOdds limits the evidence against a server, so that ten to twenty successful
	// runs outweigh it.
	maxLogOdds = 6
	// priorFailingTask is the prior probability that a task fails on all servers.
	priorFailingTask = 0.001
	// routeWeight is the weight of a new task in a route's long-term share of failing tasks.
	routeWeight = 0.05
)

// Evidence is what an entry has seen of failures, for the servers of a service. A failure
// counts against a server when the task has succeeded on another one, and against the
// task's route when the task has used up its attempts.
type Evidence struct {
	// blamedServers and blamedTasks are the numbers of failures that servers and tasks
	// have caused, fading.
	blamedServers, blamedTasks float64
	// fadedAt is the time up to which the evidence has faded.
	fadedAt time.Duration
	routes  map[string]routeTasks
	servers map[string]float64 // servers holds the LogOdds by server.
}

// A routeTasks counts the tasks of a route, fading with each new one.
type routeTasks struct {
	ended, failed float64 // ended counts all that were done or have used up their attempts.
}

// with returns the counts with another task.
func (r routeTasks) with(failed float64) routeTasks {
	return routeTasks{ended: r.ended*(1-routeWeight) + 1, failed: r.failed*(1-routeWeight) + failed}
}

// failingShare returns the share of the tasks that fail on all servers. The prior counts
// as one task, so that the first failing jobs of a route tell.
func (r routeTasks) failingShare() float64 {
	return max(priorFailingTask, (r.failed+priorFailingTask)/(r.ended+1))
}

// NewEvidence returns Evidence without observations.
func NewEvidence() *Evidence {
	return &Evidence{routes: make(map[string]routeTasks), servers: make(map[string]float64)}
}

// AddSuccess records that a task of a route was done on a server. failedOn are the servers
// on which it had failed before.
func (e *Evidence) AddSuccess(now time.Duration, route, server string, failedOn []string) {
	e.fade(now)
	e.routes[route] = e.routes[route].with(0)
	if odds, ok := e.servers[server]; ok {
		e.servers[server] = max(0, odds+math.Log(1-failingShare))
	}
	for _, failed := range failedOn {
		if failed != server {
			e.blamedServers++
			e.servers[failed] = min(e.servers[failed]+math.Log(failingShare/baseFailShare), maxLogOdds)
		}
	}
}

// AddFailure records that a task of a route has used up its attempts.
func (e *Evidence) AddFailure(now time.Duration, route string, attempts int) {
	e.fade(now)
	e.blamedTasks += float64(attempts)
	e.routes[route] = e.routes[route].with(1)
}

// RemoveRoutes removes the routes that the given function reports.
func (e *Evidence) RemoveRoutes(removed func(name string) bool) {
	maps.DeleteFunc(e.routes, func(name string, _ routeTasks) bool { return removed(name) })
}

// fade fades the evidence up to now, and removes servers against which hardly any is left.
func (e *Evidence) fade(now time.Duration) {
	if now <= e.fadedAt {
		return
	}
	factor := math.Exp(-(now - e.fadedAt).Seconds() / evidencePeriod.Seconds())
	e.fadedAt = now
	e.blamedServers *= factor
	e.blamedTasks *= factor
	for server, odds := range e.servers {
		if odds *= factor; odds < 0.01 {
			delete(e.servers, server)
			continue
		}
		e.servers[server] = odds
	}
}

// LogOdds returns the evidence that a server fails runs, as the logarithm of a likelihood
// ratio.
func (e *Evidence) LogOdds(now time.Duration, server string) float64 {
	e.fade(now)
	return e.servers[server]
}

// Trust returns the share of the failures that servers and not tasks have caused. It is 1
// before any failure.
func (e *Evidence) Trust(now time.Duration) float64 {
	e.fade(now)
	return (1 + e.blamedServers) / (1 + e.blamedServers + e.blamedTasks)
}

// TaskFails returns the probability that a task fails on every server, after it has failed
// on servers with the given shares of failed runs.
func (e *Evidence) TaskFails(route string, failShares []float64) float64 {
	prior := min(e.routes[route].failingShare(), maxFailShare)
	evidence := 0.0
	for _, share := range failShares {
		evidence -= math.Log(max(share, baseFailShare))
	}
	return posterior(prior, evidence)
}
