package cloud

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A silent store waited for the end of a connection whose request it had not
// read, which it never noticed: the soak hung in its cleanup.
func TestSilentStoreNoticesThatTheCallerIsGone(t *testing.T) {
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
		t.Fatal("the store does not close")
	}
}
