package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollenfront/pollenfront"
)

// Parameters of the confinement of routes.
const (
	// confinementWindow is the time within which crashes count, and how long a route stays
	// confined after the last one. A crashed server is back after some seconds, and can't
	// crash meanwhile.
	confinementWindow = 4 * time.Second
	// culpritWindow is the time for which a route is known to crash servers after a job of
	// it has crashed two.
	culpritWindow = time.Minute
	// maxCrashedShare is the share of a service's servers that jobs of a route may crash
	// within confinementWindow before the route is confined.
	maxCrashedShare = 0.4
	// minCrashedShare is the share of the servers that are left to confined routes that
	// these must crash within confinementWindow to stay confined.
	minCrashedShare = 0.75
	// minCrashes is the number of crashes below which a route is not confined.
	minCrashes = 3
	// minConfinementServers is the number of a service's servers below which its routes
	// are not confined.
	minConfinementServers = 4
	// minRouteShare is the share of a confined route in the suspicion of a crash with which
	// its confinement is extended.
	minRouteShare = 0.5
	// serversPerConfined is the number of a service's servers for each one to which its
	// confined routes are restricted.
	serversPerConfined = 5
)

// A confinement is the restriction of a route of a service to a few servers.
type confinement struct {
	service string
	until   time.Duration
}

// A pool is a set of servers that jobs may be placed on.
type pool struct {
	// confined is set for the servers to which confined routes are restricted, and not
	// for all servers of the service.
	confined bool
	service  string
}

// confineRoutes confines the routes whose jobs crash servers again and again, so that they
// leave most servers to the other routes: they are restricted to a few servers, the same
// ones at all entries, on which other jobs are placed only if they can start nowhere else.
// crash is the crash that was recorded last. Only crashes of servers to which this entry
// can send tasks count.
func (s *Scheduler) confineRoutes(now time.Duration, crash *pollenfront.Crash) {
	a, ok := s.agents[crash.Process.Name]
	if !ok || crash.Process.Kind != pollenfront.ProcessServer {
		return
	}
	for route, share := range s.crashes.RouteShares() {
		if s.crashesServers(now, route, a.service, share) {
			s.confinements[route] = confinement{service: a.service, until: now + confinementWindow}
		}
	}
}

// crashesServers reports whether jobs of a route crash so many servers of a service that it
// is to be confined, or stay so. share is the share of the route in the suspicion of the
// newest crash.
func (s *Scheduler) crashesServers(now time.Duration, route, service string, share float64) bool {
	crashes := s.crashes.RouteCrashes(route, now-confinementWindow, s.isServerOf(service))
	if s.isConfined(route) {
		return share >= minRouteShare && float64(crashes) >= minCrashedShare*float64(confinedServers(s.agentCounts[service]))
	}
	return s.manyCrashes(crashes, service) && s.crashes.HasCulprit(route, now-culpritWindow)
}

// manyCrashes reports whether a number of crashes within confinementWindow is so large a
// part of a service's servers that a route that causes them is to be confined.
func (s *Scheduler) manyCrashes(crashes int, service string) bool {
	return float64(crashes) >= max(minCrashes, maxCrashedShare*float64(s.agentCounts[service]))
}

// isServerOf returns a function that reports whether a process is a server of a service to
// which this entry can send tasks.
func (s *Scheduler) isServerOf(service string) func(server pollenfront.Process) bool {
	return func(server pollenfront.Process) bool {
		a, ok := s.agents[server.Name]
		return ok && a.service == service
	}
}

// isConfined reports whether a route is confined.
func (s *Scheduler) isConfined(route string) bool {
	_, ok := s.confinements[route]
	return ok
}

// avoidsConfined reports whether jobs of a route avoid the servers of its service to which
// other routes are confined.
func (s *Scheduler) avoidsConfined(route, service string) bool {
	if s.isConfined(route) {
		return false
	}
	for _, c := range s.confinements {
		if c.service == service {
			return true
		}
	}
	return false
}

// ConfinedRoutes returns the names of the confined routes, sorted.
func (s *Scheduler) ConfinedRoutes() []string {
	return slices.Sorted(maps.Keys(s.confinements))
}

// expireConfinements ends the confinements whose period has passed.
func (s *Scheduler) expireConfinements(now time.Duration) {
	maps.DeleteFunc(s.confinements, func(_ string, c confinement) bool { return now > c.until })
}

// pool returns the servers that a job may be placed on.
func (s *Scheduler) pool(j *job) pool {
	return pool{confined: s.isConfined(j.Route.Name), service: j.Route.Service}
}

// contains reports whether an agent's server is in the pool.
func (p pool) contains(a *agent) bool {
	return a.service == p.service && (!p.confined || a.confined)
}

// confinedServers returns the number of servers of a service that are left to confined
// routes.
func confinedServers(servers int) int {
	return (servers + serversPerConfined - 1) / serversPerConfined
}

// selectConfined selects the servers of each service to which confined routes are
// restricted. All entries that know the same agents select the same ones.
func (s *Scheduler) selectConfined() {
	byService := make(map[string][]*agent)
	for _, a := range s.sortedAgents {
		a.confined = true
		if a.linked {
			byService[a.service] = append(byService[a.service], a)
		}
	}
	for _, agents := range byService {
		if len(agents) < minConfinementServers {
			continue
		}
		slices.SortFunc(agents, func(a, b *agent) int { return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)) })
		for i, a := range agents {
			a.confined = i < confinedServers(len(agents))
		}
	}
}
