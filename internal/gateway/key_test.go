package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a caller's key that goes on to a service or to another entry VM.
func TestKeyIsNeverForwarded(t *testing.T) {
	for _, peer := range []bool{false, true} {
		var got http.Header
		srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.Header.Clone() }))
		b := &fakeBackend{targets: []Target{{Endpoint: "s1", Address: strings.TrimPrefix(srv.URL, "http://"), Peer: peer}}}
		w := do(newTestServer(b, io.Discard), http.MethodPost, "/services/shop/orders", `{}`, "Proxy-Authorization", "Bearer secret-key")
		srv.Close()
		assert.Equal(t, w.Code, http.StatusOK, w.Body)
		for field, values := range got {
			assert.Assert(t, !strings.Contains(strings.Join(values, " "), "secret-key"), "%s: %q", field, values)
		}
	}
}
