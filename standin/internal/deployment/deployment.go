// Package deployment describes the users' deployments: their zones, backend
// servers and kinds of jobs, and the mixes of their day.
//
// # Usage
//
//	d, err := deployment.ByName("tainan")
//	job := d.Mixes["morning"].Draw(random)
package deployment

import (
	"fmt"
	"time"
)

// A Deployment is one user's installation.
type Deployment struct {
	Callers time.Duration // One-way latency to callers.
	Kinds   []Kind
	Mixes   map[string]Mix
	Name    string
	Servers []Server
	Teams   []string
	Zones   []string
	Link    time.Duration // One-way latency between zones.
}

// A Server is a backend server.
type Server struct {
	Name  string
	Slots int
	Speed float64
	Zone  int // Index into Zones.
}

// A Kind is a kind of job.
type Kind struct {
	Idempotent bool
	MaxTasks   int
	MinTasks   int
	Name       string
	Spread     float64 // Standard deviation of the logarithm of the work.
	Timeout    time.Duration
	Work       time.Duration // Median work of a task.
}

// A Mix is the share of each kind among the jobs, in the order of Kinds.
type Mix []float64

const (
	slots     = 8
	slowTasks = 2 * time.Second
)

// speeds are those of the eleven servers, from several generations.
var speeds = []float64{2.0, 1.6, 1.4, 1.2, 1.0, 1.0, 0.8, 0.7, 0.6, 0.5, 0.4}

// tainan is the Tainan Municipal Vinyl Exchange Utility.
var tainan = Deployment{
	Callers: time.Millisecond,
	Kinds: []Kind{
		{Idempotent: true, MaxTasks: 4, MinTasks: 1, Name: "stock-lookup", Spread: 0.4, Timeout: 5 * time.Second, Work: 80 * time.Millisecond},
		{MaxTasks: 2, MinTasks: 1, Name: "trade-confirmation", Spread: 0.4, Timeout: 8 * time.Second, Work: 200 * time.Millisecond},
		{Idempotent: true, MaxTasks: 40, MinTasks: 8, Name: "sleeve-check", Spread: 0.5, Timeout: 20 * time.Second, Work: 400 * time.Millisecond},
	},
	Link: 1500 * time.Microsecond,
	Mixes: map[string]Mix{
		"evening": {0.30, 0.25, 0.45},
		"morning": {0.75, 0.20, 0.05},
	},
	Name:    "tainan",
	Servers: servers("swap"),
	Teams:   []string{"bars", "night-markets", "temples"},
	Zones:   []string{"west", "east", "anping"},
}

// andino is Tablero Andino Emparejamientos.
var andino = Deployment{
	Callers: time.Millisecond,
	Kinds: []Kind{
		{MaxTasks: 6, MinTasks: 2, Name: "quick-pairing", Spread: 0.4, Timeout: 6 * time.Second, Work: 150 * time.Millisecond},
		{MaxTasks: 80, MinTasks: 16, Name: "swiss-re-pairing", Spread: 0.6, Timeout: 20 * time.Second, Work: 350 * time.Millisecond},
		{Idempotent: true, MaxTasks: 3, MinTasks: 1, Name: "tiebreak-check", Spread: 0.4, Timeout: 5 * time.Second, Work: 80 * time.Millisecond},
	},
	Link: 500 * time.Microsecond,
	Mixes: map[string]Mix{
		"evening": {0.35, 0.30, 0.35},
		"morning": {0.70, 0.04, 0.26},
	},
	Name:    "andino",
	Servers: servers("pairing"),
	Teams:   []string{"clubs", "leagues", "schools"},
	Zones:   []string{"quito-north", "quito-south", "cumbaya"},
}

// ByName returns the deployment with the given name.
func ByName(name string) (*Deployment, error) {
	for _, d := range []*Deployment{&andino, &tainan} {
		if d.Name == name {
			return d, nil
		}
	}
	return nil, fmt.Errorf("unknown deployment %q; the deployments are andino and tainan", name)
}

// Capacity returns the work that all servers do in a unit of time.
func (d *Deployment) Capacity() float64 {
	var sum float64
	for _, s := range d.Servers {
		sum += float64(s.Slots) * s.Speed
	}
	return sum
}

// WithServers returns a copy of d with n servers, whose speeds repeat.
func (d *Deployment) WithServers(n int) *Deployment {
	grown := *d
	grown.Servers = nil
	for i := range n {
		s := d.Servers[i%len(d.Servers)]
		s.Name = fmt.Sprintf("%s-%d", s.Name, i/len(d.Servers))
		s.Zone = i % len(d.Zones)
		grown.Servers = append(grown.Servers, s)
	}
	return &grown
}

// servers returns the eleven servers of a deployment, spread over three zones
// so that each has fast and slow ones.
func servers(prefix string) []Server {
	list := make([]Server, 0, len(speeds))
	for i, speed := range speeds {
		list = append(list, Server{Name: fmt.Sprintf("%s-%02d", prefix, i+1), Slots: slots, Speed: speed, Zone: i % 3})
	}
	return list
}
