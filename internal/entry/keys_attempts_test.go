package entry

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

// sends collects the headers and trailers of all sends of a request.
type sends struct {
	mu       sync.Mutex
	headers  []http.Header
	trailers []http.Header
}

// record reads a request whole and keeps its header and trailer. It returns the number
// of sends so far.
func (s *sends) record(r *http.Request) int {
	buf := make([]byte, 1<<10)
	for {
		if _, err := r.Body.Read(buf); err != nil {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.headers = append(s.headers, r.Header.Clone())
	s.trailers = append(s.trailers, r.Trailer.Clone())
	return len(s.headers)
}

// check fails unless each of n sends names the account and none holds a key.
func (s *sends) check(t *testing.T, n int, account string) {
	t.Helper()
	assert.Equal(t, len(s.headers), n)
	for i, header := range s.headers {
		assert.DeepEqual(t, header.Values("X-Account"), []string{account})
		for field, values := range header {
			assert.Assert(t, !holdsKey(values), "send %d, %s: %q", i, field, values)
		}
		assert.Equal(t, len(s.trailers[i]), 0)
	}
}

// Guards against a later send of a request that is built from the caller's header
// once more, with its key or with an account that the caller names.
func TestEverySendNamesTheAccountAndNoKey(t *testing.T) {
	for name, path := range map[string]string{"retried": "/safe/", "resumed stream": "/stream/", "public route": "/open/"} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t)
			var got sends
			handler := func(w http.ResponseWriter, r *http.Request) {
				if got.record(r) > 1 {
					sendText(pieces(4, 5))(w, r)
					return
				}
				breakAfter(pieces(1, 3))(w, r)
			}
			s.add(handler)
			s.add(handler)
			_, _, _, _ = s.do(s.request(http.MethodPost, path, "X-Account", "forged", "Connection", "X-Account"))
			got.check(t, 2, "acc")
		})
	}
}

// Guards against a key or an account that reaches an endpoint in the trailer of a
// chunked body.
func TestTrailersAreNotForwarded(t *testing.T) {
	s := newHarness(t)
	var got sends
	s.add(func(w http.ResponseWriter, r *http.Request) {
		got.record(r)
		answerOK(w, r)
	})
	req := s.request(http.MethodPost, "/once/")
	body := &trailingBody{Reader: strings.NewReader("order"), trailer: func() {
		req.Trailer.Set("Authorization", "Bearer key")
		req.Trailer.Set("X-Account", "forged")
	}}
	req.Body, req.ContentLength = body, -1
	req.Trailer = http.Header{"Authorization": nil, "X-Account": nil}
	status, _, _, err := s.do(req)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	got.check(t, 1, "acc")
}

// trailingBody sets the trailer when its content has been read.
type trailingBody struct {
	*strings.Reader
	trailer func()
}

// Read implements io.Reader.
func (b *trailingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.trailer()
	}
	return n, err
}

// Close implements io.Closer.
func (*trailingBody) Close() error { return nil }

// Guards against a request that bears the keys of two accounts and runs under one that
// neither key belongs to, or under both.
func TestTwoKeysNameOneAccount(t *testing.T) {
	s := newHarness(t)
	var got sends
	s.add(func(w http.ResponseWriter, r *http.Request) {
		got.record(r)
		answerOK(w, r)
	})
	s.configureAccounts(2, catalog.AccountList(
		catalog.Account{Name: "acc", Keys: []string{"first-key"}}, catalog.Account{Name: "other", Keys: []string{"second-key"}}))
	req := s.request(http.MethodPost, "/once/")
	req.Header["Authorization"] = []string{"Bearer first-key", "Bearer second-key"}
	status, _, _, err := s.do(req)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	got.check(t, 1, "acc")
}
