package entry

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// windowRepeats returns how many repeats the budget counts now.
func (s *harness) windowRepeats() (n int) {
	s.state.Locked(func(st LockedState) { n = st.Targets.RepeatUse(st.Now, "shop", false).Repeats })
	return n
}

func TestRepeatThatWaitedForAPlaceIsCountedWhenItIsSent(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newHarnessWith(t, newPipes(), 0)
		s.add(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "id: 1\ndata: a\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
			panic(http.ErrAbortHandler)
		})
		const wait = 3 * time.Second
		began := time.Now()
		time.AfterFunc(wait, func() {
			s.add(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "id: 2\ndata: b\n\n") })
		})
		_, body, _, err := s.do(s.request(http.MethodPost, "/long/"))
		assert.NilError(t, err)
		assert.Equal(t, body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		assert.Assert(t, time.Since(began) >= wait)
		time.Sleep(9 * time.Second)
		assert.Equal(t, s.windowRepeats(), 1, "sent 9 s ago")
	})
}

func TestEverySendBeyondTheFirstIsCounted(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"breaks": abort,
		"busy":   refuseBusy,
		"fails":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"stops": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "id: 1\ndata: a\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
	}
	for _, path := range []string{"/safe/", "/once/", "/long/"} {
		for name, handler := range handlers {
			t.Run(name+path, func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					s := newHarnessWith(t, newPipes(), 0)
					var mu sync.Mutex
					arrivals := make(map[string]int) // by request
					for range 4 {
						s.add(func(w http.ResponseWriter, r *http.Request) {
							mu.Lock()
							arrivals[r.Header.Get("X-Id")]++
							mu.Unlock()
							handler(w, r)
						})
					}
					const requests = 30
					for i := range requests {
						req := s.request(http.MethodPost, path, "X-Id", fmt.Sprint("id-", i))
						if resp, err := s.client.RoundTrip(req); err == nil {
							_, _ = io.Copy(io.Discard, resp.Body) // a caller that left would end a send before its arrival
							resp.Body.Close()
						}
						time.Sleep(100 * time.Millisecond)
					}
					beyondFirst := 0
					for _, n := range arrivals {
						beyondFirst += n - 1
					}
					assert.Equal(t, s.windowRepeats(), beyondFirst)
				})
			})
		}
	}
}
