package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// take returns a kept connection that is still open, or a new one.
func (c *Client) take(ctx context.Context, address string) (*conn, error) {
	for {
		cn := c.pop(address)
		if cn == nil {
			break
		}
		if time.Since(cn.idleAt) < cn.keep && cn.open() {
			return cn, nil
		}
		cn.Close()
	}
	if c.dials != nil {
		c.dials(address)
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second, Control: control}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(nc, address), nil
}

func newConn(nc net.Conn, address string) *conn {
	raw := &headReader{Conn: nc}
	return &conn{Conn: nc, address: address, raw: raw, r: bufio.NewReaderSize(raw, readBuffer), keep: idleDefault}
}

// control bounds how long a silent peer keeps a connection.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadPeer.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return cn
}

func (c *Client) put(cn *conn) {
	cn.idleAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[cn.address]
	if len(list) >= idlePerHost {
		cn.Close()
		return
	}
	c.idle[cn.address] = append(list, cn)
}

// Sweep closes connections that have been idle for too long.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if time.Since(cn.idleAt) < cn.keep {
				kept = append(kept, cn)
				continue
			}
			cn.Close()
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

// Forget closes the kept connections to an address.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[address] {
		cn.Close()
	}
	delete(c.idle, address)
}

// open reports whether nothing has come from the endpoint while the
// connection was idle: neither its close nor bytes that belong to no request.
func (cn *conn) open() bool {
	if cn.r.Buffered() > 0 {
		return false
	}
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN || err == unix.EWOULDBLOCK
	})
	return err == nil && quiet
}
