package pollenfront

import (
	"strings"
	"time"
)

// A message that states more elements is rejected before memory is allocated for them.
//
//msgp:limit arrays:65536 maps:65536

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file config.go -o config_gen.go -tests=false -io=false

// A Config is one version of the operators' configuration.
//
//msgp:tuple Config
type Config struct {
	// MaxBodySize is the size limit for the body of a caller's request, in bytes.
	MaxBodySize int
	// Routes lists the queues of jobs.
	Routes []Route
	// Services maps the name of each service to the service.
	Services map[string]Service
	// Version is higher in every newer configuration.
	Version uint64
}

// A Route is a queue of jobs. The host and the path of a caller's request
// select it.
//
//msgp:tuple Route
type Route struct {
	// Host is the host that a request must name.
	Host string
	// LatencyTarget is the time that a job may take on top of its expected run
	// time multiplied by Stretch and still be on time.
	LatencyTarget time.Duration
	// MaxAttempts is the number of failed runs of a task after which its job
	// fails.
	MaxAttempts int
	// Name identifies the route in logs, in metrics and in submissions through
	// pollenfront's own API for callers.
	Name string
	// PathPrefix is the prefix that the path of a request must have.
	PathPrefix string
	// Priority orders the routes by urgency; 0 is the most urgent one.
	Priority int
	// Service names the pool of backend servers that run the route's tasks.
	Service string
	// Stretch is the multiple of its expected run time that a job may take and
	// still be on time.
	Stretch float64
	// Timeout is the timeout that the operators have configured. It has no effect.
	Timeout time.Duration
}

// Address returns the host and the path prefix of the route, by which callers name its jobs.
func (r *Route) Address() string {
	return r.Host + r.PathPrefix
}

// A Service is a pool of backend servers.
//
//msgp:tuple Service
type Service struct {
	Name string
}

// MatchRoute returns the route for a request with the given host and path. If
// several routes match, it returns the first of those with the longest path
// prefix. It returns false if no route matches.
func (c *Config) MatchRoute(host, path string) (Route, bool) {
	best := -1
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if best < 0 || len(r.PathPrefix) > len(c.Routes[best].PathPrefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// RouteByName returns the route with the given name, or false if there is none.
func (c *Config) RouteByName(name string) (Route, bool) {
	for _, r := range c.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}
