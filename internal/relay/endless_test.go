package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/updates"
	"github.com/pimentoshore/pimentoshore/internal/standin/wire"
)

// countingWriter counts the bytes written to a response.
type countingWriter struct {
	http.ResponseWriter
	bytes atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes.Add(int64(n))
	return n, err
}

// Guards against a node whose answer has no end, of which the one that asks keeps all.
func TestEndlessAnswerOfANodeIsRefused(t *testing.T) {
	const maxSent = 2 * maxAnswerBytes
	sent := make(chan int64, 1)
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		counter := &countingWriter{ResponseWriter: w}
		wire.Flood(counter, "", make([]byte, 64<<10))
		sent <- counter.bytes.Load()
	}))
	node := updates.Node{VM: "e1", DataCentre: "a", Address: address}
	listener := &fakeNode{}
	f := newTestFollower(patience, listener, node)
	f.ask(context.Background())
	assert.Equal(t, listener.cleared, 1)
	got := <-sent
	assert.Assert(t, got < maxSent, "%d bytes were taken", got)
}
