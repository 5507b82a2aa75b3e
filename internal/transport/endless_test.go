package transport

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/standin/wire"
)

// Guards against a head without end of which a client keeps all.
func TestEndlessHeadIsRefused(t *testing.T) {
	const maxRead = 4 * bodylimit.MaxHead // net/http reads ahead
	for name, a := range map[string]struct{ beginning, piece string }{
		"status line":  {"HTTP/1.1 200 ", "O"},
		"header line":  {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"header lines": {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			e, err := wire.NewEndless("127.0.0.1", a.beginning, a.piece)
			assert.NilError(t, err)
			defer e.Close()
			c := New(nil)
			req, err := http.NewRequest(http.MethodGet, c.URL(e.Address()), nil)
			assert.NilError(t, err)
			resp, err := c.Do(req)
			if err == nil {
				resp.Body.Close()
			}
			assert.Assert(t, err != nil, "the head has no end")
			<-e.Closed()
			assert.Assert(t, c.Bytes() < maxRead, "%d bytes were read", c.Bytes())
		})
	}
}
