package ingress

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
)

const (
	// progressBytes is the least number of bytes that count as progress of a header
	// or body, so that a byte a second does not.
	progressBytes = 1 << 10
	// maxPiece is the largest number of bytes written at once. The time of a piece
	// tells whether a write makes progress.
	maxPiece = 32 << 10
	// writeBufferBytes is the size of a connection's send buffer in the kernel. In a
	// buffer that the kernel enlarges by itself, to several MB, a slow but steady
	// reader makes no room for longer than a write may stall.
	writeBufferBytes = 128 << 10
	// headerStep is the memory by which the reservation for a header grows at least.
	headerStep = 16 << 10
	// refusalTimeout limits writing a refusal, and lingerPeriod is how long its
	// connection stays open for the caller to read it: closing a connection with
	// unread bytes discards what was sent last.
	refusalTimeout = time.Second
	lingerPeriod   = 500 * time.Millisecond
)

// errClosing means that the connection was chosen to be closed. It is of the type that
// a closed connection returns, to which a server doesn't respond.
var errClosing = &net.OpError{Op: "read", Err: net.ErrClosed}

// phase is what a connection is used for.
type phase string

// Phases of a connection.
const (
	phaseIdle   phase = "idle"
	phaseHeader phase = "header"
	phaseServed phase = "served"
	phaseBody   phase = "body"
)

// Conn is a caller's connection. The methods for handlers may be called on a nil Conn,
// where they do nothing.
type Conn struct {
	net.Conn
	set    *Connections
	ip     string
	opened time.Time

	// mu is not held during I/O.
	mu sync.Mutex
	// phase is idle, header or served. While bodies isn't 0 it is that of a body.
	phase phase
	// reason is why the connection was chosen to be closed, or empty.
	reason Reason
	// since is when the phase began, and progressAt when the connection last made
	// progress in it; progress is the number of bytes received after that.
	since, progressAt time.Time
	progress          int
	read, written     int64
	// http2 reports whether the connection uses HTTP/2, whose frames say nothing
	// about the phase.
	http2 bool
	// ahead reports whether the first byte of the next request was read while this
	// one was being served.
	ahead bool
	// deadlines is the number of read deadlines set since the connection became idle.
	deadlines int
	// bodies is the number of bodies being read, and holder holds the memory of the
	// latest one.
	bodies int
	holder string
	// headerBytes and headerLines count the header that is being read, for which
	// headerMemory is reserved.
	headerBytes, headerLines int
	headerMemory             bodylimit.Reservation
	// requests is the number of requests being served, and claimant the holder for which
	// the connection counts meanwhile, or empty.
	requests int
	claimant string
	// writers is the number of writes in progress, and wroteAt when one of them last
	// made progress. queued is how much the caller had not acknowledged when this
	// was last checked or counted as progress.
	writers int
	wroteAt time.Time
	queued  int
}

type connKey struct{}

// FromContext returns the connection of a request's context, or nil if it isn't one of
// a Connections.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// BeginRequest tells the connection that a handler begins to serve a request. It
// returns false if the connection was chosen to be closed: the request must not be
// served then.
func (c *Conn) BeginRequest(protoMajor int) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.http2 = protoMajor >= 2
	// An HTTP/1 server doesn't tell of a request that it had read ahead. One of HTTP/2
	// always does, and may have ended the request before its handler begins.
	if c.phase != phaseServed && !c.http2 {
		c.enter(phaseServed)
	}
	if c.reason != "" {
		return false
	}
	c.requests++
	return true
}

// EndRequest tells the connection that a handler has ended. It must be called once
// after each BeginRequest.
func (c *Conn) EndRequest() {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.headerMemory.Release()
	c.requests--
	ended := ""
	if c.requests == 0 {
		ended, c.claimant = c.claimant, ""
	}
	c.mu.Unlock()
	c.set.unclaim(ended)
}

// BeginBody tells the connection that the body of a request is read from now on.
// holder is the holder of its memory.
func (c *Conn) BeginBody(holder string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bodies == 0 {
		c.resetProgress()
	}
	c.bodies++
	c.holder = holder
}

// EndBody tells the connection that the body is complete or no longer read. It must be
// called once after each BeginBody.
func (c *Conn) EndBody() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodies--
}

// Closing reports whether the connection was chosen to be closed.
func (c *Conn) Closing() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reason != ""
}

// enter begins a phase. c.mu is locked.
func (c *Conn) enter(p phase) {
	c.phase = p
	c.resetProgress()
	c.since = c.progressAt
	if p == phaseHeader {
		c.headerBytes, c.headerLines = 0, 0
	}
}

