package ingress

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

const (
	// sweepInterval is the time between the checks of all connections.
	sweepInterval = 100 * time.Millisecond
	// stallTimeout is the least time without progress after which a connection may
	// be closed in favour of another one.
	stallTimeout = time.Second
	// searchPause is the time after a search that found no connection to close in
	// which there is no other: a search looks at all connections.
	searchPause = 2 * time.Millisecond
	// maxCandidates is the number of connections that one search finds at most.
	maxCandidates = 64
)

// Reason is why a connection was closed.
type Reason string

// Reasons for closing a connection.
const (
	IdleTimeout    Reason = "idle"
	HeaderTimeout  Reason = "header timeout"
	HeaderTooLarge Reason = "header too large"
	NoMemory       Reason = "no memory for header"
	StalledWrite   Reason = "stalled write"
	StalledBody    Reason = "stalled body"
	Replaced       Reason = "replaced"
	TooMany        Reason = "too many connections"
)

// Responses to requests whose header is not read to its end, which have not run.
const (
	headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noMemory       = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.00\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Options configure Connections.
type Options struct {
	// Max limits the number of connections.
	Max int
	// Limits returns the limits in force. It is called often and must not block.
	Limits func() Limits
	// StalledWrite is how long a write may make no progress; 0 selects a default.
	StalledWrite time.Duration
	// Memory is the budget for headers, or nil.
	Memory  *bodylimit.HolderBudget
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Connections are the callers' connections of a process. The methods for handlers may
// be called on nil Connections, where they do nothing.
type Connections struct {
	opts   Options
	limits atomic.Pointer[Limits]
	// full reports whether a connection was closed for lack of room and there is
	// still none.
	full atomic.Bool

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// claims are the numbers of connections by holder.
	claims map[string]int
	// candidates are connections that may be closed in favour of new ones, first the
	// one to be closed first.
	candidates []candidate
	// searchedAt and bodySearchedAt are when no connection was found to close in
	// favour of a new one and of another body.
	searchedAt, bodySearchedAt time.Time
}

// candidate is a connection that has been idle or without progress since a time.
type candidate struct {
	conn *Conn
	at   time.Time
}

// New returns Connections without any connection.
func New(opts Options) *Connections {
	if opts.StalledWrite <= 0 {
		opts.StalledWrite = DefaultStalledWrite
	}
	s := &Connections{opts: opts, conns: make(map[*Conn]struct{}), claims: make(map[string]int)}
	s.updateLimits()
	return s
}

// Configure sets the hooks of a server that serves a listener of Listen, and removes
// its timeouts, which Connections replace.
func (s *Connections) Configure(server *http.Server) {
	server.ReadHeaderTimeout, server.ReadTimeout, server.IdleTimeout = 0, 0, 0
	server.MaxHeaderBytes = MaxHeaderBytes
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, nc)
	}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		c, ok := nc.(*Conn)
		switch {
		case !ok:
		case state == http.StateClosed || state == http.StateHijacked:
			s.remove(c)
		default:
			c.setState(state)
		}
	}
}

// Listen returns a listener that accepts the connections of l within the limits.
func (s *Connections) Listen(l net.Listener) net.Listener { return &listener{Listener: l, set: s} }

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	set *Connections
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.set.admit(nc); c != nil {
			return c, nil
		}
	}
}

// admit adds a connection. At the limit, it closes another one in its favour, or
// closes it and returns nil.
func (s *Connections) admit(nc net.Conn) *Conn {
	now := time.Now()
	c := &Conn{Conn: nc, set: s, opened: now, phase: phaseIdle, since: now, progressAt: now}
	if addr, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.ip = addr.IP.String()
	}
	s.mu.Lock()
	var replaced *Conn
	fits := len(s.conns) < s.opts.Max
	if !fits {
		replaced = s.replace(now)
		fits = replaced != nil
	}
	if fits {
		s.conns[c] = struct{}{}
	} else {
		s.full.Store(true)
	}
	s.mu.Unlock()
	if replaced != nil {
		s.end(replaced)
	}
	if !fits {
		c.reason = TooMany
		s.end(c)
		return nil
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(writeBufferBytes) // the default works too
	}
	return c
}

// replace chooses a connection to be closed in favour of a new one, and removes it. It
// returns nil if there is none. s.mu is locked.
func (s *Connections) replace(now time.Time) *Conn {
	for {
		for len(s.candidates) > 0 {
			next := s.candidates[0]
			s.candidates = s.candidates[1:]
			if next.conn.replaceable(now, next.at) {
				delete(s.conns, next.conn)
				return next.conn
			}
		}
		if now.Sub(s.searchedAt) < searchPause {
			return nil
		}
		if s.candidates = s.search(now); len(s.candidates) == 0 {
			s.searchedAt = now
			return nil
		}
	}
}

