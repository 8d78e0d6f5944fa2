// Package settings reads the settings of pollenfront's programs from TOML files
// and validates them. It reports all invalid settings at once, each with its key,
// the value found and how to correct it.
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

// A Validator is a set of settings that can validate itself.
type Validator interface {
	// Validate sets defaults and returns an error for each invalid setting.
	Validate() []FieldError
}

// A FieldError reports an invalid setting.
type FieldError struct {
	Found  string // Found describes the invalid value.
	Key    string // Key is the key of the setting in the TOML file.
	Remedy string // Remedy is how to correct the setting.
}

// Error implements error. It returns one line with all fields of f.
func (f FieldError) Error() string {
	return fmt.Sprintf("%s: found %s; %s", f.Key, f.Found, f.Remedy)
}

// Load reads a TOML file into settings and validates them. If keys are unknown or
// settings invalid, it returns all the FieldErrors, joined in one error.
func Load(file string, settings Validator) error {
	if file == "" {
		return errors.New("--settings FILE is missing")
	}
	metadata, err := toml.DecodeFile(file, settings)
	if err != nil {
		var parseErr toml.ParseError
		if errors.As(err, &parseErr) {
			return fmt.Errorf("%s: %s", file, parseErr.ErrorWithPosition())
		}
		return fmt.Errorf("%s: %w", file, err)
	}
	var errs []error
	for _, key := range metadata.Undecoded() {
		errs = append(errs, FieldError{Found: "an unknown key", Key: key.String(), Remedy: "remove it or correct its name"})
	}
	for _, fieldErr := range settings.Validate() {
		errs = append(errs, fieldErr)
	}
	return errors.Join(errs...)
}

// namePattern matches the names of zones, services, entries and agents.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// A validator validates settings and collects the errors.
type validator struct {
	errs []FieldError
}

// add adds an error.
func (v *validator) add(key, found, remedy string) {
	v.errs = append(v.errs, FieldError{Found: found, Key: key, Remedy: remedy})
}

// address adds an error if value is not an IP address with a port.
func (v *validator) address(key, value string) {
	host, port, err := net.SplitHostPort(value)
	if err == nil && net.ParseIP(host) != nil {
		if n, err := strconv.Atoi(port); err == nil && n > 0 && n <= 65535 {
			return
		}
	}
	v.add(key, strconv.Quote(value), "write an IP address and a port such as 127.0.1.1:7000")
}

// duration adds an error if value is not in the range from lowest to highest.
func (v *validator) duration(key string, value pollenfront.Duration, lowest, highest time.Duration) {
	if d := time.Duration(value); d < lowest || d > highest {
		v.add(key, value.String(), fmt.Sprintf("set it from %v to %v", lowest, highest))
	}
}

// name adds an error if value does not match namePattern.
func (v *validator) name(key, value string) {
	if !namePattern.MatchString(value) {
		v.add(key, strconv.Quote(value), "write a name of lower-case letters, digits and hyphens")
	}
}

// number adds an error if value is not in the range from lowest to highest.
func (v *validator) number(key string, value, lowest, highest int) {
	if value < lowest || value > highest {
		v.add(key, strconv.Itoa(value), fmt.Sprintf("set it from %d to %d", lowest, highest))
	}
}

// setDefault sets d to defaultValue if it is zero.
func setDefault(d *pollenfront.Duration, defaultValue time.Duration) {
	if *d == 0 {
		*d = pollenfront.Duration(defaultValue)
	}
}
