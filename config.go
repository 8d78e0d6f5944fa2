package pollenfront

import (
	"strings"
	"time"
)

// A Config is one version of the operators' configuration.
type Config struct {
	MaxBodySize int // bytes
	Routes      []Route
	Services    map[string]Service
	Version     uint64
}

// A Route is a queue of jobs, selected by host and path.
type Route struct {
	Host          string
	LatencyTarget time.Duration // Allowed on top of the stretched run time.
	MaxAttempts   int           // Failed runs of a task after which its job has failed.
	Name          string
	PathPrefix    string
	Priority      int     // 0 is the most urgent.
	Service       string  // Names the pool of backend servers.
	Stretch       float64 // Multiple of the run time within which a job is in time.
	Timeout       time.Duration
}

// A Service is a pool of backend servers.
type Service struct {
	Name string
}

// Match returns the route with the longest path prefix that serves a request.
func (c *Config) Match(host, path string) (Route, bool) {
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

// Route returns the route of a name.
func (c *Config) Route(name string) (Route, bool) {
	for _, r := range c.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}
