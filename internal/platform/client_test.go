package platform

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// roundTrip is a transport that is a function.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func respond(status int, body string) (*http.Response, error) {
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// TestClientLeavesURLWithoutAnswer checks that the call after one without an
// answer goes to another URL.
func TestClientLeavesURLWithoutAnswer(t *testing.T) {
	silent := func(r *http.Request) (*http.Response, error) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	for name, tc := range map[string]struct {
		broken roundTrip
		want   error
	}{
		"error status": {func(*http.Request) (*http.Response, error) { return respond(http.StatusInternalServerError, "") }, ErrUnknown},
		"not JSON":     {func(*http.Request) (*http.Response, error) { return respond(http.StatusOK, "<html>") }, ErrUnknown},
		"no response": {func(r *http.Request) (*http.Response, error) {
			httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
			return silent(r)
		}, ErrUnknown},
		"no connection": {silent, ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			asked := map[string]int{}
			client := NewClient(ClientOptions{
				URLs: []string{"http://broken", "http://good"}, Timeout: 50 * time.Millisecond,
				Transport: roundTrip(func(r *http.Request) (*http.Response, error) {
					asked[r.URL.Host]++
					if r.URL.Host == "broken" {
						return tc.broken(r)
					}
					if err := r.Context().Err(); err != nil {
						return nil, err
					}
					return respond(http.StatusOK, `{"revision":7}`)
				}),
			})
			_, err := client.Commit(t.Context(), Txn{})
			assert.ErrorIs(t, err, tc.want)
			for range 2 {
				revision, err := client.Commit(t.Context(), Txn{})
				assert.NilError(t, err)
				assert.Equal(t, revision, uint64(7))
			}
			assert.DeepEqual(t, asked, map[string]int{"broken": 1, "good": 2})
		})
	}
}
