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
	// confinementPeriod is how long a route stays confined after the last crash that its
	// jobs are likely to have caused. It is longer than a crashed server is down, since
	// nothing can crash on a confined server meanwhile.
	confinementPeriod = 6 * time.Second
	// confinementWindow is the time within which crashes count towards a confinement.
	confinementWindow = 10 * time.Second
	// minConfinementCrashes is the number of crashes with which a route is confined.
	minConfinementCrashes = 3
	// minConfinementServers is the number of a service's servers below which its routes
	// are not confined.
	minConfinementServers = 4
	// minConfinementSuspicion is the share of a confined route in the suspicion of a crash
	// with which its confinement is extended.
	minConfinementSuspicion = 0.5
	// serversPerConfined is the number of a service's servers for each one to which its
	// confined routes are restricted.
	serversPerConfined = 5
)

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
func (s *Scheduler) confineRoutes(now time.Duration, crash *pollenfront.Crash) {
	if crash.Process.Kind != pollenfront.ProcessServer {
		return
	}
	for route, share := range s.crashes.RouteShares() {
		if s.crashesServers(now, route, share) {
			s.confinements[route] = now + confinementPeriod
		}
	}
}

// crashesServers reports whether jobs of a route crash servers again and again, according
// to the share of the route in the suspicion of a new crash and to those before it.
func (s *Scheduler) crashesServers(now time.Duration, route string, share float64) bool {
	if s.isConfined(route) && share >= minConfinementSuspicion {
		return true
	}
	crashes, certain := s.crashes.RouteCrashes(route, now-confinementWindow)
	return certain && crashes >= minConfinementCrashes
}

// isConfined reports whether a route is confined.
func (s *Scheduler) isConfined(route string) bool {
	_, ok := s.confinements[route]
	return ok
}

// ConfinedRoutes returns the names of the confined routes, sorted.
func (s *Scheduler) ConfinedRoutes() []string {
	return slices.Sorted(maps.Keys(s.confinements))
}

// expireConfinements ends the confinements whose period has passed.
func (s *Scheduler) expireConfinements(now time.Duration) {
	maps.DeleteFunc(s.confinements, func(_ string, until time.Duration) bool { return now > until })
}

// pool returns the servers that a job may be placed on.
func (s *Scheduler) pool(j *job) pool {
	return pool{confined: s.isConfined(j.Route.Name), service: j.Route.Service}
}

// contains reports whether an agent's server is in the pool.
func (p pool) contains(a *agent) bool {
	return a.service == p.service && (!p.confined || a.confined)
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
			a.confined = i*serversPerConfined < len(agents)
		}
	}
}
