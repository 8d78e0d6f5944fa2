// Package settings reads the settings of pollenfront's programs from TOML
// files and checks them whole: every fault is reported at once, with the key,
// what was found and the remedy.
//
// # Usage
//
//	var s settings.Entry
//	err := settings.Load("entry.toml", &s)
package settings

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/pollenfront/pollenfront"
)

// A Checker is a set of settings that can check itself.
type Checker interface {
	// Check returns all faults.
	Check() []FaultError
}

// A FaultError is one wrong setting.
type FaultError struct {
	Found  string
	Key    string
	Remedy string
}

// Error returns the key, what was found and the remedy.
func (f FaultError) Error() string {
	return fmt.Sprintf("%s: found %s; %s", f.Key, f.Found, f.Remedy)
}

// Load reads settings from the file and checks them. It returns all faults
// joined in one error.
func Load(file string, into Checker) error {
	if file == "" {
		return errors.New("--settings FILE is missing")
	}
	meta, err := toml.DecodeFile(file, into)
	if err != nil {
		var parse toml.ParseError
		if errors.As(err, &parse) {
			return fmt.Errorf("%s: %s", file, parse.ErrorWithPosition())
		}
		return fmt.Errorf("%s: %w", file, err)
	}
	var faults []error
	for _, key := range meta.Undecoded() {
		faults = append(faults, FaultError{Found: "an unknown key", Key: key.String(), Remedy: "remove it or correct its name"})
	}
	for _, fault := range into.Check() {
		faults = append(faults, fault)
	}
	return errors.Join(faults...)
}

// Process holds the settings that entries and agents share.
type Process struct {
	Debug     bool                 `toml:"debug"` // Logs the use of the platform's table.
	IP        string               `toml:"ip"`    // Address that connections come from.
	Name      string               `toml:"name"`
	Retention pollenfront.Duration `toml:"retention"` // Greatest age of a job ID.
	StopLimit pollenfront.Duration `toml:"stop-limit"`
	Zone      string               `toml:"zone"`
}

// Limits on the settings that entries and agents share.
const (
	defaultRetention = 5 * time.Minute
	defaultStopLimit = 30 * time.Second
	maxRetention     = time.Hour
	minRetention     = 30 * time.Second
)

// check fills in defaults and returns the faults.
func (p *Process) check() []FaultError {
	setDefault(&p.Retention, defaultRetention)
	setDefault(&p.StopLimit, defaultStopLimit)
	c := &checks{}
	c.ip("ip", p.IP)
	c.name("name", p.Name)
	c.name("zone", p.Zone)
	c.duration("retention", p.Retention, minRetention, maxRetention)
	c.duration("stop-limit", p.StopLimit, time.Second, maxRetention)
	return c.faults
}

// Entry holds the settings of an entry.
type Entry struct {
	Process

	API           string               `toml:"api"`            // Address of the callers' and operators' HTTP API.
	AdvertiseAPI  string               `toml:"advertise-api"`  // Default: api.
	AdvertisePeer string               `toml:"advertise-peer"` // Default: peer.
	DrainDelay    pollenfront.Duration `toml:"drain-delay"`    // Time that the balancer needs to notice a stop.
	Peer          string               `toml:"peer"`           // Address for agents and other entries.
	Table         string               `toml:"table"`          // URL of the platform.
}

const (
	defaultDrainDelay = time.Second
	maxDrainDelay     = time.Minute
)

// Check implements Checker.
func (e *Entry) Check() []FaultError {
	setDefault(&e.DrainDelay, defaultDrainDelay)
	e.AdvertiseAPI = cmpOr(e.AdvertiseAPI, e.API)
	e.AdvertisePeer = cmpOr(e.AdvertisePeer, e.Peer)
	c := &checks{faults: e.check()}
	c.address("api", e.API)
	c.address("advertise-api", e.AdvertiseAPI)
	c.address("advertise-peer", e.AdvertisePeer)
	c.duration("drain-delay", e.DrainDelay, 0, maxDrainDelay)
	c.address("peer", e.Peer)
	c.url("table", e.Table)
	return c.faults
}

// Agent holds the settings of an agent.
type Agent struct {
	Process

	Backend     string   `toml:"backend"`     // URL of the backend server.
	Connections int      `toml:"connections"` // Greatest number of connections to the backend server.
	Entries     []string `toml:"entries"`     // Addresses of some entries, to learn the view from.
	Slots       int      `toml:"slots"`       // Tasks that the backend server runs at once.
	Status      string   `toml:"status"`      // Address of the HTTP server for metrics and the state.
}

const (
	defaultConnections = 64
	maxConnections     = 4096
	maxSlots           = 1024
)

// Check implements Checker.
func (a *Agent) Check() []FaultError {
	if a.Connections == 0 {
		a.Connections = defaultConnections
	}
	c := &checks{faults: a.check()}
	c.url("backend", a.Backend)
	c.number("connections", a.Connections, 1, maxConnections)
	if len(a.Entries) == 0 {
		c.add("entries", "an empty list", "name the peer address of at least one entry")
	}
	for _, address := range a.Entries {
		c.address("entries", address)
	}
	c.number("slots", a.Slots, 1, maxSlots)
	if a.Slots > a.Connections {
		c.add("slots", strconv.Itoa(a.Slots), "set at most connections, one for each slot")
	}
	c.address("status", a.Status)
	return c.faults
}

// namePattern matches names of zones, entries and servers.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// checks collects faults.
type checks struct {
	faults []FaultError
}

// add adds a fault.
func (c *checks) add(key, found, remedy string) {
	c.faults = append(c.faults, FaultError{Found: found, Key: key, Remedy: remedy})
}

// address checks an IP address with a port.
func (c *checks) address(key, value string) {
	host, port, err := net.SplitHostPort(value)
	if err == nil && net.ParseIP(host) != nil {
		if n, err := strconv.Atoi(port); err == nil && n > 0 && n <= 65535 {
			return
		}
	}
	c.add(key, strconv.Quote(value), "write an IP address and a port such as 127.0.1.1:7000")
}

// duration checks that a duration is in a range.
func (c *checks) duration(key string, value pollenfront.Duration, least, most time.Duration) {
	if d := time.Duration(value); d < least || d > most {
		c.add(key, value.String(), fmt.Sprintf("set it from %v to %v", least, most))
	}
}

// ip checks an IP address.
func (c *checks) ip(key, value string) {
	if net.ParseIP(value) == nil {
		c.add(key, strconv.Quote(value), "write an IP address such as 127.0.1.1")
	}
}

// name checks a name.
func (c *checks) name(key, value string) {
	if !namePattern.MatchString(value) {
		c.add(key, strconv.Quote(value), "write a name of lower-case letters, digits and hyphens")
	}
}

// number checks that a number is in a range.
func (c *checks) number(key string, value, least, most int) {
	if value < least || value > most {
		c.add(key, strconv.Itoa(value), fmt.Sprintf("set it from %d to %d", least, most))
	}
}

// url checks an HTTP URL.
func (c *checks) url(key, value string) {
	u, err := url.Parse(value)
	if err != nil || !slices.Contains([]string{"http", "https"}, u.Scheme) || u.Host == "" {
		c.add(key, strconv.Quote(value), "write a URL such as http://127.0.9.1:7900")
	}
}

// cmpOr returns the first of two strings that is not empty.
func cmpOr(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

// setDefault sets a duration that is not set.
func setDefault(d *pollenfront.Duration, value time.Duration) {
	if *d == 0 {
		*d = pollenfront.Duration(value)
	}
}
