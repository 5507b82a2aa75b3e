package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// hangingNetwork is loopback on which dials of one address hang until held is closed.
type hangingNetwork struct {
	loopback
	address atomic.Value // string
	held    chan struct{}
}

func (n *hangingNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	if address == n.address.Load() {
		select {
		case <-n.held:
		case <-ctx.Done():
		}
		return nil, fmt.Errorf("dial %s: timeout", address)
	}
	return n.loopback.dial(ctx, address)
}

// Guards against a request that runs at a standby's endpoint and at one dialled meanwhile.
func TestStandbyOfAnUnreachedEndpointRunsAlone(t *testing.T) {
	for _, dialFails := range []bool{false, true} {
		t.Run(fmt.Sprint("dial fails by itself: ", dialFails), func(t *testing.T) {
			n := &hangingNetwork{held: make(chan struct{})}
			n.address.Store("")
			s := newHarnessWith(t, n, 0)
			var runs atomic.Int32
			handler := func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				if dialFails {
					time.Sleep(300 * time.Millisecond)
				}
				writeEvents(w, 1, 3, true)
			}
			first := s.add(handler)
			n.address.Store(strings.TrimPrefix(first.URL, "http://"))
			done := make(chan string)
			go func() {
				_, body, _, _ := s.do(s.request(http.MethodPost, "/stream/"))
				done <- body
			}()
			time.Sleep(100 * time.Millisecond)
			s.add(handler)
			s.add(handler)
			assert.Equal(t, s.doubtAll(), 1)
			if dialFails {
				time.Sleep(100 * time.Millisecond)
				close(n.held)
			}
			assert.Equal(t, strings.Count(<-done, "data: piece-"), 3)
			assert.Equal(t, runs.Load(), int32(1), "endpoints that ran the request")
		})
	}
}
