package store

import (
	"encoding/base64"
	"encoding/json"
)

// A Route is a queue of the operators' configuration.
type Route struct {
	Host     string
	Name     string
	Prefix   string // Of the paths of its jobs.
	Priority int
	Service  string
}

// maxBody bounds the bodies of callers in the configurations written here.
const maxBody = 262144 // bytes

// Configure writes a version of the operators' configuration.
func (s *Store) Configure(version int, routes []Route) {
	rows := make([]map[string]any, 0, len(routes))
	services := make(map[string]bool)
	for _, r := range routes {
		services[r.Service] = true
		rows = append(rows, map[string]any{
			"name": r.Name, "host": r.Host, "path-prefix": r.Prefix, "priority": r.Priority, "service": r.Service,
			"max-attempts": 3, "stretch": 1.6, "target-latency-ms": 60, "timeout-ms": 1500,
		})
	}
	names := make([]map[string]any, 0, len(services))
	for name := range services {
		names = append(names, map[string]any{"name": name})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "services": names, "routes": rows, "limits": map[string]any{"max-body-bytes": maxBody},
	})
	if err != nil {
		panic(err) // The value above can be encoded.
	}
	s.Put("op", "config", base64.StdEncoding.EncodeToString(text))
}

// SetZoneDisabled takes a zone out of service or returns it.
func (s *Store) SetZoneDisabled(zone string, out bool) {
	if out {
		s.Put("op", "evacuate/"+zone, base64.StdEncoding.EncodeToString([]byte("{}")))
		return
	}
	s.Remove("op", "evacuate/"+zone)
}
