package settings

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

// Serve holds what entries and agents on the users' platform share.
type Serve struct {
	Metrics   string               `toml:"metrics"` // Address of the HTTP server for metrics and the state.
	Name      string               `toml:"name"`
	StopLimit pollenfront.Duration `toml:"stop-limit"` // How long a planned stop may take.
	Store     string               `toml:"store"`      // Address of the platform's store.
	Zone      string               `toml:"zone"`
}

// Limits on the time of a planned stop.
const (
	defaultServeStop = 6 * time.Second
	maxServeStop     = 5 * time.Minute
)

// check fills in defaults and returns the faults.
func (s *Serve) check() *checks {
	setDefault(&s.StopLimit, defaultServeStop)
	c := &checks{}
	c.name("name", s.Name)
	c.name("zone", s.Zone)
	c.address("metrics", s.Metrics)
	c.address("store", s.Store)
	c.duration("stop-limit", s.StopLimit, time.Second, maxServeStop)
	return c
}

// ServeEntry holds the settings of an entry on the users' platform.
type ServeEntry struct {
	Serve

	Callers   string `toml:"callers"`   // Address for callers.
	Links     string `toml:"links"`     // Address for the links of agents.
	Readiness string `toml:"readiness"` // Address at which the balancer asks.
}

// Check implements Checker.
func (e *ServeEntry) Check() []FaultError {
	c := e.check()
	c.address("callers", e.Callers)
	c.address("links", e.Links)
	c.address("readiness", e.Readiness)
	return c.faults
}

// ServeAgent holds the settings of an agent on the users' platform.
type ServeAgent struct {
	Serve

	Announcements string   `toml:"announcements"` // Address at which the backend server announces itself.
	LinkPort      int      `toml:"link-port"`     // Port at which all entries take links.
	Seeds         []string `toml:"seeds"`         // Addresses of some entries' machines, with any port.
	Server        string   `toml:"server"`        // Address of the backend server.
	Service       string   `toml:"service"`       // Pool of the backend server.
}

// maxPort is the highest port.
const maxPort = 65535

// Check implements Checker.
func (a *ServeAgent) Check() []FaultError {
	c := a.check()
	c.address("announcements", a.Announcements)
	c.number("link-port", a.LinkPort, 1, maxPort)
	for _, seed := range a.Seeds {
		c.address("seeds", seed)
	}
	c.address("server", a.Server)
	c.name("service", a.Service)
	return c.faults
}
