package configcheck_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/configcheck"
)

// names are the names of the fields of the test documents.
var names = configcheck.Names{
	Host: "host", LatencyTarget: "target", MaxAttempts: "attempts", Name: "name", PathPrefix: "prefix", Priority: "priority",
	Service: "service", Stretch: "stretch", Timeout: "timeout",
	MaxBodySize: "body", Routes: "routes", ServiceName: "name", Services: "services", Version: "version",
}

// newDocument returns a document without faults: two routes to one service.
func newDocument() *configcheck.Document {
	route := pollenfront.Route{
		Host: "h", LatencyTarget: 60 * time.Millisecond, MaxAttempts: 3, Name: "a", PathPrefix: "/a/", Service: "s", Stretch: 1.6, Timeout: 1500 * time.Millisecond,
	}
	other := route
	other.Name, other.PathPrefix, other.Priority = "b", "/b/", 1
	return &configcheck.Document{
		Config: pollenfront.Config{
			MaxBodySize: 10_000, Routes: []pollenfront.Route{route, other}, Services: map[string]pollenfront.Service{"s": {Name: "s"}}, Version: 5,
		},
		MinBodyLimit: 5000,
		Services:     []string{"s"},
	}
}

// addLines gives every field of the document a line: 1 for the globals, 10 for the
// first route, 20 for the second and 100 for services.
func addLines(d *configcheck.Document) {
	d.Names = names
	d.Lines = map[string]int{"": 1, "body": 1, "version": 1, "routes": 9, "services": 99}
	for i := range 2 {
		for _, field := range []string{"host", "target", "attempts", "name", "prefix", "priority", "service", "stretch", "timeout"} {
			d.Lines[fmt.Sprintf("routes[%d].%s", i, field)] = 10 * (i + 1)
		}
	}
	for i := range d.Services {
		d.Lines[fmt.Sprintf("services[%d].name", i)] = 100
	}
}

