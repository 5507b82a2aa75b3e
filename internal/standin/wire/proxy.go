// Package wire is a stand-in for the network between two processes. It has a TCP
// proxy on loopback with which tests delay, reset or silently drop traffic, and a
// server whose answers never end.
package wire

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Fault is a network fault that a proxy applies to its connections.
type Fault string

// Faults. Reset resets open connections when it is set and new ones when they are
// accepted; the others apply to the data of open and new connections alike.
const (
	Clear        Fault = ""
	Delay        Fault = "delay"  // data is delayed in both directions
	Reset        Fault = "reset"  // open connections are reset, new ones as soon as they are accepted
	DropToServer Fault = "no way" // data to the server is dropped
	Silent       Fault = "silent" // data is dropped in both directions
	Held         Fault = "held"   // data and ends of streams are held back until the fault is replaced, then passed on
)

// addedDelay is by how much Delay holds back the data of each read.
const addedDelay = 150 * time.Millisecond

// Proxy forwards TCP connections to a target.
type Proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	fault  Fault
	closed bool
	open   map[net.Conn]struct{}
	// changed is closed and replaced when the fault changes or the proxy is closed.
	changed chan struct{}
}

// New starts a proxy on a free port of an IP address.
func New(ip, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, open: make(map[net.Conn]struct{}), changed: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Address returns the IP address and port to connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the current fault.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.wake()
	if f == Reset {
		p.resetAll()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.wake()
	p.resetAll()
}

// wake wakes what waits for a change of the fault. The caller must hold mu.
func (p *Proxy) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// waitWhileHeld waits until data may be passed on.
func (p *Proxy) waitWhileHeld() {
	for {
		p.mu.Lock()
		held, changed := p.fault == Held && !p.closed, p.changed
		p.mu.Unlock()
		if !held {
			return
		}
		<-changed
	}
}

// resetAll resets all open connections. The caller must hold mu.
func (p *Proxy) resetAll() {
	for c := range p.open {
		reset(c)
	}
	clear(p.open)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on failure it is closed without a reset
	}
	c.Close()
}

func (p *Proxy) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.track(c) {
			go p.serve(c)
		}
	}
}

// serve connects a tracked client with the target and forwards data until both
// directions have ended.
func (p *Proxy) serve(client net.Conn) {
	defer p.end(client)
	server, err := net.Dial("tcp", p.target)
	if err != nil || !p.track(server) {
		reset(client)
		return
	}
	defer p.end(server)
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(server, client, true) })
	directions.Go(func() { p.forward(client, server, false) })
	directions.Wait()
}

// track adds a connection to the open ones. If the proxy has been closed or resets
// its connections, it resets the new one instead and returns false.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault == Reset {
		reset(c)
		return false
	}
	p.open[c] = struct{}{}
	return true
}

// end closes a connection and removes it from the open ones.
func (p *Proxy) end(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// forward copies data in one direction, including the end of the stream. After a
// read error it resets the destination.
func (p *Proxy) forward(to, from net.Conn, toServer bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.waitWhileHeld()
		if n > 0 && !p.write(to, buf[:n], toServer) {
			return
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the connection may already be closed
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// write writes b to one side, subject to the current fault. It returns false if the
// write failed.
func (p *Proxy) write(to net.Conn, b []byte, toServer bool) bool {
	switch f := p.currentFault(); {
	case f == Silent, f == DropToServer && toServer:
		return true
	case f == Delay:
		time.Sleep(addedDelay)
	}
	_, err := to.Write(b)
	return err == nil
}
