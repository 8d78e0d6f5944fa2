// Package proxy forwards TCP connections on loopback and harms them.
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

// A Direction is a direction of a connection.
type Direction int

// Directions.
const (
	ToServer Direction = iota
	ToClient
)

// pollInterval is the time between two looks at whether a direction is held.
const pollInterval = 5 * time.Millisecond

// A Proxy forwards connections to one address.
type Proxy struct {
	conns    map[net.Conn]bool
	delay    time.Duration
	held     [2]time.Time // Until when bytes are held up, by direction.
	listener net.Listener
	mu       sync.Mutex
	target   string
}

// Listen returns a proxy from an address to a target.
func Listen(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{conns: make(map[net.Conn]bool), listener: listener, target: target}
	go p.accept()
	return p, nil
}

// Close closes the proxy and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

// Hold holds up what is sent in a direction for a time.
func (p *Proxy) Hold(d Direction, lasting time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[d] = time.Now().Add(lasting)
}

// Delay delays each chunk of bytes from now on.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Reset resets all connections.
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

// forward forwards one direction of a connection.
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

// wait waits as long as a direction is delayed or held.
func (p *Proxy) wait(d Direction) {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		held := time.Now().Before(p.held[d])
		p.mu.Unlock()
		if !held {
			return
		}
		time.Sleep(pollInterval)
	}
}
