// Package proxy forwards TCP connections and can hold, delay or reset them.
//
// # Usage
//
//	p, err := proxy.Listen("127.0.1.1:7000", "127.0.2.1:7000")
//	p.Hold(proxy.ToServer, time.Second)
package proxy

import (
	"net"
	"sync"
	"time"
)

// A Direction is a direction in which a connection transfers bytes.
type Direction int

// Directions of a connection.
const (
	ToServer Direction = iota
	ToClient
)

// pollInterval is how often a goroutine checks whether its direction is still
// held.
const pollInterval = 5 * time.Millisecond

// A Proxy forwards connections to one target address.
type Proxy struct {
	// conns has the open connections to clients and to the target.
	conns map[net.Conn]bool

	// delay is added to every chunk of bytes that is forwarded.
	delay time.Duration

	// heldUntil is the time until which no bytes are forwarded, by direction.
	heldUntil [2]time.Time
	listener  net.Listener
	mu        sync.Mutex
	target    string
}

// Listen returns a proxy that accepts connections at an address and forwards
// them to a target. The caller closes it.
func Listen(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{conns: make(map[net.Conn]bool), listener: listener, target: target}
	go p.accept()
	return p, nil
}

// Close stops accepting connections and resets the open ones.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

// Hold forwards nothing in a direction for a duration. The bytes are kept and
// forwarded afterwards.
func (p *Proxy) Hold(d Direction, duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldUntil[d] = time.Now().Add(duration)
}

// Delay sets the time by which each chunk of bytes is delayed; 0 ends the delay.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Reset closes all connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// accept accepts connections until the listener closes.
func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		p.mu.Unlock()
		go p.forward(client, server, ToServer)
		go p.forward(server, client, ToClient)
	}
}

// forward copies bytes from one connection to another until either fails, and
// closes both.
func (p *Proxy) forward(from, to net.Conn, d Direction) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.wait(d)
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// wait waits for the delay and until the direction is no longer held.
func (p *Proxy) wait(d Direction) {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		held := time.Now().Before(p.heldUntil[d])
		p.mu.Unlock()
		if !held {
			return
		}
		time.Sleep(pollInterval)
	}
}
