package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a standby attempt that takes a stream over with a comment.
func TestCommentDoesNotTakeAStreamOver(t *testing.T) {
	s := newHarness(t)
	var runs atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if runs.Add(1) > 1 {
			fmt.Fprintf(w, ": queued\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, "id: 1\ndata: piece-1\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(500 * time.Millisecond):
			writeEvents(w, 2, 5, true)
		case <-r.Context().Done():
		}
	}
	s.add(handler)
	s.add(handler)
	resp, err := s.client.RoundTrip(s.request(http.MethodPost, "/stream/"))
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, s.doubtAll(), 1)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(body), "data: piece-"), 5)
}