// TestChecks guards against checks that miss a fault, report it at another field, or
// report more than the fault.
func TestChecks(t *testing.T) {
	const (
		contradiction = configcheck.KindContradiction
		missing       = configcheck.KindMissing
		outOfRange    = configcheck.KindRange
		unreachable   = configcheck.KindUnreachable
	)
	type document = configcheck.Document
	tests := []struct {
		name    string
		change  func(d *document)
		kind    configcheck.Kind
		path    string
		line    int
		message string
	}{
		{"body limit negative", func(d *document) { d.Config.MaxBodySize = -1 }, outOfRange, "body", 1, ".*negative.*set the limit.*"},
		{"body limit zero", func(d *document) { d.Config.MaxBodySize = 0 }, contradiction, "body", 1, ".*zero.*set the limit.*"},
		{"body limit too small", func(d *document) { d.Config.MaxBodySize = 4999 }, contradiction, "body", 1, ".*set at least 5000"},
		{"body limit absurd", func(d *document) { d.Config.MaxBodySize = 1 << 40 }, outOfRange, "body", 1, ".*set at most 67108864"},
		{"version zero", func(d *document) { d.Config.Version = 0 }, outOfRange, "version", 1, ".*start at 1.*"},
		{"version absurd", func(d *document) { d.Config.Version = 1<<53 + 1 }, outOfRange, "version", 1, ".*set at most 9007199254740992"},
		{"too many routes", func(d *document) {
			for i := range 65535 {
				r := d.Config.Routes[0]
				r.Name, r.PathPrefix = fmt.Sprint(i), fmt.Sprintf("/%d/", i)
				d.Config.Routes = append(d.Config.Routes, r)
			}
		}, outOfRange, "routes", 9, "65537 elements.*at most 65536"},
		{"service unnamed", func(d *document) { d.Services = []string{"s", ""} }, missing, "services[1].name", 100, ".*name the service"},
		{"service twice", func(d *document) { d.Services = []string{"s", "s"} }, configcheck.KindDuplicateName, "services[1].name", 100, `.*already services\[0\]; remove.*`},
		{"service unused", func(d *document) { d.Services = []string{"s", "u"} }, configcheck.KindUnusedService, "services[1].name", 100, `no route uses service "u"; add.*`},
		{"service unknown", func(d *document) { d.Config.Routes[1].Service = "t" }, configcheck.KindUnknownService, "routes[1].service", 20, ".*; add it to services.*"},
		{"service empty", func(d *document) { d.Config.Routes[1].Service = "" }, missing, "routes[1].service", 20, ".*name the service.*"},
		{"route unnamed", func(d *document) { d.Config.Routes[1].Name = "" }, missing, "routes[1].name", 20, ".*name the route"},
		{"route name twice", func(d *document) { d.Config.Routes[1].Name = "a" }, configcheck.KindDuplicateName, "routes[1].name", 20, `.*already routes\[0\].*rename.*`},
		{"host empty", func(d *document) { d.Config.Routes[0].Host = "" }, missing, "routes[0].host", 10, ".*name the host.*"},
		{"host with port", func(d *document) { d.Config.Routes[0].Host = "h:80" }, unreachable, "routes[0].host", 10, ".*without a port.*"},
		{"prefix empty", func(d *document) { d.Config.Routes[0].PathPrefix = "" }, missing, "routes[0].prefix", 10, ".*write the path.*"},
		{"prefix without slash", func(d *document) { d.Config.Routes[0].PathPrefix = "a/" }, unreachable, "routes[0].prefix", 10, ".*begin the prefix with a slash"},
		{"shadowed", func(d *document) { d.Config.Routes[1].PathPrefix = "/a/" }, unreachable, "routes[1].prefix", 20, `routes\[0\] has the same host and prefix.*change.*`},
		{"target negative", func(d *document) { d.Config.Routes[0].LatencyTarget = -time.Second }, outOfRange, "routes[0].target", 10, "-1s is negative; set.*"},
		{"target absurd", func(d *document) { d.Config.Routes[0].LatencyTarget = time.Hour }, outOfRange, "routes[0].target", 10, ".*set at most 1m0s"},
		{"attempts negative", func(d *document) { d.Config.Routes[0].MaxAttempts = -1 }, outOfRange, "routes[0].attempts", 10, "-1 is negative.*"},
		{"attempts zero", func(d *document) { d.Config.Routes[0].MaxAttempts = 0 }, contradiction, "routes[0].attempts", 10, "0 is below 1.*set at least 1"},
		{"attempts absurd", func(d *document) { d.Config.Routes[0].MaxAttempts = 21 }, outOfRange, "routes[0].attempts", 10, ".*set at most 20"},
		{"priority negative", func(d *document) { d.Config.Routes[0].Priority = -1 }, outOfRange, "routes[0].priority", 10, "-1 is negative.*"},
		{"priority absurd", func(d *document) { d.Config.Routes[0].Priority = 1001 }, outOfRange, "routes[0].priority", 10, ".*set at most 1000"},
		{"stretch negative", func(d *document) { d.Config.Routes[0].Stretch = -1.6 }, outOfRange, "routes[0].stretch", 10, "-1.6 is negative.*"},
		{"stretch below 1", func(d *document) { d.Config.Routes[0].Stretch = 0.9 }, contradiction, "routes[0].stretch", 10, "0.9 is below 1.*set at least 1"},
		{"stretch absurd", func(d *document) { d.Config.Routes[0].Stretch = 160 }, outOfRange, "routes[0].stretch", 10, ".*set at most 100"},
		{"no time beyond the work", func(d *document) { d.Config.Routes[0].Stretch, d.Config.Routes[0].LatencyTarget = 1, 0 }, contradiction, "routes[0].target", 10, ".*raise stretch"},
		{"timeout negative", func(d *document) { d.Config.Routes[0].Timeout = -1 }, outOfRange, "routes[0].timeout", 10, "-1ns is negative.*"},
		{"timeout absurd", func(d *document) { d.Config.Routes[0].Timeout = 1500 * time.Hour }, outOfRange, "routes[0].timeout", 10, ".*set at most 1h0m0s"},
		{"timeout at the target", func(d *document) { d.Config.Routes[0].Timeout = 60 * time.Millisecond }, contradiction, "routes[0].timeout", 10, ".*61.6ms; set.*or lower target"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newDocument()
			test.change(d)
			addLines(d)
			findings := configcheck.Check(d, pollenfront.OperatorState{})
			c.Assert(findings, qt.HasLen, 1)
			c.Assert(findings[0].Message, qt.Matches, test.message)
			findings[0].Message = ""
			c.Assert(findings[0], qt.Equals, configcheck.Finding{Kind: test.kind, Line: test.line, Path: test.path})
		})
	}
}

// TestClean guards against findings in a correct configuration, also at the bounds.
func TestClean(t *testing.T) {
	c := qt.New(t)
	d := newDocument()
	r := &d.Config.Routes[1]
	r.Host, r.PathPrefix = "other", "/a/" // The same prefix for another host.
	r.LatencyTarget, r.Stretch, r.Timeout = 59*time.Millisecond, 1, 60*time.Millisecond
	r.MaxAttempts, r.Priority = 20, 1000
	d.Config.MaxBodySize = 5000
	addLines(d)
	c.Assert(configcheck.Check(d, pollenfront.OperatorState{Config: &pollenfront.Config{
		MaxBodySize: 5000, Routes: d.Config.Routes, Services: d.Config.Services, Version: 4,
	}}), qt.DeepEquals, []configcheck.Finding{{
		Kind: configcheck.KindDifference, Line: 1, Message: "4 in force, 5 here", Path: "version",
	}})
}

