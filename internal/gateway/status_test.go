package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/standin/wire"
)

// noAnswers are heads that are no answer in the protocol.
var noAnswers = []string{"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 +20 OK", "HTTP/3.0 200 OK"}

// newRawTarget returns a target that answers each request with the bytes.
func newRawTarget(t *testing.T, raw string) Target {
	t.Helper()
	r, err := wire.NewRaw("127.0.0.1", raw)
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return Target{Endpoint: "s1", Address: r.Address()}
}

// Guards against an answer with a status of 000 that is passed on to the caller, or ends
// the handler by a panic. The call may have run.
func TestStatusThatIsNoAnswerIsABreak(t *testing.T) {
	for _, head := range noAnswers {
		for path, body := range map[string]string{
			"/services/shop/returns": `{}`, "/services/shop/orders": `{}`,
			"/v1/completions": `{"model":"m"}`, "/v1/completions?s": `{"model":"m","stream":true}`,
		} {
			target := newRawTarget(t, head+"\r\nContent-Type: text/event-stream\r\nContent-Length: 2\r\n\r\n{}")
			server := newTestServer(&fakeBackend{targets: []Target{target}}, io.Discard)
			w := do(server, http.MethodPost, path, body, headerTimeout, endlessTimeout)
			assert.Equal(t, w.Code, http.StatusBadGateway, "%s %s: %s", head, path, w.Body)
			if strings.HasPrefix(path, "/services/") {
				assert.Assert(t, strings.Contains(w.Body.String(), `"ran":"unknown"`), "%s %s: %s", head, path, w.Body)
			}
			assert.Equal(t, server.answers.Used(), int64(0), "all memory should be released")
		}
	}
}

// Guards against the same in an answer that an earlier version of this program stored.
func TestStoredStatusThatIsNoAnswer(t *testing.T) {
	b := &keyedBackend{stored: StoredAnswer{Status: 0, Header: http.Header{}}}
	w := do(newTestServer(b, io.Discard), http.MethodPost, "/services/shop/returns", `{}`, headerIdempotencyKey, "k")
	assert.Equal(t, w.Code, http.StatusBadGateway, w.Body)
	assert.Assert(t, strings.Contains(w.Body.String(), `"ran":"unknown"`), w.Body)
}

// Guards against the same from another entry VM that answers for a key.
func TestStatusThatIsNoAnswerOfAnEntryVM(t *testing.T) {
	for _, head := range noAnswers {
		target := newRawTarget(t, head+"\r\nContent-Length: 2\r\n\r\n{}")
		target.Peer = true
		b := &forwardingBackend{target: target}
		w := do(newTestServer(b, io.Discard), http.MethodPost, "/services/shop/returns", `{}`, headerIdempotencyKey, "k", headerTimeout, endlessTimeout)
		assert.Equal(t, w.Code, http.StatusConflict, "%s: %s", head, w.Body)
		assert.DeepEqual(t, b.failures, []Outcome{Failed})
	}
}
