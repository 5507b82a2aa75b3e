package telemetry

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLinesOfAMessageAreRateLimited(t *testing.T) {
	var out bytes.Buffer
	at := time.Unix(1000, 0)
	h := NewRateLimitedHandler(slog.NewTextHandler(&out, nil))
	handle := func(level slog.Level, msg string) {
		assert.NilError(t, h.Handle(t.Context(), slog.NewRecord(at, level, msg, 0)))
	}
	for range 100 {
		handle(slog.LevelInfo, "often")
	}
	handle(slog.LevelInfo, "seldom")
	for range 30 {
		handle(slog.LevelError, "fault")
	}
	assert.Equal(t, strings.Count(out.String(), "often"), maxLinesPerSecond)
	assert.Equal(t, strings.Count(out.String(), "seldom"), 1)
	assert.Equal(t, strings.Count(out.String(), "fault"), 30)

	at = at.Add(time.Second)
	out.Reset()
	handle(slog.LevelInfo, "often")
	assert.Assert(t, strings.Contains(out.String(), "left_out_before=80"), out.String())
}

// A process that stops reading the log output must not block the code that logs.
func TestBlockedReaderDoesNotBlockWriters(t *testing.T) {
	r, w := io.Pipe()
	a := NewAsyncWriter(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLines {
			_, err := a.Write([]byte("line\n"))
			assert.Check(t, err)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked on the reader of the output")
	}
	assert.Assert(t, a.Dropped() >= maxQueuedLines)
	r.Close()
	a.Close(time.Second)
}

func TestWriterCanBeClosedTwice(t *testing.T) {
	var out bytes.Buffer
	a := NewAsyncWriter(&out)
	_, err := a.Write([]byte("line\n"))
	assert.NilError(t, err)
	a.Close(10 * time.Second)
	a.Close(10 * time.Second)
	assert.Equal(t, out.String(), "line\n")
}

func BenchmarkLine(b *testing.B) {
	log := slog.New(NewRateLimitedHandler(slog.NewJSONHandler(NewAsyncWriter(io.Discard), nil)))
	for b.Loop() {
		log.Info("request failed", "request", "9c41d07be2a35f68", "status", 503, "endpoint", "i-7f3a91c2", "sends", 1)
	}
}
