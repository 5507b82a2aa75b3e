package peers

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/probe"
	"github.com/pimentoshore/pimentoshore/internal/transport"
)

// Guards against an entry VM whose answer has no end, of which the one that asks keeps
// all.
func TestEndlessAnswerOfAnEntryVMIsRefused(t *testing.T) {
	const limit = 4 << 20
	var sent atomic.Int64
	ended := make(chan struct{})
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		w.Header().Set("Content-Type", "application/protobuf")
		piece := make([]byte, 64<<10)
		for {
			n, err := w.Write(piece)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	srv.Config.Protocols = &http.Protocols{}
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	defer srv.Close()
	tr := transport.NewHTTP2(nil)
	tr.LimitBodies(limit, 2*limit)
	c := NewClient("b", "praha", tr)
	_, err := c.Reports(context.Background(), strings.TrimPrefix(srv.URL, "http://"), probe.Request{})
	assert.ErrorContains(t, err, "over the limit")
	<-ended
	assert.Assert(t, sent.Load() < 3*limit, "%d bytes were taken", sent.Load())
}
