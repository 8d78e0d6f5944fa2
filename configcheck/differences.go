package configcheck

import (
	"fmt"
	"maps"
	"slices"

	"github.com/pollenfront/pollenfront"
)

// A routeKey identifies a route in two configurations. occurrence counts the routes of
// the same name.
type routeKey struct {
	name       string
	occurrence int
}

// addDifferences adds a note for each field that differs from the configuration in
// force, and for each route and service that is new or no longer there.
func (c *checker) addDifferences(inForce *pollenfront.Config) {
	config, names := &c.document.Config, &c.document.Names
	c.addDifference(names.MaxBodySize, inForce.MaxBodySize, config.MaxBodySize)
	c.addDifference(names.Version, inForce.Version, config.Version)
	if !c.invalid[names.Services] {
		c.addServiceDifferences(inForce)
	}
	if c.invalid[names.Routes] {
		return
	}
	oldKeys, keys := routeKeys(inForce.Routes), routeKeys(config.Routes)
	oldIndex, index := indexKeys(oldKeys), indexKeys(keys)
	for i, key := range keys {
		if old, ok := oldIndex[key]; ok {
			c.addRouteDifferences(i, &inForce.Routes[old], &config.Routes[i])
		} else {
			c.add(KindDifference, fmt.Sprintf("%s[%d]", names.Routes, i), "route %q is new", key.name)
		}
	}
	for _, key := range oldKeys {
		if _, ok := index[key]; !ok {
			c.add(KindDifference, names.Routes, "route %q of the version in force is removed: its requests will match another route or none", key.name)
		}
	}
}

// addRouteDifferences adds a note for each field in which a route differs.
func (c *checker) addRouteDifferences(index int, old, current *pollenfront.Route) {
	names := &c.document.Names
	c.addDifference(c.routePath(index, names.Host), old.Host, current.Host)
	c.addDifference(c.routePath(index, names.LatencyTarget), old.LatencyTarget, current.LatencyTarget)
	c.addDifference(c.routePath(index, names.MaxAttempts), old.MaxAttempts, current.MaxAttempts)
	c.addDifference(c.routePath(index, names.PathPrefix), old.PathPrefix, current.PathPrefix)
	c.addDifference(c.routePath(index, names.Priority), old.Priority, current.Priority)
	c.addDifference(c.routePath(index, names.Service), old.Service, current.Service)
	c.addDifference(c.routePath(index, names.Stretch), old.Stretch, current.Stretch)
	c.addDifference(c.routePath(index, names.Timeout), old.Timeout, current.Timeout)
}

// addServiceDifferences adds a note for each service that is new or removed.
func (c *checker) addServiceDifferences(inForce *pollenfront.Config) {
	names := &c.document.Names
	for i, name := range c.document.Services {
		path := fmt.Sprintf("%s[%d]", names.Services, i)
		if _, ok := inForce.Services[name]; !ok && c.has(path+"."+names.ServiceName) {
			c.add(KindDifference, path, "service %q is new", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(inForce.Services)) {
		if _, ok := c.document.Config.Services[name]; !ok {
			c.add(KindDifference, names.Services, "service %q of the version in force is removed", name)
		}
	}
}

// addDifference adds a note if the value of a field differs. A value of the wrong type
// has a finding already.
func (c *checker) addDifference(path string, old, current any) {
	if old == current || c.invalid[path] {
		return
	}
	if _, isText := old.(string); isText {
		c.add(KindDifference, path, "%q in force, %q here", old, current)
		return
	}
	c.add(KindDifference, path, "%v in force, %v here", old, current)
}

// routeKeys returns the key of each route.
func routeKeys(routes []pollenfront.Route) []routeKey {
	keys := make([]routeKey, 0, len(routes))
	counts := make(map[string]int)
	for _, r := range routes {
		keys = append(keys, routeKey{name: r.Name, occurrence: counts[r.Name]})
		counts[r.Name]++
	}
	return keys
}

// indexKeys returns the index of each key.
func indexKeys(keys []routeKey) map[routeKey]int {
	index := make(map[routeKey]int, len(keys))
	for i, key := range keys {
		index[key] = i
	}
	return index
}
