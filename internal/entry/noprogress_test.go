package entry

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a plain request that is taken from a silent endpoint although no
// other one could answer it.
func TestSilenceEndsNoPlainRequestWithoutAnotherEndpoint(t *testing.T) {
	s := newHarness(t)
	s.add(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(600 * time.Millisecond): // of the route's timeout of one second
			answerOK(w, r)
		case <-r.Context().Done():
		}
	})
	status, body, _, err := s.do(s.request(http.MethodPost, "/safe/"))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK, body)
}
