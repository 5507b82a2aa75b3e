package telemetry

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxLinesPerSecond is the maximum number of lines per second with the same
	// message, except at the level of errors.
	maxLinesPerSecond = 20
	// maxQueuedLines is the maximum number of lines that wait for a slow reader.
	maxQueuedLines = 2048
)

// RateLimitedHandler is a log handler that limits the number of lines per second
// for each message and reports how many it left out. As failures have messages
// of their own, frequent lines about successes don't displace them.
type RateLimitedHandler struct {
	slog.Handler
	state *rateLimitState
}

// rateLimitState is shared by a handler and those derived from it.
type rateLimitState struct {
	mu         sync.Mutex
	second     int64          // Unix time that counts refers to
	counts     map[string]int // lines in this second, by message
	suppressed map[string]int // lines left out since one passed, by message
}

// NewRateLimitedHandler returns a handler that limits the lines passed on to h.
func NewRateLimitedHandler(h slog.Handler) *RateLimitedHandler {
	return &RateLimitedHandler{Handler: h, state: &rateLimitState{counts: make(map[string]int), suppressed: make(map[string]int)}}
}

// Handle implements slog.Handler.
func (h *RateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	leftOut, pass := h.state.admit(r)
	if !pass {
		return nil
	}
	if leftOut > 0 {
		r.AddAttrs(slog.Int("left_out_before", leftOut))
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *RateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &RateLimitedHandler{Handler: h.Handler.WithAttrs(attrs), state: h.state}
}

// WithGroup implements slog.Handler.
func (h *RateLimitedHandler) WithGroup(name string) slog.Handler {
	return &RateLimitedHandler{Handler: h.Handler.WithGroup(name), state: h.state}
}

// admit counts a line and reports whether it passes. leftOut is the number of
// lines with its message that were left out since the last one that passed.
func (s *rateLimitState) admit(r slog.Record) (leftOut int, pass bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := r.Time.Unix(); second != s.second {
		s.second = second
		clear(s.counts)
	}
	s.counts[r.Message]++
	if r.Level < slog.LevelError && s.counts[r.Message] > maxLinesPerSecond {
		s.suppressed[r.Message]++
		return 0, false
	}
	leftOut = s.suppressed[r.Message]
	delete(s.suppressed, r.Message)
	return leftOut, true
}

// AsyncWriter writes lines from a bounded queue, so that a slow reader of the
// output never blocks the code that logs. Lines that don't fit into the queue are
// dropped and counted.
type AsyncWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	quit    chan struct{}
	stop    sync.Once // closes quit
	done    chan struct{}
}

// NewAsyncWriter returns a writer whose lines are written to w in the background
// until Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{
		w: w, lines: make(chan []byte, maxQueuedLines), quit: make(chan struct{}), done: make(chan struct{}),
	}
	go a.run()
	return a
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.writeLine(line)
		case <-a.quit:
			a.drain()
			return
		}
	}
}

// drain writes the queued lines.
func (a *AsyncWriter) drain() {
	for {
		select {
		case line := <-a.lines:
			a.writeLine(line)
		default:
			return
		}
	}
}

func (a *AsyncWriter) writeLine(line []byte) {
	_, _ = a.w.Write(line) // there is nowhere to report an error
}

// Write implements io.Writer. It never blocks.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that didn't fit into the queue.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close stops the writer and waits at most d for the queued lines to be written.
// Lines written afterwards are lost. It may be called more than once.
func (a *AsyncWriter) Close(d time.Duration) {
	a.stop.Do(func() { close(a.quit) })
	select {
	case <-a.done:
	case <-time.After(d):
	}
}
