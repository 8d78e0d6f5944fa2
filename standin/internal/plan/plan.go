// Package plan lays out the processes of a deployment on loopback addresses:
// their settings files, the list of their commands, and the fleet file that
// the load and fault tools read.
//
// # Usage
//
//	fleet, err := plan.Write(deployment, dir, octet)
//	fleet, err := plan.Read(dir)
package plan

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/BurntSushi/toml"

	"github.com/pollenfront/pollenfront/settings"
	"github.com/pollenfront/pollenfront/standin/internal/deployment"
)

// Ports of the processes. Relays listen on the advertised ones.
const (
	portAdvertiseAPI   = 8080
	portAdvertisePeer  = 8000
	portAdvertiseTable = 8900
	portAPI            = 7080
	portBackend        = 7200
	portNetwork        = 7950
	portPeer           = 7000
	portStatus         = 7300
	portTable          = 7900
)

const (
	firstServer  = 11 // Last number of the first server's address.
	fleetFile    = "fleet.json"
	platformZone = 9
	processFile  = "processes"
)

// A Fleet is what the tools know of the processes.
type Fleet struct {
	Deployment string   `json:"deployment"`
	Entries    []Entry  `json:"entries"`
	Network    string   `json:"network"` // URL of the network stand-in.
	Octet      int      `json:"octet"`
	Platform   string   `json:"platform"` // URL of the platform stand-in, past the relay.
	Servers    []Server `json:"servers"`
}

// An Entry is an entry process.
type Entry struct {
	API  string `json:"api"` // URL through the relay.
	Name string `json:"name"`
	IP   string `json:"ip"`
	Zone string `json:"zone"`
}

// A Server is a backend server with its agent.
type Server struct {
	Agent   string  `json:"agent"`   // Name of the agent's process.
	Backend string  `json:"backend"` // URL.
	IP      string  `json:"ip"`
	Name    string  `json:"name"`
	Slots   int     `json:"slots"`
	Speed   float64 `json:"speed"`
	Status  string  `json:"status"` // URL of the agent.
	Zone    string  `json:"zone"`
}

// A layout collects what a plan writes.
type layout struct {
	bytes.Buffer // Lines of the process file.

	deployment *deployment.Deployment
	dir        string
	entries    int // In each zone.
	fleet      Fleet
	relays     []string
}

// Write lays out a deployment in a directory. The octet is the second number
// of all addresses, so that several layouts can run at once.
func Write(d *deployment.Deployment, dir string, octet, entriesPerZone int) (Fleet, error) {
	l := &layout{deployment: d, dir: dir, entries: entriesPerZone}
	l.fleet = Fleet{
		Deployment: d.Name,
		Network:    "http://" + address(octet, platformZone, 2, portNetwork),
		Octet:      octet,
		Platform:   "http://" + address(octet, platformZone, 1, portTable),
	}
	l.relay(address(octet, platformZone, 1, portAdvertiseTable), address(octet, platformZone, 1, portTable))
	l.process("platform", "standin platform --listen "+address(octet, platformZone, 1, portTable))
	if err := l.addEntries(); err != nil {
		return Fleet{}, err
	}
	if err := l.addServers(); err != nil {
		return Fleet{}, err
	}
	l.process("network", fmt.Sprintf("standin network --listen %s --zones %v --callers %v --relay %s",
		address(octet, platformZone, 2, portNetwork), d.Link, d.Callers, strings.Join(l.relays, " ")))
	encoded, err := json.MarshalIndent(l.fleet, "", "  ")
	if err != nil {
		return Fleet{}, err
	}
	if err := os.WriteFile(filepath.Join(dir, fleetFile), encoded, 0o600); err != nil {
		return Fleet{}, err
	}
	return l.fleet, os.WriteFile(filepath.Join(dir, processFile), l.Bytes(), 0o600)
}

