package hostile

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// reopenPause is the pause before a connection that was closed is opened again.
	reopenPause = time.Second
	// settleTime bounds the wait for the members of a crowd to have sent what they
	// send first. A member whose connection isn't accepted never gets there.
	settleTime = 15 * time.Second
	// writeTimeout bounds one write of a member, unreadWriteTimeout one of a member that
	// doesn't read, whose writes must block in the end, and answerTimeout the wait for an
	// answer.
	writeTimeout       = 10 * time.Second
	unreadWriteTimeout = 2 * time.Second
	answerTimeout      = 2 * time.Second
	// trafficLimit bounds what a crowd sends in total, in bytes.
	trafficLimit = 2 << 30
	// smallSegment and smallBuffer keep the kernel's buffers of an unread connection
	// small, as they are on a network: over loopback they hold several MB.
	smallSegment = 1400
	smallBuffer  = 4096
)

var errTrafficLimit = errors.New("the crowd has sent all that it may")

// crowd is a set of hostile connections. Each one that is closed is opened again.
type crowd struct {
	address string
	// unread makes the kernel's buffers small, for members that don't read.
	unread  bool
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	traffic atomic.Int64
	waiting atomic.Int64
	// together is closed when every member has sent what it sends first.
	together chan struct{}
}

// member is one connection of a crowd.
type member struct {
	net.Conn
	crowd *crowd
	// index is the member's number within the crowd.
	index int
	once  *sync.Once
}

// newCrowd returns a crowd without members.
func newCrowd(address string, unread bool) *crowd {
	c := &crowd{address: address, unread: unread, together: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// start starts the members and waits until all have sent what they send first, or
// settleTime has passed. behave is called for each connection; its error or return
// closes the connection.
func (c *crowd) start(size int, behave func(m *member) error) {
	c.waiting.Store(int64(size))
	for i := range size {
		once := &sync.Once{}
		c.wg.Go(func() {
			for c.ctx.Err() == nil {
				c.runMember(i, once, behave)
				sleep(c.ctx, reopenPause)
			}
		})
	}
	select {
	case <-c.together:
	case <-time.After(settleTime):
	}
}

// runMember opens one connection and uses it until it ends.
func (c *crowd) runMember(index int, once *sync.Once, behave func(m *member) error) {
	m := &member{crowd: c, index: index, once: once}
	defer m.arrive()
	d := net.Dialer{Timeout: writeTimeout}
	if c.unread {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without these options the test is only slower.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, smallSegment)
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
			})
		}
	}
	conn, err := d.DialContext(c.ctx, "tcp", c.address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(c.ctx, func() { conn.Close() })()
	m.Conn = conn
	err = behave(m) // the process may close the connection at any time
	if errors.Is(err, errTrafficLimit) {
		_ = m.hold()
	}
}

// stop closes all connections.
func (c *crowd) stop() {
	c.cancel()
	c.wg.Wait()
}

// arrive records that the member has sent what it sends first.
func (m *member) arrive() {
	m.once.Do(func() {
		if m.crowd.waiting.Add(-1) == 0 {
			close(m.crowd.together)
		}
	})
}

// meet waits until all members have sent what they send first.
func (m *member) meet() {
	m.arrive()
	select {
	case <-m.crowd.together:
	case <-m.crowd.ctx.Done():
	}
}

// send writes data until an error, and fails once the crowd has sent all it may.
func (m *member) send(data []byte) error {
	if m.crowd.traffic.Add(int64(len(data))) > trafficLimit {
		return errTrafficLimit
	}
	timeout := writeTimeout
	if m.crowd.unread {
		timeout = unreadWriteTimeout
	}
	_ = m.SetWriteDeadline(time.Now().Add(timeout)) // the write reports a closed connection
	_, err := m.Write(data)
	return err
}

// sendTimes writes data n times.
func (m *member) sendTimes(data []byte, n int) error {
	for range n {
		if err := m.send(data); err != nil {
			return err
		}
	}
	return nil
}

// hold records that the member has sent what it sends first and keeps the connection
// open until the process closes it or the crowd ends. It reads and discards what the
// process sends, unless the crowd reads nothing.
func (m *member) hold() error {
	m.arrive()
	if m.crowd.unread {
		return m.waitClosed()
	}
	_, err := io.Copy(io.Discard, m)
	return err
}

// waitClosed waits without reading until the process has reset the connection or the crowd
// ends. It doesn't notice an orderly close, which comes after the unread data.
func (m *member) waitClosed() error {
	for m.crowd.ctx.Err() == nil {
		if err := m.socketError(); err != nil {
			return err
		}
		sleep(m.crowd.ctx, 100*time.Millisecond)
	}
	return nil
}

// socketError returns the pending error of the connection, or nil.
func (m *member) socketError() error {
	sc, ok := m.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	code := 0
	var optErr error
	err = raw.Control(func(fd uintptr) {
		code, optErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	if code != 0 {
		optErr = syscall.Errno(code)
	}
	return errors.Join(err, optErr)
}

// readAnswer reads one answer, whatever its status.
func (m *member) readAnswer() error {
	_ = m.SetReadDeadline(time.Now().Add(answerTimeout)) // the read reports a closed connection
	resp, err := http.ReadResponse(bufio.NewReader(m), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	return m.SetReadDeadline(time.Time{})
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
