package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/endpoint"
)

// newStreamTarget returns a target that answers each call by the handler, an engine
// or another entry VM.
func newStreamTarget(t *testing.T, peer bool, handler http.HandlerFunc) Target {
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	return Target{Endpoint: "s1", Address: strings.TrimPrefix(srv.URL, "http://"), Peer: peer}
}

// sendStream returns a handler that sends the text as an event stream.
func sendStream(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
	}
}

// breakAfter returns a handler that breaks its stream off after the text.
func breakAfter(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sendStream(text)(w, r)
		panic(http.ErrAbortHandler)
	}
}

// pieces returns the events with ids from through to.
func pieces(from, to int) string {
	out := &strings.Builder{}
	for id := from; id <= to; id++ {
		fmt.Fprintf(out, "id: %d\ndata: piece-%d\n\n", id, id)
	}
	return out.String()
}

// askStream returns the body of a completion whose attempts are answered by the
// handlers in turn, at engines or at other entry VMs.
func askStream(t *testing.T, peer bool, handlers ...http.HandlerFunc) string {
	t.Helper()
	b := &fakeBackend{}
	for _, handler := range handlers {
		b.targets = append(b.targets, newStreamTarget(t, peer, handler))
	}
	w := do(newTestServer(b, io.Discard), http.MethodPost, "/v1/completions", `{"model":"m","prompt":"p","stream":true}`)
	assert.Equal(t, w.Code, http.StatusOK, w.Body)
	return w.Body.String()
}

// assertInterrupted fails unless the wanted events are followed by an error event
// and nothing else.
func assertInterrupted(t *testing.T, body, want string) {
	t.Helper()
	rest, ok := strings.CutPrefix(body, want)
	assert.Assert(t, ok, body)
	assert.Assert(t, strings.HasPrefix(rest, "event: error\ndata: {"), body)
	assert.Equal(t, strings.Count(rest, "\n\n"), 1, body)
	assert.Assert(t, !strings.Contains(body, streamEnd), body)
	assert.Assert(t, !strings.Contains(body, "overloaded"), body)
}

// Guards against an engine's error, or another server's, inside a resumed stream.
func TestErrorResponseEndsNoStreamAsComplete(t *testing.T) {
	status := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(status)
			_, _ = io.WriteString(w, pieces(4, 5)+"data: [DONE]\n\n")
		}
	}
	for name, second := range map[string]http.HandlerFunc{
		"failure":   status(http.StatusInternalServerError),
		"not found": status(http.StatusNotFound),
		"accepted":  status(http.StatusAccepted),
		"redirect":  status(http.StatusFound),
		"problem": func(w http.ResponseWriter, _ *http.Request) {
			_ = ServeProblem(w, problem.New(problem.NoEndpoint, "full", "retry"))
		},
		"JSON":         sendStream(`{"error":"overloaded"}` + "\n\n"),
		"head":         sendStream("HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n\r\noverloaded\r\n\r\n"),
		"error event":  sendStream("event: error\ndata: overloaded\n\ndata: [DONE]\n\n"),
		"without id":   sendStream("data: overloaded\n\ndata: [DONE]\n\n"),
		"other id":     sendStream("id: e7\ndata: overloaded\n\ndata: [DONE]\n\n"),
		"empty":        sendStream(""),
		"inside event": sendStream("id: 4\ndata: overloaded"),
		"gap":          sendStream("id: 5\ndata: overloaded\n\ndata: [DONE]\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			for _, peer := range []bool{false, true} {
				assertInterrupted(t, askStream(t, peer, breakAfter(pieces(1, 3)), second, second), pieces(1, 3))
			}
		})
	}
}

// Guards against a piece that is dropped because it has no id of its own, before an
// end that looks complete.
func TestEventWithoutOwnIDInterruptsStream(t *testing.T) {
	for name, text := range map[string]string{
		"error":       "data: {\"error\":\"overloaded\"}\n\n",
		"repeated id": "id: 3\ndata: overloaded\n\n",
		"starts over": pieces(1, 2),
	} {
		t.Run(name, func(t *testing.T) {
			first := sendStream(pieces(1, 3) + text + "data: [DONE]\n\n")
			assertInterrupted(t, askStream(t, false, first, breakAfter(""), breakAfter("")), pieces(1, 3))
		})
	}
}

// Guards against pieces of another run of the request inside a resumed stream.
func TestResumedStreamThatStartsOverIsInterrupted(t *testing.T) {
	second := sendStream(pieces(1, 5) + "data: [DONE]\n\n")
	assertInterrupted(t, askStream(t, false, breakAfter(pieces(1, 3)), second, second), pieces(1, 3))
}

// Guards against a stream that isn't resumed at another engine after an error event.
func TestStreamIsResumedAfterErrorEvent(t *testing.T) {
	engine := func(incarnation, text string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(endpoint.HeaderIncarnation, incarnation)
			sendStream(text)(w, r)
		}
	}
	first := engine("i1", pieces(1, 3)+"event: error\ndata: overloaded\n\n")
	second := engine("i2", pieces(4, 5)+"data: [DONE]\n\n")
	assert.Equal(t, askStream(t, false, first, second), pieces(1, 5)+"data: [DONE]\n\n")
}

// Guards against events that lose all lines of their data but the first.
func TestEventWithSeveralLinesOfData(t *testing.T) {
	text := "id: 1\ndata: a\ndata: b\ndata:\ndata: id: 7\n\ndata: [DONE]\n\n"
	assert.Equal(t, askStream(t, false, sendStream(text)), strings.ReplaceAll(text, "data:\n", "data: \n"))
}

// Guards against events that are empty and taken for pieces without an id.
func TestEventsWithoutDataContinueStream(t *testing.T) {
	text := pieces(1, 2) + "event: ping\n\n: waiting\n\n" + pieces(3, 3) + "data: [DONE]\n\n"
	assert.Equal(t, askStream(t, false, sendStream(text)), pieces(1, 3)+"data: [DONE]\n\n")
}
