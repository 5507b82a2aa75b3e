package httpstatus

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a status that promises more, or less, than the callers' protocol says.
func TestPromisesNotRun(t *testing.T) {
	promising := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for status := 100; status < 600; status++ {
		assert.Equal(t, PromisesNotRun(status), promising[status], http.StatusText(status))
	}
}