// search returns the connections that have been idle longest or, if none is idle,
// those without progress for longest, in this order. s.mu is locked.
func (s *Connections) search(now time.Time) []candidate {
	var idle, stalled []candidate
	for c := range s.conns {
		c.mu.Lock()
		if at, ok := c.stalledSince(); ok && now.Sub(at) >= stallTimeout {
			stalled = append(stalled, candidate{c, at})
		}
		if c.phase == phaseIdle && c.reason == "" {
			idle = append(idle, candidate{c, c.since})
		}
		c.mu.Unlock()
	}
	found := idle
	if len(found) == 0 {
		found = stalled
	}
	slices.SortFunc(found, func(a, b candidate) int { return a.at.Compare(b.at) })
	return found[:min(len(found), maxCandidates)]
}

// replaceable chooses the connection to be closed if it is still idle or without
// progress since a time.
func (c *Conn) replaceable(now, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.phase == phaseIdle && c.since.Equal(since)
	at, ok := c.stalledSince()
	stalled := ok && at.Equal(since) && now.Sub(at) >= stallTimeout
	return (idle || stalled) && c.choose(Replaced)
}

// CloseStalledBody closes the connection whose request body has made no progress for
// longest, at least a second, of the given holder if that is not empty. It reports
// whether there was one.
func (s *Connections) CloseStalledBody(holder string) bool {
	if s == nil {
		return false
	}
	c := s.chooseStalledBody(time.Now(), holder)
	if c == nil {
		return false
	}
	s.end(c)
	return true
}

func (s *Connections) chooseStalledBody(now time.Time, holder string) *Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.bodySearchedAt) < searchPause {
		return nil
	}
	var found *Conn
	var foundAt time.Time
	for c := range s.conns {
		if at, ok := c.bodyStalledSince(holder); ok && now.Sub(at) >= stallTimeout && (found == nil || at.Before(foundAt)) {
			found, foundAt = c, at
		}
	}
	if found == nil {
		s.bodySearchedAt = now
		return nil
	}
	found.mu.Lock()
	defer found.mu.Unlock()
	if !found.receivesOnlyBodies() || !found.progressAt.Equal(foundAt) || !found.choose(StalledBody) {
		return nil
	}
	delete(s.conns, found)
	return found
}

// bodyStalledSince returns when the body that the connection receives last made
// progress. ok is false if it receives none, serves another request meanwhile, or the
// memory has another holder.
func (c *Conn) bodyStalledSince(holder string) (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receivesOnlyBodies() || c.reason != "" || holder != "" && holder != c.holder {
		return time.Time{}, false
	}
	return c.progressAt, true
}

// Full reports whether new connections are closed because there is no room for them.
func (s *Connections) Full() bool { return s != nil && s.full.Load() }

// Len returns the number of connections.
func (s *Connections) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Run checks the connections until the context ends.
func (s *Connections) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.sweep(now)
		}
	}
}

// sweep applies the limits in force to all connections.
func (s *Connections) sweep(now time.Time) {
	limits := s.updateLimits()
	for _, c := range s.waiting(now) {
		c.recordAcknowledged()
	}
	var ended []*Conn
	s.mu.Lock()
	for c := range s.conns {
		if c.expire(now, limits, s.opts.StalledWrite) {
			ended = append(ended, c)
			delete(s.conns, c)
		}
	}
	if s.full.Load() && (len(s.conns) < s.opts.Max || len(s.search(now)) > 0) {
		s.full.Store(false)
	}
	n := len(s.conns)
	s.mu.Unlock()
	telemetry.Gauge(s.opts.Metrics, "caller_connections_number").Update(int64(n))
	for _, c := range ended {
		s.end(c)
	}
}

// waiting returns the connections with a write that waits for the caller.
func (s *Connections) waiting(now time.Time) (found []*Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.waits(now) {
			found = append(found, c)
		}
	}
	return found
}

func (s *Connections) updateLimits() *Limits {
	limits := Limits{}
	if s.opts.Limits != nil {
		limits = s.opts.Limits()
	}
	limits = limits.WithDefaults()
	s.limits.Store(&limits)
	return &limits
}

// end closes a connection that was chosen to be closed and has been removed.
func (s *Connections) end(c *Conn) {
	s.record(c)
	c.release()
	_ = c.Conn.Close() // there is nobody to tell
}

// record logs and counts a connection that was chosen to be closed.
func (s *Connections) record(c *Conn) {
	c.mu.Lock()
	reason, phase, read, written := c.reason, c.phase, c.read, c.written
	if c.bodies > 0 {
		phase = phaseBody
	}
	c.mu.Unlock()
	telemetry.Counter(s.opts.Metrics, "caller_connections_closed_total", "reason", string(reason)).Inc(1)
	if reason == NoMemory {
		telemetry.Counter(s.opts.Metrics, "requests_refused_memory_total").Inc(1)
	}
	s.opts.Log.Info("caller's connection closed", "reason", string(reason), "phase", string(phase), "caller", c.ip,
		"age", time.Since(c.opened), "bytes_read", read, "bytes_written", written)
}

// remove removes a connection that has ended.
func (s *Connections) remove(c *Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	c.release()
}

// release releases the memory of the connection's header.
func (c *Conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerMemory.Release()
}
