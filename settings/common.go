package settings

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

// Process holds the settings that entries and agents share.
type Process struct {
	API       string               `toml:"api"` // Address of the HTTP server for the state and metrics, and of an entry for jobs.
	Name      string               `toml:"name"`
	StopLimit pollenfront.Duration `toml:"stop-limit"` // How long a planned stop may take.
	Store     string               `toml:"store"`      // Address of the platform's store.
	Zone      string               `toml:"zone"`
}

// Limits on the time of a planned stop.
const (
	defaultStop = 6 * time.Second
	maxStop     = 5 * time.Minute
)

// check fills in defaults and returns the faults.
func (p *Process) check() *checks {
	setDefault(&p.StopLimit, defaultStop)
	c := &checks{}
	c.name("name", p.Name)
	c.name("zone", p.Zone)
	c.address("api", p.API)
	c.address("store", p.Store)
	c.duration("stop-limit", p.StopLimit, time.Second, maxStop)
	return c
}
