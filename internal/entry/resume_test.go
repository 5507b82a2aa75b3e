package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// pieces returns the events with IDs from through to, as in writeEvents.
func pieces(from, to int) string {
	out := &strings.Builder{}
	for id := from; id <= to; id++ {
		fmt.Fprintf(out, "id: %d\ndata: piece-%d\n\n", id, id)
	}
	return out.String()
}

// sendText returns a handler that sends the text as an event stream.
func sendText(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
	}
}

// breakAfter returns a handler that breaks its response off after the text.
func breakAfter(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sendText(text)(w, r)
		panic(http.ErrAbortHandler)
	}
}

// askTwice sends a request for a stream, whose first send is answered by first and
// the second one by second. The error says that the answer looks incomplete.
func askTwice(t *testing.T, first, second http.HandlerFunc) (body string, sends int32, err error) {
	t.Helper()
	s := newHarness(t)
	var count atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if count.Add(1) == 1 {
			first(w, r)
			return
		}
		second(w, r)
	}
	s.add(handler)
	s.add(handler)
	status, body, _, err := s.do(s.request(http.MethodPost, "/stream/"))
	assert.Equal(t, status, http.StatusOK)
	return body, count.Load(), err
}

// assertBroken fails unless the answer looks incomplete and has just the wanted text.
func assertBroken(t *testing.T, body, want string, err error) {
	t.Helper()
	assert.Assert(t, err != nil, "the response looks complete: %q", body)
	assert.Equal(t, body, want)
}

// Guards against the error response of a second endpoint inside a stream.
func TestErrorResponseEndsNoStreamAsComplete(t *testing.T) {
	for name, status := range map[string]int{
		"redirect": http.StatusFound, "client error": http.StatusNotFound, "not run": http.StatusMisdirectedRequest,
		"too many": http.StatusTooManyRequests, "failure": http.StatusInternalServerError, "bad gateway": http.StatusBadGateway,
	} {
		t.Run(name, func(t *testing.T) {
			body, _, err := askTwice(t, breakAfter(pieces(1, 3)), func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.WriteHeader(status)
				_, _ = io.WriteString(w, "data: overloaded\n\n"+pieces(4, 5))
			})
			assertBroken(t, body, pieces(1, 3), err)
		})
	}
}

// Guards against a second response that no endpoint sealed inside a stream.
func TestUnsealedResponseContinuesNoStream(t *testing.T) {
	body, _, err := askTwice(t, breakAfter(pieces(1, 3)), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del("X-Seal")
		writeEvents(w, 4, 5, true)
	})
	assertBroken(t, body, pieces(1, 3), err)
}

// Guards against text that is no event inside a stream.
func TestTextWithoutEventsDoesNotReachStream(t *testing.T) {
	for name, text := range map[string]string{
		"text":                   "upstream connect error\n\n",
		"JSON":                   "{\"error\": \"overloaded\"}\r\n\r\n",
		"head":                   "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbusy\n\n",
		"head of a stream":       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + pieces(4, 5),
		"text after events":      pieces(4, 5) + "stream reset\n\n",
		"text between events":    pieces(4, 4) + "stream reset\n\n" + pieces(5, 5),
		"text without its end":   "upstream connect error",
		"text below a comment":   ": waiting\n\nupstream connect error\n\n",
		"head after the last ID": pieces(4, 5) + "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n" + pieces(1, 6),
	} {
		t.Run(name, func(t *testing.T) {
			want := pieces(1, 3)
			for id := 4; strings.HasPrefix(strings.TrimPrefix(text, pieces(4, id-1)), pieces(id, id)); id++ {
				want += pieces(id, id)
			}
			body, _, err := askTwice(t, breakAfter(pieces(1, 3)), sendText(text))
			assertBroken(t, strings.ReplaceAll(body, ": waiting\n\n", ""), want, err)
		})
	}
}

// Guards against text behind the events of the first response.
func TestTextAmidEventsIsNotForwarded(t *testing.T) {
	body, sends, err := askTwice(t, sendText(pieces(1, 3)+"HTTP/1.1 502 Bad Gateway\r\nX-Id: other\r\n\r\nbad gateway\n\n"), sendText(pieces(4, 5)))
	assert.NilError(t, err)
	assert.Equal(t, body, pieces(1, 5))
	assert.Equal(t, sends, int32(2))
}

// Guards against an error that is sent as an event without an ID inside a stream.
func TestEventWithoutIDContinuesNoNumberedStream(t *testing.T) {
	for name, text := range map[string]string{
		"data":         "data: overloaded\n\n",
		"error":        "event: error\ndata: {\"error\": \"overloaded\"}\n\n",
		"empty ID":     "id:\ndata: overloaded\n\n",
		"other ID":     "id: e7\ndata: overloaded\n\n",
		"after events": pieces(4, 4) + "event: error\ndata: overloaded\n\n" + pieces(5, 5),
	} {
		t.Run(name, func(t *testing.T) {
			want := pieces(1, 3)
			if strings.HasPrefix(text, pieces(4, 4)) {
				want = pieces(1, 4)
			}
			body, _, err := askTwice(t, breakAfter(pieces(1, 3)), sendText(text))
			assertBroken(t, body, want, err)
		})
	}
}