// Read returns the fleet that was laid out in a directory.
func Read(dir string) (Fleet, error) {
	var fleet Fleet
	encoded, err := os.ReadFile(filepath.Join(dir, fleetFile))
	if err != nil {
		return fleet, err
	}
	return fleet, json.Unmarshal(encoded, &fleet)
}

// addEntries lays out the entries.
func (l *layout) addEntries() error {
	for z, zone := range l.deployment.Zones {
		for n := 1; n <= l.entries; n++ {
			if err := l.addEntry(z+1, n, zone); err != nil {
				return err
			}
		}
	}
	return nil
}

// addEntry lays out one entry.
func (l *layout) addEntry(zoneNumber, number int, zone string) error {
	octet := l.fleet.Octet
	name := fmt.Sprintf("entry-%s-%d", zone, number)
	s := settings.Entry{
		API:           address(octet, zoneNumber, number, portAPI),
		AdvertiseAPI:  address(octet, zoneNumber, number, portAdvertiseAPI),
		AdvertisePeer: address(octet, zoneNumber, number, portAdvertisePeer),
		Peer:          address(octet, zoneNumber, number, portPeer),
		Process:       settings.Process{IP: ip(octet, zoneNumber, number), Name: name, Zone: zone},
		Table:         "http://" + address(octet, platformZone, 1, portAdvertiseTable),
	}
	l.relay(s.AdvertiseAPI, s.API)
	l.relay(s.AdvertisePeer, s.Peer)
	l.fleet.Entries = append(l.fleet.Entries, Entry{API: "http://" + s.AdvertiseAPI, IP: s.IP, Name: name, Zone: zone})
	return l.program("entry", name, s)
}

// addServers lays out the backend servers and their agents.
func (l *layout) addServers() error {
	octet := l.fleet.Octet
	var entries []string
	for z := range l.deployment.Zones {
		entries = append(entries, address(octet, z+1, 1, portAdvertisePeer))
	}
	for i, server := range l.deployment.Servers {
		zoneNumber, number := server.Zone+1, firstServer+i
		zone := l.deployment.Zones[server.Zone]
		listen := address(octet, zoneNumber, number, portBackend)
		l.process("backend-"+server.Name, fmt.Sprintf("standin backend --listen %s --slots %d --speed %v --zone %s", listen, server.Slots, server.Speed, zone))
		s := settings.Agent{
			Backend: "http://" + listen,
			Entries: entries,
			Process: settings.Process{IP: ip(octet, zoneNumber, number), Name: server.Name, Zone: zone},
			Slots:   server.Slots,
			Status:  address(octet, zoneNumber, number, portStatus),
		}
		l.fleet.Servers = append(l.fleet.Servers, Server{
			Agent: "agent-" + server.Name, Backend: s.Backend, IP: s.IP, Name: server.Name, Slots: server.Slots,
			Speed: server.Speed, Status: "http://" + s.Status, Zone: zone,
		})
		if err := l.program("agent", "agent-"+server.Name, s); err != nil {
			return err
		}
	}
	return nil
}

// program writes the settings of an entry or an agent and lists its command.
func (l *layout) program(command, name string, s any) error {
	var encoded bytes.Buffer
	if err := toml.NewEncoder(&encoded).Encode(s); err != nil {
		return err
	}
	file := filepath.Join(l.dir, name+".toml")
	l.process(name, command+" run --settings "+file)
	return os.WriteFile(file, encoded.Bytes(), 0o600)
}

// process lists a command.
func (l *layout) process(name, command string) {
	fmt.Fprintf(l, "%s\t%s\n", name, command)
}

// relay lists a relay of the network stand-in.
func (l *layout) relay(listen, target string) {
	l.relays = append(l.relays, listen+"="+target)
}

// address returns an address on loopback.
func address(octet, zone, number, port int) string {
	return fmt.Sprintf("%s:%d", ip(octet, zone, number), port)
}

// ip returns an IP address on loopback.
func ip(octet, zone, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", octet, zone, number)
}
