package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// addSilentService lists a plain service that reads requests and doesn't answer, and
// returns the number of requests that reach it.
func (s *testSite) addSilentService() *atomic.Int32 {
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		<-r.Context().Done()
	}))
	s.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	err := s.store.Put("servers", "slow-1", map[string]any{
		"service": "slow", "address": strings.TrimPrefix(server.URL, "http://"), "zone": "dc-a", "version": "1", "slots": 10, "state": "ready", "born": 1,
	})
	assert.NilError(s.t, err)
	return &runs
}

// connect opens a connection of a caller.
func (s *testSite) connect(n *runningNode) net.Conn {
	conn, err := net.Dial("tcp", n.cfg.Listen.Callers)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { conn.Close() })
	assert.NilError(s.t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return conn
}

// sendOrder sends an order to the silent service on an open connection.
func sendOrder(conn net.Conn, id string) error {
	_, err := fmt.Fprintf(conn, "POST /slow/x HTTP/1.1\r\nHost: h\r\nPimentoshore-Attempt-Id: %s\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n", id)
	return err
}

// readStatus returns the status of the complete answer on a connection.
func readStatus(conn net.Conn) (int, error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// Orders in a planned stop, which may not be sent again, at an endpoint that is still
// silent at its end: one that the node has read in time, and one that comes late on
// an open connection.
func TestOrderInAPlannedStopIsAnsweredBeforeItsEnd(t *testing.T) {
	s := newTestSite(t)
	n := s.nodes[0]
	runs := s.addSilentService()
	s.eventually("orders", s.canServe(n, "/order/x", "key"))
	inTime := s.connect(n)
	time.Sleep(2 * vmReadInterval) // until the silent service is listed
	assert.NilError(t, sendOrder(inTime, "in-time"))
	s.eventually("the order at the silent service", func() bool { return runs.Load() == 1 })
	n.stop()
	time.Sleep(stopNoticePeriod - time.Second)
	late := s.connect(n)
	time.Sleep(2 * time.Second)
	assert.NilError(t, sendOrder(late, "late"))
	status, err := readStatus(late)
	assert.Assert(t, err != nil || status == http.StatusServiceUnavailable)
	assert.Equal(t, runs.Load(), int32(1), "the late order was not passed on")
	status, err = readStatus(inTime)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadGateway, "it may have run")
	assert.NilError(t, <-n.done)
}
