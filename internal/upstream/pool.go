package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

// connFor returns a connection for the request: an idle one that can be reused
// and has not carried the request's ID, or a new one.
func (c *Client) connFor(ctx context.Context, address string, req *Request) (*conn, error) {
	if !req.OwnConn {
		if cn := c.reuseConn(address, hashID(req.ID)); cn != nil {
			return cn, nil
		}
	}
	nc, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(nc, address), nil
}

// reuseConn returns an idle connection that can be reused and has not carried the
// ID, or nil. It closes those that can't be reused.
func (c *Client) reuseConn(address string, id uint64) *conn {
	for {
		cn := c.popIdle(address, id)
		if cn == nil || time.Since(cn.idleSince) < cn.idleTimeout && cn.isReusable() {
			return cn
		}
		cn.Close()
	}
}

// tcpDialer opens the connections of clients without a DialFunc.
var tcpDialer = net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second, Control: setUserTimeout}

// dialTCP implements DialFunc.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return tcpDialer.DialContext(ctx, "tcp", address)
}

func newConn(nc net.Conn, address string) *conn {
	raw := &headReader{Conn: nc}
	return &conn{Conn: nc, address: address, raw: raw, r: bufio.NewReaderSize(raw, readBufferBytes), idleTimeout: defaultIdleTimeout}
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that the connection to a host that no
// longer acknowledges data fails after tcpUserTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// popIdle removes and returns the most recently used idle connection to an
// address that has not carried the ID, or nil if there is none.
func (c *Client) popIdle(address string, id uint64) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for i, cn := range slices.Backward(list) {
		if !slices.Contains(cn.carried, id) {
			c.idle[address] = slices.Delete(list, i, i+1)
			return cn
		}
	}
	return nil
}

// hashID returns the hash of a request's ID, or 0 for no ID.
func hashID(id string) uint64 {
	if id == "" {
		return 0
	}
	return xxhash.Sum64String(id)
}

// addCarried records that a request is sent on the connection. Zero means that it
// has no ID.
func (cn *conn) addCarried(id uint64) {
	if id != 0 {
		cn.carried = append(cn.carried, id)
	}
}

// putIdle keeps a connection for reuse, or closes it if the address already has
// maxIdlePerHost idle ones.
func (c *Client) putIdle(cn *conn) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[cn.address]
	if len(list) >= maxIdlePerHost {
		cn.Close()
		return
	}
	c.idle[cn.address] = append(list, cn)
}

// Sweep closes the connections that have exceeded their idle timeout.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if time.Since(cn.idleSince) < cn.idleTimeout {
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

// isReusable reports whether the endpoint has neither closed the connection nor
// sent unsolicited bytes while it was idle.
func (cn *conn) isReusable() bool {
	if cn.r.Buffered() > 0 {
		return false
	}
	_, err := cn.peek()
	return errors.Is(err, unix.EAGAIN)
}

// peek returns the number of bytes, at most 1, that have arrived beyond those read.
// The error is EAGAIN if there are none, or if the connection has no descriptor. No
// bytes and no error mean that the endpoint has closed the connection.
func (cn *conn) peek() (n int, err error) {
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return 0, unix.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}