// Guards against pieces that come twice because the first response has no IDs by
// which it could be resumed.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	for name, text := range map[string]string{
		"no IDs":             "data: piece-1\n\ndata: piece-2\n\n",
		"other IDs":          "id: a\ndata: piece-1\n\nid: b\ndata: piece-2\n\n",
		"none on the latest": pieces(1, 2) + "data: piece-3\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			body, sends, err := askTwice(t, breakAfter(text), sendText(text))
			assertBroken(t, body, text, err)
			assert.Equal(t, sends, int32(1))
		})
	}
}

// Guards against a missing piece, and against pieces of another run.
func TestEventsThatDoNotContinueAreNotForwarded(t *testing.T) {
	for name, c := range map[string]struct{ first, second, want string }{
		"gap at once":        {pieces(1, 3), pieces(5, 6), pieces(1, 3)},
		"gap later":          {pieces(1, 3), pieces(4, 4) + pieces(6, 6), pieces(1, 4)},
		"gap after one":      {pieces(1, 1), pieces(3, 4), pieces(1, 1)},
		"starts over":        {pieces(1, 3), pieces(1, 5), pieces(1, 3)},
		"starts at the last": {pieces(1, 3), pieces(3, 5), pieces(1, 3)},
		"starts over later":  {pieces(1, 3), pieces(4, 5) + pieces(1, 7), pieces(1, 5)},
		"uneven, goes back":  {pieces(2, 2) + pieces(5, 5), pieces(4, 6), pieces(2, 2) + pieces(5, 5)},
	} {
		t.Run(name, func(t *testing.T) {
			body, _, err := askTwice(t, breakAfter(c.first), sendText(c.second))
			assertBroken(t, body, c.want, err)
		})
	}
}

// Guards against ending streams whose IDs increase by more than one.
func TestUnevenIDsAreResumed(t *testing.T) {
	first, second := pieces(2, 2)+pieces(5, 5), pieces(9, 9)+pieces(20, 20)
	body, _, err := askTwice(t, breakAfter(first), sendText(second))
	assert.NilError(t, err)
	assert.Equal(t, body, first+second)
}

// Guards against a stream that the caller resumes and whose endpoint starts over.
func TestCallersResumptionThatStartsOver(t *testing.T) {
	s := newHarness(t)
	var sends atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if sends.Add(1) == 1 {
			sendText(pieces(1, 5))(w, r)
			return
		}
		sendText(pieces(4, 5))(w, r)
	}
	s.add(handler)
	s.add(handler)
	status, body, _, err := s.do(s.request(http.MethodPost, "/stream/", "Last-Event-Id", "3"))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, pieces(4, 5))
	assert.Equal(t, sends.Load(), int32(2))
}

// Guards against pieces of another answer in a first response.
func TestResponseThatStartsOverWithinItselfIsResumed(t *testing.T) {
	body, sends, err := askTwice(t, sendText(pieces(1, 3)+pieces(2, 6)), sendText(pieces(4, 5)))
	assert.NilError(t, err)
	assert.Equal(t, body, pieces(1, 5))
	assert.Equal(t, sends, int32(2))
}

// Guards against a second response of another kind that ends a stream as complete.
func TestResponseOfAnotherKindEndsNoStreamAsComplete(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"no content": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusNoContent)
		},
		"accepted": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusAccepted)
		},
		"no type": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "0") },
		"text": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/plain")
			_, _ = io.WriteString(w, pieces(4, 5))
		},
		"JSON without a body": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", "0")
		},
	} {
		t.Run(name, func(t *testing.T) {
			body, _, err := askTwice(t, breakAfter(pieces(1, 3)), handler)
			assertBroken(t, body, pieces(1, 3), err)
		})
	}
}

// Guards against a connection that ends before the first event and completes a stream.
func TestUnframedResponseWithoutEventsEndsNoStreamAsComplete(t *testing.T) {
	for name, text := range map[string]string{"nothing": "", "comment": ": waiting\n\n"} {
		t.Run(name, func(t *testing.T) {
			body, _, err := askTwice(t, breakAfter(pieces(1, 3)), unframed(sendText(text)))
			assertBroken(t, strings.TrimSuffix(body, text), pieces(1, 3), err)
		})
	}
}

// Guards against an empty response that completes a stream of which more is known.
func TestEmptyResponseEndsNoStreamInsideEvent(t *testing.T) {
	for name, rest := range map[string]string{"in its ID": "id: 4", "in its data": "id: 4\ndata: pie", "after its data": "id: 4\ndata: piece-4\n"} {
		t.Run(name, func(t *testing.T) {
			body, _, err := askTwice(t, breakAfter(pieces(1, 3)+rest), sendText(""))
			assertBroken(t, body, pieces(1, 3), err)
		})
	}
}

// Guards against breaking off a stream whose last event had arrived.
func TestStreamWithoutAnythingLeftIsComplete(t *testing.T) {
	for name, rest := range map[string]string{"after its last event": "", "in a comment": ": wait"} {
		t.Run(name, func(t *testing.T) {
			body, sends, err := askTwice(t, breakAfter(pieces(1, 3)+rest), sendText(""))
			assert.NilError(t, err)
			assert.Equal(t, body, pieces(1, 3))
			assert.Equal(t, sends, int32(2))
		})
	}
}

// Guards against endings that are taken for errors in streams that go on.
func TestCommentsAndRetryContinueStream(t *testing.T) {
	body, _, err := askTwice(t, breakAfter(": first\n\n"+pieces(1, 3)), sendText("retry: 100\n\n: waiting\n\n"+"version: 2\n"+pieces(4, 5)+"\n\n"))
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(body, "data: piece-"), 5)
	assert.Assert(t, strings.Contains(body, "version: 2\n"+pieces(4, 5)))
}
