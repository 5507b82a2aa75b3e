package platform

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/standin/heap"
	"github.com/pimentoshore/pimentoshore/internal/standin/wire"
)

// Guards against answers of the table service without end, of which an entry VM keeps
// all, also when several are read at once.
func TestEndlessAnswersOfTheTableAreRefused(t *testing.T) {
	const calls, maxHeap = 12, 400 << 20
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		wire.Flood(w, `{"rows":[{"key":"`, make([]byte, 64<<10))
	}))
	defer srv.Close()
	c := NewClient(ClientOptions{URLs: []string{srv.URL}, Timeout: time.Minute})
	watch := heap.NewWatch()
	defer watch.Stop()
	failed := make(chan error, calls)
	for range calls {
		go func() {
			_, err := c.Get(context.Background(), "a")
			failed <- err
		}()
	}
	for range calls {
		assert.Assert(t, errors.Is(<-failed, ErrUnavailable))
	}
	peak := watch.Peak()
	assert.Assert(t, peak < maxHeap, "the heap grew to %d MB", peak>>20)
	_, err := c.Commit(context.Background(), Txn{})
	assert.Assert(t, errors.Is(err, ErrUnknown), "the transaction may have been applied: %v", err)
}
