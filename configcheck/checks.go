package configcheck

import (
	"fmt"
	"strings"
	"time"
)

// Bounds of useful values. A value beyond them is most likely a mistake in the unit or
// an extra digit.
const (
	// maxAttempts is far above the 2 to 4 attempts of the routes in use.
	maxAttempts = 20
	// maxBodySize is the largest size in bytes that an entry can hold for many requests
	// at the same time.
	maxBodySize = 64 << 20
	// maxElements is the number of routes or services that entries and agents accept in
	// the messages in which they pass on the configuration.
	maxElements = 65536
	// maxLatencyTarget is for tasks that take less than a second.
	maxLatencyTarget = time.Minute
	maxPriority      = 1000
	maxStretch       = 100
	maxTimeout       = time.Hour
	// maxVersion is the largest number that JSON tools with floating-point numbers keep
	// exactly.
	maxVersion = 1 << 53
)

// leastWork is the shortest run time that the scheduler expects of a task: its constant
// minEstimate.
const leastWork = time.Millisecond

// checkGlobals checks the fields that belong to no route and no service.
func (c *checker) checkGlobals() {
	config, names := &c.document.Config, &c.document.Names
	switch size := config.MaxBodySize; {
	case !c.has(names.MaxBodySize):
	case size < 0:
		c.add(KindRange, names.MaxBodySize, "%d bytes is negative; entries use the default instead; set the limit or remove the field", size)
	case size == 0:
		c.add(KindContradiction, names.MaxBodySize, "a limit of zero does not apply: entries use the default instead; set the limit or remove the field")
	case size < c.document.MinBodyLimit:
		c.add(KindContradiction, names.MaxBodySize, "%d bytes rejects jobs with long payloads; set at least %d", size, c.document.MinBodyLimit)
	case size > maxBodySize:
		c.add(KindRange, names.MaxBodySize, "%d bytes for each request can exhaust the memory of an entry; set at most %d", size, maxBodySize)
	}
	switch version := config.Version; {
	case !c.has(names.Version):
	case version == 0:
		c.add(KindRange, names.Version, "versions start at 1; set a version that is higher than the one in force")
	case version > maxVersion:
		c.add(KindRange, names.Version, "tools that read numbers as floating point round version %d; set at most %d", version, uint64(maxVersion))
	}
	c.checkCount(names.Routes, len(config.Routes))
	c.checkCount(names.Services, len(c.document.Services))
}

// checkCount checks the number of elements of a list.
func (c *checker) checkCount(path string, count int) {
	if count > maxElements {
		c.add(KindRange, path, "%d elements are more than agents can pass on; use at most %d", count, maxElements)
	}
}

// checkServices checks the names of services and whether a route uses each.
func (c *checker) checkServices() {
	used := make(map[string]bool)
	for _, r := range c.document.Config.Routes {
		used[r.Service] = true
	}
	first := make(map[string]int)
	for i, name := range c.document.Services {
		path := fmt.Sprintf("%s[%d].%s", c.document.Names.Services, i, c.document.Names.ServiceName)
		earlier, duplicate := first[name]
		switch {
		case !c.has(path):
			continue
		case name == "":
			c.add(KindMissing, path, "the name is empty; name the service")
		case duplicate:
			c.add(KindDuplicateName, path, "service %q is already %s[%d]; remove one of them", name, c.document.Names.Services, earlier)
		case !used[name]:
			c.add(KindUnusedService, path, "no route uses service %q; add a route to it or remove it", name)
		}
		if !duplicate {
			first[name] = i
		}
	}
}

// checkRouteName checks the name of a route. first maps the names of the routes before
// it to their indexes, and the name is added to it.
func (c *checker) checkRouteName(index int, first map[string]int) {
	r, names := &c.document.Config.Routes[index], &c.document.Names
	path := c.routePath(index, names.Name)
	earlier, duplicate := first[r.Name]
	switch {
	case !c.has(path):
	case r.Name == "":
		c.add(KindMissing, path, "the name is empty; name the route")
	case duplicate:
		c.add(KindDuplicateName, path, "route %q is already %s[%d], which is used for submissions by name; rename one of them", r.Name, names.Routes, earlier)
	default:
		first[r.Name] = index
	}
}

// checkRouteService checks that the service of a route exists.
func (c *checker) checkRouteService(index int) {
	r, names := &c.document.Config.Routes[index], &c.document.Names
	path := c.routePath(index, names.Service)
	if _, exists := c.document.Config.Services[r.Service]; !c.has(path) || exists {
		return
	}
	if r.Service == "" {
		c.add(KindMissing, path, "the service is empty; name the service that runs the route's tasks")
		return
	}
	c.add(KindUnknownService, path, "service %q does not exist, so that no server runs the route's tasks; add it to %s or correct the name", r.Service, names.Services)
}

// A routeMatch is what a request must have to match a route.
type routeMatch struct {
	host, pathPrefix string
}

