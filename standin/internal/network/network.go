// Package network is the stand-in of the network between zones: relays on
// loopback addresses that add latency and can be cut.
//
// The third number of a loopback address stands for its zone, so 127.0.2.11 is
// in zone 2. Zone 8 is the callers' and zone 9 the platform's.
//
// # Usage
//
//	n := network.New(network.Latency{…})
//	go n.Relay(ctx, "127.0.1.1:8000", "127.0.1.1:7000")
//	n.SetCuts([]network.Cut{{A: "127.0.1.", B: "127.0.2."}})
package network

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	bufferSize   = 64 << 10 // bytes
	cutPoll      = 5 * time.Millisecond
	pipeCapacity = 256 // chunks
)

// Latency is the one-way latency of links.
type Latency struct {
	Callers time.Duration // To and from callers.
	Zones   time.Duration // Between two zones.
}

// A Cut stops all traffic between the addresses that begin with A and B. Data
// on the way is kept until the cut ends, as TCP would send it again.
type Cut struct {
	A string `json:"a"`
	B string `json:"b"`
}

// A Network is a set of relays.
type Network struct {
	cuts    []Cut
	latency Latency
	mutex   sync.Mutex
}

// New returns a Network without cuts.
func New(latency Latency) *Network {
	return &Network{latency: latency}
}

// SetCuts replaces the cuts.
func (n *Network) SetCuts(cuts []Cut) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cuts = cuts
}

// Relay accepts connections on one address and passes them to another until
// ctx ends.
func (n *Network) Relay(ctx context.Context, listen, target string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	for {
		conn, err := listener.Accept()
		if err != nil {
			return ctx.Err()
		}
		go n.connect(conn, target)
	}
}

// connect passes one connection on.
func (n *Network) connect(from net.Conn, target string) {
	a, b := host(from.RemoteAddr().String()), host(target)
	n.waitUncut(a, b)
	to, err := net.Dial("tcp", target)
	if err != nil {
		_ = from.Close()
		return
	}
	go n.pipe(from, to, a, b)
	n.pipe(to, from, a, b)
}

// A chunk is data on the way.
type chunk struct {
	data []byte
	due  time.Time
}

// pipe passes data one way, with the latency between a and b.
func (n *Network) pipe(from, to net.Conn, a, b string) {
	chunks := make(chan chunk, pipeCapacity)
	go func() {
		defer close(chunks)
		for {
			data := make([]byte, bufferSize)
			count, err := from.Read(data)
			if count > 0 {
				chunks <- chunk{data: data[:count], due: time.Now().Add(n.between(a, b))}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		n.waitUncut(a, b)
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	n.waitUncut(a, b)
	_ = to.Close()
	_ = from.Close()
	for range chunks {
		continue // Drains the reader, so that it ends.
	}
	_, _ = io.Copy(io.Discard, from)
}

// between returns the one-way latency between two addresses.
func (n *Network) between(a, b string) time.Duration {
	switch {
	case zone(a) == zone(b):
		return 0
	case zone(a) == "8" || zone(b) == "8":
		return n.latency.Callers
	default:
		return n.latency.Zones
	}
}

// waitUncut waits until no cut is between two addresses.
func (n *Network) waitUncut(a, b string) {
	for n.isCut(a, b) {
		time.Sleep(cutPoll)
	}
}

// isCut reports whether a cut is between two addresses.
func (n *Network) isCut(a, b string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, c := range n.cuts {
		if strings.HasPrefix(a, c.A) && strings.HasPrefix(b, c.B) || strings.HasPrefix(a, c.B) && strings.HasPrefix(b, c.A) {
			return true
		}
	}
	return false
}

// host returns the IP address of an address with a port.
func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}

// zone returns the number in an address that stands for its zone.
func zone(ip string) string {
	parts := strings.Split(ip, ".")
	if len(parts) != 4 {
		return ""
	}
	return parts[2]
}