// TestFieldsWithoutValue guards against findings that only follow from a field that
// could not be read.
func TestFieldsWithoutValue(t *testing.T) {
	c := qt.New(t)
	d := newDocument()
	addLines(d)
	d.Config.Routes[0] = pollenfront.Route{}
	for path := range d.Lines {
		if len(path) > 9 && path[:9] == "routes[0]" {
			delete(d.Lines, path)
		}
	}
	d.Findings = []configcheck.Finding{{Kind: configcheck.KindType, Line: 10, Message: "not an object", Path: "routes[0]"}}
	c.Assert(configcheck.Check(d, pollenfront.OperatorState{}), qt.DeepEquals, d.Findings)
}

// TestInForce checks the findings about the state in force: versions, differences by
// route and field, zones, and an undecodable configuration.
func TestInForce(t *testing.T) {
	c := qt.New(t)
	d := newDocument()
	addLines(d)
	old := newDocument().Config
	old.Version = 5
	old.MaxBodySize = 9000
	old.Routes[0].Stretch, old.Routes[0].Host = 2, "g"
	old.Routes[1].Name = "c"
	old.Services = map[string]pollenfront.Service{"t": {Name: "t"}}
	findings := configcheck.Check(d, pollenfront.OperatorState{Config: &old, DecodeErrors: []string{"bad"}, DisabledZones: []string{"west"}})
	for i := range findings {
		if findings[i].Kind == configcheck.KindInForce || findings[i].Kind == configcheck.KindZone {
			c.Assert(findings[i].Message, qt.Matches, `.*bad.*use a version.*|zone "west" is out of service: .*`)
			findings[i].Message = ""
		}
	}
	difference := configcheck.KindDifference
	c.Assert(findings, qt.DeepEquals, []configcheck.Finding{
		{Kind: configcheck.KindInForce},
		{Kind: configcheck.KindVersion, Line: 1, Message: "version 5 is not higher than version 5 in force; set it to at least 6", Path: "version"},
		{Kind: configcheck.KindZone},
		{Kind: difference, Line: 1, Message: "9000 in force, 10000 here", Path: "body"},
		{Kind: difference, Line: 9, Message: `route "b" is new`, Path: "routes[1]"},
		{Kind: difference, Line: 9, Message: `route "c" of the version in force is removed: its requests will match another route or none`, Path: "routes"},
		{Kind: difference, Line: 10, Message: `"g" in force, "h" here`, Path: "routes[0].host"},
		{Kind: difference, Line: 10, Message: "2 in force, 1.6 here", Path: "routes[0].stretch"},
		{Kind: difference, Line: 99, Message: `service "s" is new`, Path: "services[0]"},
		{Kind: difference, Line: 99, Message: `service "t" of the version in force is removed`, Path: "services"},
	})
}

// TestSwappedRoutes guards against differences between routes that only change places,
// and against routes of the same name that are compared crosswise.
func TestSwappedRoutes(t *testing.T) {
	c := qt.New(t)
	d := newDocument()
	addLines(d)
	old := newDocument().Config
	old.Version = 4
	old.Routes[0], old.Routes[1] = old.Routes[1], old.Routes[0]
	c.Assert(configcheck.Check(d, pollenfront.OperatorState{Config: &old}), qt.HasLen, 1)

	d.Config.Routes[1].Name, old.Routes[0].Name = "a", "a"
	old.Routes[0], old.Routes[1] = old.Routes[1], old.Routes[0]
	findings := configcheck.Check(d, pollenfront.OperatorState{Config: &old})
	c.Assert(findings, qt.HasLen, 2)
	c.Assert(findings[0].Kind, qt.Equals, configcheck.KindDuplicateName)
	c.Assert(findings[1].Path, qt.Equals, "version")
}

// TestUnreadableLists guards against reporting everything as removed where the text could
// not be read.
func TestUnreadableLists(t *testing.T) {
	c := qt.New(t)
	old := newDocument().Config
	old.Version = 4
	d := newDocument()
	d.Config.Routes, d.Config.Services, d.Services = nil, nil, nil
	addLines(d)
	d.Findings = []configcheck.Finding{{Kind: configcheck.KindType, Line: 9, Path: "routes"}, {Kind: configcheck.KindType, Line: 99, Path: "services"}}
	findings := configcheck.Check(d, pollenfront.OperatorState{Config: &old})
	c.Assert(findings, qt.HasLen, 3)
	c.Assert(findings[2].Path, qt.Equals, "version")

	d = &configcheck.Document{Findings: []configcheck.Finding{{Kind: configcheck.KindSyntax, Line: 1}}}
	c.Assert(configcheck.Check(d, pollenfront.OperatorState{Config: &old}), qt.DeepEquals, d.Findings)
}