// checkRouteMatch checks that requests can match a route. first maps the matches of the
// routes before it to their indexes, and the match is added to it.
func (c *checker) checkRouteMatch(index int, first map[routeMatch]int) {
	hasHost, hasPrefix := c.checkHost(index), c.checkPathPrefix(index)
	if !hasHost || !hasPrefix {
		return
	}
	r, names := &c.document.Config.Routes[index], &c.document.Names
	match := routeMatch{host: r.Host, pathPrefix: r.PathPrefix}
	if earlier, ok := first[match]; ok {
		c.add(KindUnreachable, c.routePath(index, names.PathPrefix),
			"%s[%d] has the same host and prefix and takes all requests; change the host or the prefix, or remove one of the routes", names.Routes, earlier)
		return
	}
	first[match] = index
}

// checkHost checks the host of a route, and reports whether requests can have it.
func (c *checker) checkHost(index int) bool {
	host, path := c.document.Config.Routes[index].Host, c.routePath(index, c.document.Names.Host)
	switch {
	case !c.has(path):
		return false
	case host == "":
		c.add(KindMissing, path, "the host is empty; name the host of the route's requests")
		return false
	case strings.ContainsAny(host, ":/ \t\r\n"):
		c.add(KindUnreachable, path, "no request has host %q: hosts are compared without a port; write only the name of the host", host)
		return false
	}
	return true
}

// checkPathPrefix checks the path prefix of a route, and reports whether paths can have it.
func (c *checker) checkPathPrefix(index int) bool {
	prefix, path := c.document.Config.Routes[index].PathPrefix, c.routePath(index, c.document.Names.PathPrefix)
	switch {
	case !c.has(path):
		return false
	case prefix == "":
		c.add(KindMissing, path, "the prefix is empty; write the path up to the ID of the job, such as \"/jobs/\"")
		return false
	case !strings.HasPrefix(prefix, "/"):
		c.add(KindUnreachable, path, "no path begins with %q; begin the prefix with a slash", prefix)
		return false
	}
	return true
}

// checkRouteNumbers checks that each number of a route is neither negative nor beyond the
// bound of useful values.
func (c *checker) checkRouteNumbers(index int) {
	r, names := &c.document.Config.Routes[index], &c.document.Names
	for _, n := range []struct {
		bound, value any
		field        string
		isNegative   bool
		isTooLarge   bool
	}{
		{maxLatencyTarget, r.LatencyTarget, names.LatencyTarget, r.LatencyTarget < 0, r.LatencyTarget > maxLatencyTarget},
		{maxAttempts, r.MaxAttempts, names.MaxAttempts, r.MaxAttempts < 0, r.MaxAttempts > maxAttempts},
		{maxPriority, r.Priority, names.Priority, r.Priority < 0, r.Priority > maxPriority},
		{maxStretch, r.Stretch, names.Stretch, r.Stretch < 0, r.Stretch > maxStretch},
		{maxTimeout, r.Timeout, names.Timeout, r.Timeout < 0, r.Timeout > maxTimeout},
	} {
		path := c.routePath(index, n.field)
		switch {
		case !c.has(path):
		case n.isNegative:
			c.add(KindRange, path, "%v is negative; set a value from 0 to %v", n.value, n.bound)
		case n.isTooLarge:
			c.add(KindRange, path, "%v is far beyond any useful value; check the unit and set at most %v", n.value, n.bound)
		}
	}
}

// checkRouteLimits checks that the limits of a route don't contradict each other.
// Values that are out of range are left out.
func (c *checker) checkRouteLimits(index int) {
	r, names := &c.document.Config.Routes[index], &c.document.Names
	attempts, stretch := c.routePath(index, names.MaxAttempts), c.routePath(index, names.Stretch)
	target, timeout := c.routePath(index, names.LatencyTarget), c.routePath(index, names.Timeout)
	hasStretch := c.has(stretch) && r.Stretch >= 0 && r.Stretch <= maxStretch
	hasTarget := c.has(target) && r.LatencyTarget >= 0 && r.LatencyTarget <= maxLatencyTarget
	if c.has(attempts) && r.MaxAttempts == 0 {
		c.add(KindContradiction, attempts, "0 is below 1: each task is started at least once; set at least 1")
	}
	if hasStretch && r.Stretch < 1 {
		c.add(KindContradiction, stretch, "%v is below 1: long tasks are due before their expected run time has passed; set at least 1", r.Stretch)
	}
	if hasStretch && hasTarget && r.Stretch == 1 && r.LatencyTarget < leastWork {
		c.add(KindContradiction, target, "%v with a %s of 1 makes every job late that takes longer than expected; set at least %v or raise %s",
			r.LatencyTarget, names.Stretch, leastWork, names.Stretch)
	}
	if !hasStretch || !hasTarget || !c.has(timeout) || r.Timeout < 0 {
		return
	}
	if least := r.LatencyTarget + time.Duration(max(r.Stretch, 1)*float64(leastWork)); r.Timeout < least {
		c.add(KindContradiction, timeout, "%v is shorter than any job may take and be on time: %s plus the least possible work is %v; set at least that or lower %s",
			r.Timeout, names.LatencyTarget, least, names.LatencyTarget)
	}
}
