package settings

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

// Common holds the settings that entries and agents share.
type Common struct {
	// API is the address of the HTTP server for state and metrics. An entry also
	// serves pollenfront's own API for callers there.
	API string `toml:"api"`
	// Name is the unique name of the entry or agent.
	Name string `toml:"name"`
	// StopLimit is how long a planned stop may take. It defaults to
	// defaultStopLimit.
	StopLimit pollenfront.Duration `toml:"stop-limit"`
	// Store is the address of the platform's store.
	Store string `toml:"store"`
	// Zone is the availability zone in which the process runs.
	Zone string `toml:"zone"`
}

// Default and maximum of StopLimit.
const (
	defaultStopLimit = 6 * time.Second
	maxStopLimit     = 5 * time.Minute
)

// validateCommon sets defaults and returns a validator with the errors found in
// the common settings.
func (c *Common) validateCommon() *validator {
	setDefault(&c.StopLimit, defaultStopLimit)
	v := &validator{}
	v.name("name", c.Name)
	v.name("zone", c.Zone)
	v.address("api", c.API)
	v.address("store", c.Store)
	v.duration("stop-limit", c.StopLimit, time.Second, maxStopLimit)
	return v
}
