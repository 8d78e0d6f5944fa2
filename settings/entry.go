package settings

// Entry holds the settings of an entry.
type Entry struct {
	Process

	Advertise string `toml:"advertise"` // Address by which agents reach links. Default: links.
	Callers   string `toml:"callers"`   // Address for callers.
	Links     string `toml:"links"`     // Address for the links of agents.
	Readiness string `toml:"readiness"` // Address at which the balancer asks.
}

// Check implements Checker.
func (e *Entry) Check() []FaultError {
	c := e.check()
	if e.Advertise == "" {
		e.Advertise = e.Links
	}
	c.address("advertise", e.Advertise)
	c.address("callers", e.Callers)
	c.address("links", e.Links)
	c.address("readiness", e.Readiness)
	return c.faults
}
