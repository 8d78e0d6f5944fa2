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
	maxBodySize = 64 << 20 // bytes
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

// leastWork is the shortest run time that the scheduler expects of a task.
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

// checkRouteNames checks the name of a route and its service. first maps the names of
// the routes before it to their indexes.
func (c *checker) checkRouteNames(index int, first map[string]int) {
	r, names := &c.document.Config.Routes[index], &c.document.Names
	if path := c.routePath(index, names.Name); c.has(path) {
		earlier, duplicate := first[r.Name]
		switch {
		case r.Name == "":
			c.add(KindMissing, path, "the name is empty; name the route")
		case duplicate:
			c.add(KindDuplicateName, path, "route %q is already %s[%d], which is used for submissions by name; rename one of them", r.Name, names.Routes, earlier)
		default:
			first[r.Name] = index
		}
	}
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

// checkMatching checks that requests can match a route. first maps the host and the
// path prefix of the routes before it to their indexes.
func (c *checker) checkMatching(index int, first map[[2]string]int) {
	r, names := &c.document.Config.Routes[index], &c.document.Names
	host, prefix := c.routePath(index, names.Host), c.routePath(index, names.PathPrefix)
	hasHost, hasPrefix := c.has(host), c.has(prefix)
	switch {
	case !hasHost:
	case r.Host == "":
		c.add(KindMissing, host, "the host is empty; name the host of the route's requests")
		hasHost = false
	case strings.ContainsAny(r.Host, ":/ \t\r\n"):
		c.add(KindUnreachable, host, "no request has host %q: hosts are compared without a port; write only the name of the host", r.Host)
		hasHost = false
	}
	switch {
	case !hasPrefix:
	case r.PathPrefix == "":
		c.add(KindMissing, prefix, "the prefix is empty; write the path up to the ID of the job, such as \"/jobs/\"")
		hasPrefix = false
	case !strings.HasPrefix(r.PathPrefix, "/"):
		c.add(KindUnreachable, prefix, "no path begins with %q; begin the prefix with a slash", r.PathPrefix)
		hasPrefix = false
	}
	if !hasHost || !hasPrefix {
		return
	}
	key := [2]string{r.Host, r.PathPrefix}
	if earlier, ok := first[key]; ok {
		c.add(KindUnreachable, prefix, "%s[%d] has the same host and prefix and takes all requests; change the host or the prefix, or remove one of the routes",
			names.Routes, earlier)
		return
	}
	first[key] = index
}

// checkRouteNumbers checks that each number of a route is neither negative nor absurd.
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
