package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// noAnswers are answers whose head is no answer in the protocol, by what is wrong.
var noAnswers = map[string]string{
	"000": "HTTP/1.1 000 OK", "001": "HTTP/1.1 001 OK", "099": "HTTP/1.1 099 OK", "600": "HTTP/1.1 600 OK", "999": "HTTP/1.1 999 OK",
	"sign": "HTTP/1.1 +20 OK", "minus": "HTTP/1.1 -00 OK", "version": "HTTP/3.0 200 OK", "HTTP/2": "HTTP/2.0 200 OK", "version and status": "HTTP/0.9 503 OK",
}

const sealedRest = "\r\nX-Id: %ID%\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 18\r\n\r\nid: 1\ndata: {}\n\n\n\n"

// Guards against a handler that ends by a panic, and a caller's connection that ends
// without an answer, because an endpoint answers with a status of 000, and against
// statuses beyond 599 that are passed on. The request may have run.
func TestStatusThatIsNoAnswerIsABreak(t *testing.T) {
	for name, head := range noAnswers {
		for _, path := range []string{"/once/", "/safe/", "/stream/", "/fixed/"} {
			t.Run(name+path, func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					s := newHarnessWith(t, newPipes(), 0)
					s.add(writeRaw(t, head+sealedRest))
					status, body, header, err := s.do(s.request(http.MethodPost, path))
					assert.NilError(t, err, "the caller's connection ended without an answer")
					assert.Equal(t, status, http.StatusBadGateway, "%q", body)
					assert.Equal(t, header.Get("X-Seal"), "")
				})
			})
		}
	}
}

// What may be repeated is sent to another endpoint, and what may not be isn't. The
// endpoint gives back its place, and one that goes on answering so is avoided.
func TestRequestsGoOnElsewhereAfterAStatusThatIsNoAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newHarnessWith(t, newPipes(), 0)
		odd := s.add(writeRaw(t, "HTTP/1.1 000 OK"+sealedRest))
		sound := s.add(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("fine")) })
		s.state.Locked(func(st LockedState) { st.Targets.SetNodes(st.Now, 1, 0) })
		failed := 0
		for i := range 40 {
			status, _, _, err := s.do(s.request(http.MethodPost, "/safe/", "X-Id", fmt.Sprint("safe-", i)))
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			before := odd.runs.Load() + sound.runs.Load()
			status, _, _, err = s.do(s.request(http.MethodPost, "/once/", "X-Id", fmt.Sprint("once-", i)))
			assert.NilError(t, err)
			assert.Assert(t, status == http.StatusOK || status == http.StatusBadGateway, "%d", status)
			assert.Equal(t, odd.runs.Load()+sound.runs.Load(), before+1, "sent more than once")
			if status != http.StatusOK {
				failed++
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, odd.runs.Load() > 0)
		assert.Assert(t, failed < 20, "%d of 40 requests failed at an endpoint that only fails", failed)
	})
}
