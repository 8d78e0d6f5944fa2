package store

import (
	"encoding/base64"
	"encoding/json"
)

// A Route is a queue of the operators' configuration.
type Route struct {
	Host string
	Name string

	// Prefix is the prefix of the paths of its jobs.
	Prefix   string
	Priority int
	Service  string
}

// maxJobBodyBytes is the limit of the size of a job's body that Configure writes
// to the configuration.
const maxJobBodyBytes = 262144

// Configure writes a version of the operators' configuration, with the given
// queues and their services.
func (s *Store) Configure(version int, routes []Route) {
	queues := make([]map[string]any, 0, len(routes))
	services := make(map[string]bool)
	for _, r := range routes {
		services[r.Service] = true
		queues = append(queues, map[string]any{
			"name": r.Name, "host": r.Host, "path-prefix": r.Prefix, "priority": r.Priority, "service": r.Service,
			"max-attempts": 3, "stretch": 1.6, "target-latency-ms": 60, "timeout-ms": 1500,
		})
	}
	serviceObjects := make([]map[string]any, 0, len(services))
	for name := range services {
		serviceObjects = append(serviceObjects, map[string]any{"name": name})
	}
	config, err := json.Marshal(map[string]any{
		"version": version, "services": serviceObjects, "routes": queues, "limits": map[string]any{"max-body-bytes": maxJobBodyBytes},
	})
	if err != nil {
		panic(err) // Maps of strings and numbers can always be encoded.
	}
	s.Put("op", "config", base64.StdEncoding.EncodeToString(config))
}

// SetZoneDisabled takes a zone out of service or returns it to service.
func (s *Store) SetZoneDisabled(zone string, disabled bool) {
	if disabled {
		s.Put("op", "evacuate/"+zone, base64.StdEncoding.EncodeToString([]byte("{}")))
		return
	}
	s.Remove("op", "evacuate/"+zone)
}
