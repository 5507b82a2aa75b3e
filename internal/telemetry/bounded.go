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
	// linesPerSecond bounds the lines of one message, but for errors.
	linesPerSecond = 20
	// queuedLines bounds the lines that wait for a slow reader.
	queuedLines = 2048
)

// Bounded is a log handler that lets a bounded number of lines of each message
// through in a second and tells how many it left out. Failures have their own
// messages, so that they outlast what goes well.
type Bounded struct {
	slog.Handler
	shared *boundedState
}

type boundedState struct {
	mu     sync.Mutex
	second int64
	lines  map[string]int
	out    map[string]int
}

// NewRateLimitedHandler bounds the lines that reach a handler.
func NewRateLimitedHandler(h slog.Handler) *Bounded {
	return &Bounded{Handler: h, shared: &boundedState{lines: make(map[string]int), out: make(map[string]int)}}
}

// Handle implements slog.Handler.
func (b *Bounded) Handle(ctx context.Context, r slog.Record) error {
	leftOut, pass := b.shared.admit(r)
	if !pass {
		return nil
	}
	if leftOut > 0 {
		r.AddAttrs(slog.Int("left_out_before", leftOut))
	}
	return b.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (b *Bounded) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Bounded{Handler: b.Handler.WithAttrs(attrs), shared: b.shared}
}

// WithGroup implements slog.Handler.
func (b *Bounded) WithGroup(name string) slog.Handler {
	return &Bounded{Handler: b.Handler.WithGroup(name), shared: b.shared}
}

// admit counts a line and returns how many of its message were left out since
// the last one that passed.
func (s *boundedState) admit(r slog.Record) (leftOut int, pass bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := r.Time.Unix(); second != s.second {
		s.second = second
		clear(s.lines)
	}
	s.lines[r.Message]++
	if r.Level < slog.LevelError && s.lines[r.Message] > linesPerSecond {
		s.out[r.Message]++
		return 0, false
	}
	leftOut = s.out[r.Message]
	delete(s.out, r.Message)
	return leftOut, true
}

// AsyncWriter writes lines from a bounded queue, so that a slow reader of the
// output never holds up who logs. Lines beyond the queue are dropped and
// counted.
type AsyncWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	quit    chan struct{}
	done    chan struct{}
}

// NewAsyncWriter starts writing to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{
		w: w, lines: make(chan []byte, queuedLines), quit: make(chan struct{}), done: make(chan struct{}),
	}
	go a.run()
	return a
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.put(line)
		case <-a.quit:
			a.drain()
			return
		}
	}
}

// drain writes what is queued.
func (a *AsyncWriter) drain() {
	for {
		select {
		case line := <-a.lines:
			a.put(line)
		default:
			return
		}
	}
}

func (a *AsyncWriter) put(line []byte) {
	_, _ = a.w.Write(line) // there is nowhere to tell of a failure
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

// Dropped returns the number of lines that did not fit into the queue.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes what is queued, for at most d. Lines that come later are lost.
func (a *AsyncWriter) Close(d time.Duration) {
	close(a.quit)
	select {
	case <-a.done:
	case <-time.After(d):
	}
}
