package entry

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// doubtAll makes all answers doubtful, and returns their number.
func (s *harness) doubtAll() int {
	s.state.Locked(func(st LockedState) {
		for _, vm := range st.VMs.All() {
			for range 2 {
				st.VMs.RecordProbeFailure(st.Now.Add(-time.Second), vm.ID)
			}
		}
	})
	n := 0
	losses := s.state.Tick()
	s.state.Locked(func(st LockedState) { // they answer again, so that they may be picked
		for _, vm := range st.VMs.All() {
			vm.FailedProbes = 0
		}
	})
	s.state.Locked(func(LockedState) { s.state.targetsOutdated = true })
	s.state.Tick()
	for _, l := range losses {
		if !l.Reason.IsCertain() {
			n++
			l.Ticket.Doubt(l.Reason)
		}
	}
	return n
}

// Guards against a failed standby attempt that isn't counted before the next attempt.
func TestFailedStandbyCountsAsAnAttempt(t *testing.T) {
	s := newHarness(t)
	var runs atomic.Int32
	release, failed := make(chan struct{}), make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch runs.Add(1) {
		case 1:
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprintf(w, "id: 1\ndata: piece-1\n\n")
			_ = http.NewResponseController(w).Flush()
			<-release
			panic(http.ErrAbortHandler)
		case 2:
			w.WriteHeader(http.StatusInternalServerError)
			close(failed)
		default:
			writeEvents(w, lastEvent(r)+1, 5, true)
		}
	}
	for range 3 {
		s.add(handler)
	}
	resp, err := s.client.RoundTrip(s.request(http.MethodPost, "/stream/"))
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, s.doubtAll(), 1)
	<-failed
	time.Sleep(200 * time.Millisecond) // the standby attempt has ended
	close(release)
	_, _ = io.ReadAll(resp.Body)
	assert.Equal(t, runs.Load(), int32(2), "endpoints that ran it; the route allows two attempts")
}