func (c *Conn) resetProgress() { c.progress, c.progressAt = 0, time.Now() }

// setState follows the server's view of the connection.
func (c *Conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		if c.phase != phaseServed {
			c.enter(phaseServed)
		}
	case http.StateIdle:
		c.headerMemory.Release()
		c.deadlines = 0
		next := phaseIdle
		if c.ahead && !c.http2 {
			next = phaseHeader
		}
		c.ahead = false
		c.enter(next)
	}
}

// Read implements net.Conn. It delivers nothing of a connection that was chosen to be
// closed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	refusal, closing := c.recordRead(p[:n], len(p) == 1)
	if refusal != "" {
		c.refuse(refusal)
	}
	if closing {
		return 0, errClosing
	}
	return n, err
}

// recordRead records what was read. single reports whether a single byte was wanted:
// a server does so only to notice a caller that leaves while it is being served.
// refusal is the response to send before the connection ends, or empty.
func (c *Conn) recordRead(p []byte, single bool) (refusal string, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason != "" {
		return "", true
	}
	if len(p) == 0 {
		return "", false
	}
	if c.read == 0 && bytes.HasPrefix(p, []byte("PRI")) {
		c.http2 = true
	}
	c.read += int64(len(p))
	switch {
	case c.phase == phaseIdle && !c.http2, c.phase == phaseIdle && c.read == int64(len(p)):
		c.enter(phaseHeader)
	case c.phase == phaseServed && single:
		c.ahead = true
	}
	c.recordProgress(len(p))
	if c.phase == phaseHeader {
		return c.recordHeader(p)
	}
	return "", false
}

// recordProgress counts received bytes.
func (c *Conn) recordProgress(n int) {
	c.progress += n
	if c.progress >= progressBytes && (c.phase == phaseHeader || c.bodies > 0) {
		c.resetProgress()
	}
}

// SetReadDeadline implements net.Conn. An HTTP/1 server sets one as a connection
// becomes idle, and another one once it has the first bytes of the next request: a
// second one without a read means that these had been read ahead.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	if c.phase == phaseIdle && !c.http2 && c.read > 0 {
		c.deadlines++
		if c.deadlines == 2 {
			c.enter(phaseHeader)
		}
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// waits reports whether a write has been in progress since before the last sweep.
func (c *Conn) waits(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writers > 0 && now.Sub(c.wroteAt) >= sweepInterval
}

// recordAcknowledged counts what the caller has acknowledged as progress of a write that
// waits. The kernel reports room in the send buffer only once a third of it is free, which
// a slow but steady reader takes longer to read than a write may stall.
func (c *Conn) recordAcknowledged() {
	queued, ok := sendQueue(c.Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case queued > c.queued: // more was written
		c.queued = queued
	case c.queued-queued >= progressBytes:
		c.wroteAt, c.queued = time.Now(), queued
	}
}

// sendQueue returns the number of sent bytes of a TCP connection that the other side has
// not acknowledged. ok is false if it is unknown.
func sendQueue(nc net.Conn) (n int, ok bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	controlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return n, controlErr == nil && err == nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.set.remove(c)
	return c.Conn.Close()
}

// choose chooses the connection to be closed. It returns false if it was before. c.mu
// is locked.
func (c *Conn) choose(reason Reason) bool {
	if c.reason != "" {
		return false
	}
	c.reason = reason
	return true
}

// receivesOnlyBodies reports whether a body is being read for each request of the
// connection. Otherwise one of an HTTP/2 connection may be running at an endpoint, and
// closing the connection would lose its response. c.mu is locked.
func (c *Conn) receivesOnlyBodies() bool { return c.bodies > 0 && c.bodies >= c.requests }

// stalledSince returns when a connection that receives a header or body or sends a
// response last made progress. ok is false if it does neither, or is being closed.
// c.mu is locked.
func (c *Conn) stalledSince() (at time.Time, ok bool) {
	switch {
	case c.reason != "":
		return time.Time{}, false
	case c.receivesOnlyBodies(), c.phase == phaseHeader:
		return c.progressAt, true
	case c.writers > 0:
		return c.wroteAt, true
	}
	return time.Time{}, false
}

// expire chooses the connection to be closed if one of its timeouts has passed.
func (c *Conn) expire(now time.Time, limits *Limits, stalledWrite time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseIdle && now.Sub(c.since) >= limits.IdleTimeout:
		return c.choose(IdleTimeout)
	case c.phase == phaseHeader && now.Sub(c.since) >= limits.HeaderTimeout:
		return c.choose(HeaderTimeout)
	case c.writers > 0 && now.Sub(c.wroteAt) >= stalledWrite:
		return c.choose(StalledWrite)
	}
	return false
}
