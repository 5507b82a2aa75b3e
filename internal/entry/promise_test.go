package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/httpstatus"
)

// promisingStatuses are the statuses that promise that a request has not run, but
// for 421, by which an endpoint itself states that it did not run it.
var promisingStatuses = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Guards against a request that ran at an endpoint and is answered with that endpoint's
// status, by which the caller may send it again.
func TestRequestThatRanIsNotAnsweredAsNotRun(t *testing.T) {
	for _, path := range []string{"/once/", "/fixed/"} {
		for _, sent := range promisingStatuses {
			t.Run(path+strconv.Itoa(sent), func(t *testing.T) {
				s := newHarness(t)
				e := s.add(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Retry-After", "1")
					w.WriteHeader(sent)
					_, _ = w.Write([]byte("failed"))
				})
				status, body, header, err := s.do(s.request(http.MethodPost, path))
				assert.NilError(t, err)
				assert.Equal(t, e.runs.Load(), int32(1))
				assert.Equal(t, status, http.StatusBadGateway)
				assert.Equal(t, header.Get("X-Seal"), "", "the answer is this node's own")
				assert.Equal(t, header.Get("X-Id"), "id-1")
				assert.Assert(t, body != "failed")
			})
		}
	}
}

// Guards against a final answer that forgets that an earlier endpoint may have run the
// request: the last one to be asked states that it did not.
func TestEarlierRunIsRememberedWhenTheLastEndpointRefuses(t *testing.T) {
	s := newHarness(t)
	var sent atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if sent.Add(1) == 1 {
			abort(w, r)
		}
		refuseBusy(w, r)
	}
	s.add(handler)
	s.add(handler)
	status, _, _, err := s.do(s.request(http.MethodGet, "/safe/"))
	assert.NilError(t, err)
	assert.Assert(t, sent.Load() > 1)
	assert.Assert(t, !httpstatus.PromisesNotRun(status), "status %d", status)
}

// Guards against a stream that ran at a standby attempt's endpoint and is answered as
// not run, since its own endpoint refused it in the end.
func TestRunOfAStandbyIsRememberedWhenTheOwnEndpointRefuses(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newHarnessWith(t, newPipes(), 0)
		var sent atomic.Int32
		first, release, failed := make(chan struct{}), make(chan struct{}), make(chan struct{})
		handler := func(w http.ResponseWriter, r *http.Request) {
			switch sent.Add(1) {
			case 1:
				close(first)
				<-release
				refuseBusy(w, r)
			case 2:
				defer close(failed)
				w.WriteHeader(http.StatusInternalServerError)
			default:
				refuseBusy(w, r)
			}
		}
		for range 3 {
			s.add(handler)
		}
		answered := make(chan int, 1)
		go func() {
			status, _, _, _ := s.do(s.request(http.MethodPost, "/stream/"))
			answered <- status
		}()
		<-first
		assert.Equal(t, s.doubtAll(), 1)
		<-failed
		synctest.Wait() // the standby attempt has ended
		close(release)
		status := <-answered
		assert.Assert(t, !httpstatus.PromisesNotRun(status), "status %d", status)
	})
}

// Guards against worse answers to requests that may be repeated: their endpoint's own
// failure is delivered, with the time after which it wants to be asked again.
func TestFailureOfARepeatableRequestIsDelivered(t *testing.T) {
	for _, sent := range promisingStatuses {
		t.Run(fmt.Sprint(sent), func(t *testing.T) {
			s := newHarness(t)
			s.add(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "0.7")
				w.WriteHeader(sent)
			})
			status, _, header, err := s.do(s.request(http.MethodGet, "/safe/"))
			assert.NilError(t, err)
			assert.Equal(t, status, sent)
			assert.Equal(t, header.Get("X-Seal"), "seal-of-vm-1")
			assert.Equal(t, header.Get("Retry-After"), "0.7")
		})
	}
}
