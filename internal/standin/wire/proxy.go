// Package wire stands in for the network between two processes: a TCP proxy on
// loopback whose connections a test delays, resets, cuts or silences.
package wire

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what happens to the bytes of a proxy's connections.
type Fault string

// Faults. All but Reset hold for open and new connections alike.
const (
	Clear  Fault = ""
	Delay  Fault = "delay"  // bytes come later, both ways
	Reset  Fault = "reset"  // connections are reset, new ones at once
	NoWay  Fault = "no way" // bytes to the server are swallowed
	Silent Fault = "silent" // bytes are swallowed both ways
)

// delayed is how much later bytes come under Delay.
const delayed = 150 * time.Millisecond

// Proxy passes the connections to its address on to a target.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault Fault
	ended bool
	open  map[net.Conn]struct{}
}

// New starts a proxy on a free port of an IP address.
func New(ip, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, open: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// Address returns the IP address and port to connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the present fault.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == Reset {
		p.resetAll()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.resetAll()
}

// resetAll resets what is open. mu is held.
func (p *Proxy) resetAll() {
	for c := range p.open {
		reset(c)
	}
	clear(p.open)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it is closed either way
	}
	c.Close()
}

func (p *Proxy) present() Fault {
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
		if p.present() == Reset {
			reset(c)
			continue
		}
		go p.join(c)
	}
}

// join connects a connection with the target until one side ends.
func (p *Proxy) join(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	if !p.keep(client, server) {
		reset(client)
		reset(server)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.pump(server, client, true) })
	both.Go(func() { p.pump(client, server, false) })
	both.Wait()
	client.Close()
	server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, client)
	delete(p.open, server)
}

// keep notes the two connections unless the proxy has ended meanwhile.
func (p *Proxy) keep(client, server net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return false
	}
	p.open[client], p.open[server] = struct{}{}, struct{}{}
	return true
}

// pump copies bytes one way and passes the end of the stream on.
func (p *Proxy) pump(to, from net.Conn, toServer bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.pass(to, buf[:n], toServer) {
			return
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the other way may already be closed
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// pass writes bytes as the present fault has it.
func (p *Proxy) pass(to net.Conn, b []byte, toServer bool) bool {
	switch f := p.present(); {
	case f == Silent, f == NoWay && toServer:
		return true
	case f == Delay:
		time.Sleep(delayed)
	}
	_, err := to.Write(b)
	return err == nil
}
