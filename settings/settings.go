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
	"regexp"
	"strconv"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/pollenfront/pollenfront"
)

// A Checker is a set of settings that can check itself.
type Checker interface {
	// Check returns all faults.
	Check() []FieldError
}

// A FieldError is one wrong setting.
type FieldError struct {
	Found  string
	Key    string
	Remedy string
}

// Error returns the key, what was found and the remedy.
func (f FieldError) Error() string {
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
		faults = append(faults, FieldError{Found: "an unknown key", Key: key.String(), Remedy: "remove it or correct its name"})
	}
	for _, fault := range into.Check() {
		faults = append(faults, fault)
	}
	return errors.Join(faults...)
}

// namePattern matches names of zones, entries and servers.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// checks collects faults.
type checks struct {
	faults []FieldError
}

// add adds a fault.
func (c *checks) add(key, found, remedy string) {
	c.faults = append(c.faults, FieldError{Found: found, Key: key, Remedy: remedy})
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

// setDefault sets a duration that is not set.
func setDefault(d *pollenfront.Duration, value time.Duration) {
	if *d == 0 {
		*d = pollenfront.Duration(value)
	}
}
