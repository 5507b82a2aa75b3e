package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/standin/cloud"
)

// storeProxy is one node's connection to the store. Tests can make it
// unavailable.
type storeProxy struct {
	server *httptest.Server
	// changeReads counts the reads of changes.
	changeReads atomic.Int64
	unavailable atomic.Bool
}

func newStoreProxy(t *testing.T, store *cloud.Store) *storeProxy {
	p := &storeProxy{}
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/rows-feed" {
			p.changeReads.Add(1)
		}
		if p.unavailable.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.Server.Config.Handler.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		p.server.CloseClientConnections() // a node that stops gracefully still waits for changes
		p.server.Close()
	})
	return p
}

func (p *storeProxy) address() string { return strings.TrimPrefix(p.server.URL, "http://") }

// waitForSingleReader waits until the second node gets updates from the first
// and no longer reads changes from the store.
func (s *testSite) waitForSingleReader() {
	s.t.Helper()
	reader, follower := s.nodes[0].proxy, s.nodes[1].proxy
	s.eventually("reads by only the reader", func() bool {
		byReader, byFollower := reader.changeReads.Load(), follower.changeReads.Load()
		s.eventually("reads by the reader", func() bool { return reader.changeReads.Load() >= byReader+10 })
		return follower.changeReads.Load() == byFollower
	})
}

// One node reads from the store and sends updates to the other.
func TestOneNodeReadsForAllNodes(t *testing.T) {
	s := newTestSite(t)
	second := s.nodes[1]
	s.eventually("orders", s.canServe(second, "/order/x", "key"))
	s.waitForSingleReader()
	s.configure(2, "new")
	s.eventually("the new key from the peer", s.canServe(second, "/order/x", "new"))
	status, _ := s.call(second, http.MethodPost, "/order/x", "key")
	assert.Equal(t, status, http.StatusUnauthorized)
}

// A node that the store refuses continues to serve with its peer's updates, for
// longer than its own reads are valid, and applies configuration changes.
func TestNodeWithoutStoreReadsFromPeer(t *testing.T) {
	for _, i := range []int{0, 1} {
		s := newTestSite(t)
		n := s.nodes[i]
		for _, node := range s.nodes {
			s.eventually("orders", s.canServe(node, "/order/x", "key"))
		}
		s.waitForSingleReader()
		n.proxy.unavailable.Store(true)
		unavailableSince := time.Now()
		for time.Since(unavailableSince) < n.cfg.Bounds.KeysValid+time.Second {
			status, body := s.call(n, http.MethodPost, "/order/x", "key")
			assert.Equal(t, status, http.StatusOK, "after %s: %s", time.Since(unavailableSince), body)
			time.Sleep(50 * time.Millisecond)
		}
		s.configure(2, "new")
		s.eventually("the new key", s.canServe(n, "/order/x", "new"))
		status, _ := s.call(n, http.MethodPost, "/order/x", "key")
		assert.Equal(t, status, http.StatusUnauthorized)
	}
}

// If the node that reads for all nodes stops, the others read from the store.
func TestSecondNodeReadsAfterReaderStops(t *testing.T) {
	s := newTestSite(t)
	first, second := s.nodes[0], s.nodes[1]
	s.eventually("orders", s.canServe(second, "/order/x", "key"))
	first.stop()
	assert.NilError(t, <-first.done)
	s.configure(2, "new")
	s.eventually("the new key", s.canServe(second, "/order/x", "new"))
	stopped := time.Now()
	for time.Since(stopped) < second.cfg.Bounds.KeysValid+time.Second {
		status, body := s.call(second, http.MethodPost, "/order/x", "new")
		assert.Equal(t, status, http.StatusOK, body)
		time.Sleep(50 * time.Millisecond)
	}
}
