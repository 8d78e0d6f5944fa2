package settings

// Agent holds the settings of an agent.
type Agent struct {
	Process

	Announcements string   `toml:"announcements"` // Address at which the backend server announces itself.
	LinkPort      int      `toml:"link-port"`     // Port at which all entries take links.
	Seeds         []string `toml:"seeds"`         // Addresses of some entries' machines, with any port.
	Server        string   `toml:"server"`        // Address of the backend server.
	Service       string   `toml:"service"`       // Pool of the backend server.
}

// maxPort is the highest port.
const maxPort = 65535

// Check implements Checker.
func (a *Agent) Check() []FieldError {
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
