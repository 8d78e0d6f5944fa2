package settings

import (
	"strconv"

	"github.com/pollenfront/pollenfront"
)

// Entry holds the settings of an entry.
type Entry struct {
	Common

	// Advertise is the address at which agents reach Links. It defaults to Links.
	Advertise string `toml:"advertise"`
	// Callers is the address at which the entry serves callers through the API of
	// the users' platform. pollenfront's own API for callers is at API.
	Callers string `toml:"callers"`
	// DemandShares makes the entry state its demand to the agents, and use the shares
	// that they state in place of equal ones.
	DemandShares bool `toml:"demand-shares"`
	// FairShares makes the entry divide scarce capacity fairly among routes and size
	// classes of jobs, and keep jobs for a late answer while room may be left.
	FairShares bool `toml:"fair-shares"`
	// Interference is what the entry does about tasks that slow each other down on one
	// server: off, which is the default, observe or avoid.
	Interference pollenfront.InterferenceMode `toml:"interference"`
	// Links is the address at which the entry listens for agents.
	Links string `toml:"links"`
	// RemoteFactor is the multiple of its run time that a task takes on servers
	// that are not near its data. Values from 0, the default, to 1 count as 1.
	RemoteFactor float64 `toml:"remote-factor"`
	// Readiness is the address at which the load balancer asks whether the entry
	// is ready.
	Readiness string `toml:"readiness"`
}

// Validate implements Validator.
func (e *Entry) Validate() []FieldError {
	v := e.validateCommon()
	if e.Advertise == "" {
		e.Advertise = e.Links
	}
	v.address("advertise", e.Advertise)
	v.address("callers", e.Callers)
	v.interference(&e.Interference)
	v.address("links", e.Links)
	v.address("readiness", e.Readiness)
	if e.RemoteFactor < 0 {
		v.add("remote-factor", strconv.FormatFloat(e.RemoteFactor, 'g', -1, 64), "set it to 1 or more")
	}
	return v.errs
}
