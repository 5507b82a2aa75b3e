package cloud

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a silent store that waits for the end of a connection without
// reading the request body. It never detected the close, and the soak test hung
// in its cleanup.
func TestSilentStoreDetectsClosedConnection(t *testing.T) {
	s := NewStore()
	s.Fail(Silent)
	client := &http.Client{Timeout: 50 * time.Millisecond}
	_, err := client.Post(s.Server.URL+"/rows-tx", "application/json", strings.NewReader(strings.Repeat(" ", 1<<20)))
	assert.Assert(t, err != nil)
	closed := make(chan struct{})
	go func() {
		s.Server.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the store did not close within 10 s")
	}
}
