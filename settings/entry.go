package settings

import "strconv"

// Entry holds the settings of an entry.
type Entry struct {
	Process

	Advertise    string  `toml:"advertise"`     // Address by which agents reach links. Default: links.
	Callers      string  `toml:"callers"`       // Address for callers.
	Links        string  `toml:"links"`         // Address for the links of agents.
	RemoteFactor float64 `toml:"remote-factor"` // Multiple of its run time that a task takes away from its data; default 1.
	Readiness    string  `toml:"readiness"`     // Address at which the balancer asks.
}

// Check implements Checker.
func (e *Entry) Check() []FieldError {
	c := e.check()
	if e.Advertise == "" {
		e.Advertise = e.Links
	}
	c.address("advertise", e.Advertise)
	c.address("callers", e.Callers)
	c.address("links", e.Links)
	c.address("readiness", e.Readiness)
	if e.RemoteFactor < 0 {
		c.add("remote-factor", strconv.FormatFloat(e.RemoteFactor, 'g', -1, 64), "set it to 1 or more")
	}
	return c.faults
}
