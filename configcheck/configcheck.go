// Package configcheck checks a version of the operators' configuration before it is
// put in force. It has no input or output: an adapter reads the configuration into a
// Document, which knows the positions and the names of its fields.
//
// # Usage
//
//	document := platform.ReadConfig(text)
//	for _, f := range configcheck.Check(document, inForce) {
//		fmt.Println(f.Line, f.Kind, f.Path, f.Message)
//	}
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/pollenfront/pollenfront"
)

// A Kind tells what a finding is about.
type Kind string

// Kinds of findings.
const (
	// KindContradiction marks limits that contradict each other or what jobs need.
	KindContradiction Kind = "contradicting-limits"
	// KindDifference marks what differs from the version in force. It is a note.
	KindDifference Kind = "difference"
	// KindDuplicateField marks a field that an object states more than once.
	KindDuplicateField Kind = "duplicate-field"
	// KindDuplicateName marks a name that an earlier route or service has.
	KindDuplicateName Kind = "duplicate-name"
	// KindInForce marks a configuration in the store that entries can't decode.
	KindInForce Kind = "unreadable-in-force"
	// KindMissing marks a field that is missing or empty.
	KindMissing Kind = "missing-field"
	// KindRange marks a number that is negative or far beyond what is useful.
	KindRange Kind = "out-of-range"
	// KindSyntax marks text that is not in the format of a configuration.
	KindSyntax Kind = "syntax"
	// KindType marks a value of the wrong type.
	KindType Kind = "wrong-type"
	// KindUnknownField marks a field that entries ignore.
	KindUnknownField Kind = "unknown-field"
	// KindUnknownService marks a route to a service that does not exist.
	KindUnknownService Kind = "unknown-service"
	// KindUnreachable marks a route that matches no request.
	KindUnreachable Kind = "unreachable-route"
	// KindUnusedService marks a service that no route uses.
	KindUnusedService Kind = "unused-service"
	// KindVersion marks a version that is not higher than the one in force.
	KindVersion Kind = "version-not-higher"
	// KindZone marks a zone that is out of service. It is a note.
	KindZone Kind = "zone-out-of-service"
)

// IsNote reports whether findings of the kind inform without being faults of the
// configuration.
func (k Kind) IsNote() bool {
	return k == KindDifference || k == KindZone
}

// A Finding is one result of a check.
type Finding struct {
	Kind Kind `json:"kind"`
	// Line is the line in the text of the configuration, or 0 if the finding is
	// about something else.
	Line int `json:"line,omitempty"`
	// Message tells what is wrong and what to do about it.
	Message string `json:"message"`
	// Path names the field, such as routes[3].stretch. It is empty if the finding is
	// about the whole configuration.
	Path string `json:"path"`
}

// Names are the names of the fields in the format of a Document. Those of routes and
// services are relative to the route or the service.
type Names struct {
	Host, LatencyTarget, MaxAttempts, Name, PathPrefix, Priority, Service, Stretch, Timeout string

	MaxBodySize, Routes, ServiceName, Services, Version string
}

// A Document is a configuration with the positions of its fields.
type Document struct {
	// Config is the configuration. Fields that Lines does not list are zero, or have
	// their default.
	Config pollenfront.Config
	// Findings are the errors that were found while the text was read.
	Findings []Finding
	// Lines maps the path of each valid field and of each list element to its line. The
	// whole configuration has the empty path, which is missing if nothing could be read.
	Lines map[string]int
	// MinBodyLimit is the size in bytes of the body of a job with the longest payload
	// that is accepted.
	MinBodyLimit int
	// Names are the names of the fields.
	Names Names
	// Services lists the names of the services in the order of the text.
	Services []string
}

// Check returns the findings of a configuration by line, first those that are not
// notes. inForce is the state with which the configuration is compared; without a
// configuration in it there are no findings about the version and no differences.
func Check(document *Document, inForce pollenfront.OperatorState) []Finding {
	c := checker{document: document, findings: slices.Clone(document.Findings), invalid: make(map[string]bool)}
	for _, f := range document.Findings {
		c.invalid[f.Path] = c.invalid[f.Path] || f.Kind == KindType || f.Kind == KindRange
	}
	c.checkGlobals()
	c.checkServices()
	names, matches := make(map[string]int), make(map[routeMatch]int)
	for i := range document.Config.Routes {
		c.checkRouteName(i, names)
		c.checkRouteService(i)
		c.checkRouteMatch(i, matches)
		c.checkRouteNumbers(i)
		c.checkRouteLimits(i)
	}
	c.checkInForce(inForce)
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		if a.Kind.IsNote() != b.Kind.IsNote() {
			if b.Kind.IsNote() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Line, b.Line)
	})
	return c.findings
}

// A checker collects the findings of a document.
type checker struct {
	document *Document
	findings []Finding
	// invalid has the paths of the values that could not be read or are out of range.
	invalid map[string]bool
}

// add adds a finding about the field with the given path.
func (c *checker) add(kind Kind, path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Kind: kind, Line: c.line(path), Message: fmt.Sprintf(format, args...), Path: path})
}

// line returns the line of the field with the given path, or that of the closest
// object or list around it.
func (c *checker) line(path string) int {
	for path != "" {
		if line, ok := c.document.Lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return c.document.Lines[""]
}

// has reports whether the text has a valid value at the path.
func (c *checker) has(path string) bool {
	_, ok := c.document.Lines[path]
	return ok
}

// routePath returns the path of a field of a route.
func (c *checker) routePath(index int, field string) string {
	return fmt.Sprintf("%s[%d].%s", c.document.Names.Routes, index, field)
}

// checkInForce checks the version, and adds notes of what differs from the version in
// force and of the zones that are out of service.
func (c *checker) checkInForce(inForce pollenfront.OperatorState) {
	version := c.document.Names.Version
	for _, text := range inForce.DecodeErrors {
		c.findings = append(c.findings, Finding{
			Kind: KindInForce, Message: fmt.Sprintf("entries can't decode the configuration in the store (%s), so the version can't be compared; "+
				"use a version that is higher than all earlier ones", text),
		})
	}
	for _, zone := range inForce.DisabledZones {
		c.findings = append(c.findings, Finding{
			Kind: KindZone, Message: fmt.Sprintf("zone %q is out of service: services with servers only there serve nothing until it returns", zone),
		})
	}
	if inForce.Config == nil || !c.has("") {
		return
	}
	if known := inForce.Config.Version; c.has(version) && c.document.Config.Version <= known {
		c.add(KindVersion, version, "version %d is not higher than version %d in force; set it to at least %d", c.document.Config.Version, known, known+1)
	}
	c.addDifferences(inForce.Config)
}
