package wire

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Connections end even if nobody reads that they were closed.
func TestEndlessServesManyConnections(t *testing.T) {
	e := &Endless{pieces: []byte("x"), closed: make(chan struct{}, maxClosed)}
	var served sync.WaitGroup
	for range maxClosed + 10 {
		client, server := net.Pipe()
		served.Go(func() { e.write(server) })
		client.Close()
	}
	ended := make(chan struct{})
	go func() {
		served.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("connections have not ended within 10 s")
	}
	assert.Equal(t, len(e.Closed()), maxClosed)
}
