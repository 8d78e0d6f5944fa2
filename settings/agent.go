package settings

import "github.com/pollenfront/pollenfront"

// Agent holds the settings of an agent.
type Agent struct {
	Common

	// Announcements is the address at which the agent listens for announcements
	// of the backend server.
	Announcements string `toml:"announcements"`
	// DemandShares makes the agent state to each entry a share of the server that
	// follows the demands of the entries. Entries that do not state their demand count
	// as having none.
	DemandShares bool `toml:"demand-shares"`
	// Interference is whether the agent measures how much runs slow each other down and
	// reports it to entries: off, which is the default, observe or avoid. The latter two
	// are the same to an agent.
	Interference pollenfront.InterferenceMode `toml:"interference"`
	// LinkPort is the port at which every entry listens for agents. The agent uses
	// it for Seeds; it dials other entries at the addresses that they registered.
	LinkPort int `toml:"link-port"`
	// Seeds are addresses of machines with entries. The agent always dials these
	// machines, whatever entries are registered in the store, at LinkPort instead of
	// the port in the address.
	Seeds []string `toml:"seeds"`
	// Server is the address of the backend server.
	Server string `toml:"server"`
	// Service is the name of the service that the backend server belongs to.
	Service string `toml:"service"`
}

// maxPort is the highest TCP port.
const maxPort = 65535

// Validate implements Validator.
func (a *Agent) Validate() []FieldError {
	v := a.validateCommon()
	v.address("announcements", a.Announcements)
	v.interference(&a.Interference)
	v.number("link-port", a.LinkPort, 1, maxPort)
	for _, seed := range a.Seeds {
		v.address("seeds", seed)
	}
	v.address("server", a.Server)
	v.name("service", a.Service)
	return v.errs
}
