package daemon

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/settings"
)

func dialTest(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(eventuallyTimeout)))
	return conn
}

// readToEnd fails the test if the other side keeps the connection open.
func readToEnd(t *testing.T, conn net.Conn) string {
	t.Helper()
	raw, err := io.ReadAll(conn)
	if err != nil {
		assert.ErrorContains(t, err, "reset by peer")
	}
	return string(raw)
}

// Guards against callers that use up a node's memory or descriptors without ever
// completing a request: bodies and headers that stall, and idle connections.
func TestCallersAreBounded(t *testing.T) {
	t.Parallel()
	const maxConns = 32
	c := newCluster(t, "praha")
	c.addNodeWith("praha", "praha-e0", func(s *settings.Settings) {
		s.Limits.MaxBodyBytes = 512 << 10
		s.Limits.RequestMemoryMB = 1
		s.Limits.Connections = maxConns
		s.Limits.IdleTimeout = 2 * time.Second
		s.Limits.HeaderTimeout = 500 * time.Millisecond
	})
	c.startAll()
	c.apply()
	node := c.nodes["praha-e0"]
	eventually(t, "a completion", func() bool { return c.canServe("praha-e0") })

	t.Run("stalled bodies", func(t *testing.T) {
		const announced = 500 << 10
		head := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n{", testKey, announced)
		for range 4 {
			_, err := io.WriteString(dialTest(t, node.callers), head)
			assert.NilError(t, err)
		}
		eventually(t, "memory of a stalled body", func() bool { return node.requestMemory.Used() > 0 })
		body := `{"model":"gloves","max_tokens":1,"prompt":"` + strings.Repeat("cotton ", 64<<10) + `"}`
		eventually(t, "a large request in place of a stalled one", func() bool {
			assert.Assert(t, node.requestMemory.Used() <= 1<<20)
			status, answer, _ := c.call("praha-e0", http.MethodPost, "/v1/completions", body)
			if status != http.StatusOK {
				assert.Equal(t, status, http.StatusServiceUnavailable, answer)
				assert.Assert(t, strings.Contains(answer, `"ran":"no"`), answer)
			}
			return status == http.StatusOK
		})
	})
	t.Run("idle connections", func(t *testing.T) {
		peer := dialTest(t, node.settings.Listen.Peers)
		var idle []net.Conn
		for range 3 * maxConns {
			idle = append(idle, dialTest(t, node.callers))
		}
		assert.Assert(t, c.canServe("praha-e0"))
		assert.Assert(t, node.Node.callers.Len() <= maxConns)
		for _, conn := range idle {
			assert.Equal(t, readToEnd(t, conn), "")
		}
		assert.NilError(t, peer.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		_, err := peer.Read(make([]byte, 1))
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "the peers' connection ended: %v", err)
	})
	t.Run("stalled header", func(t *testing.T) {
		conn := dialTest(t, node.callers)
		_, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: h\r\n")
		assert.NilError(t, err)
		assert.Equal(t, readToEnd(t, conn), "")
	})
	t.Run("large header", func(t *testing.T) {
		conn := dialTest(t, node.callers)
		_, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("A: "+strings.Repeat("b", 1000)+"\r\n", 200))
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(readToEnd(t, conn), "HTTP/1.1 431 "))
	})
	t.Run("HTTP/2", func(t *testing.T) {
		checkHTTP2Bounds(t, node.callers)
		tr := &http.Transport{Protocols: &http.Protocols{}}
		tr.Protocols.SetUnencryptedHTTP2(true)
		defer tr.CloseIdleConnections()
		for range 2 {
			req, err := http.NewRequest(http.MethodPost, "http://"+node.callers+"/v1/completions", strings.NewReader(`{"model":"gloves","max_tokens":4,"prompt":"p"}`))
			assert.NilError(t, err)
			req.Header.Set("Authorization", "Bearer "+testKey)
			resp, err := (&http.Client{Transport: tr}).Do(req)
			assert.NilError(t, err)
			resp.Body.Close()
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			eventually(t, "the end of the idle connection", func() bool { return node.Node.callers.Len() == 0 })
		}
	})
	assert.Assert(t, c.canServe("praha-e0"))
	eventually(t, "release of all memory", func() bool { return node.requestMemory.Used() == 0 })
}

// checkHTTP2Bounds checks the limits that a server announces as an HTTP/2 connection
// begins. Callers may send no more than that.
func checkHTTP2Bounds(t *testing.T, address string) {
	const (
		frameHeader, settingBytes                        = 9, 6
		settingsFrame, windowFrame                       = 4, 8
		maxConcurrentStreams, initialWindow, firstWindow = 3, 4, 65535
	)
	conn := dialTest(t, address)
	_, err := io.WriteString(conn, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00")
	assert.NilError(t, err)
	got := map[uint16]uint32{}
	window := uint32(0)
	for window == 0 {
		head := make([]byte, frameHeader)
		_, err := io.ReadFull(conn, head)
		assert.NilError(t, err)
		payload := make([]byte, binary.BigEndian.Uint32(append([]byte{0}, head[:3]...)))
		_, err = io.ReadFull(conn, payload)
		assert.NilError(t, err)
		switch head[3] {
		case settingsFrame:
			for ; len(payload) >= settingBytes; payload = payload[settingBytes:] {
				got[binary.BigEndian.Uint16(payload)] = binary.BigEndian.Uint32(payload[2:])
			}
		case windowFrame:
			window = firstWindow + binary.BigEndian.Uint32(payload)
		}
	}
	assert.Equal(t, got[maxConcurrentStreams], uint32(maxStreamsPerConn))
	assert.Equal(t, got[initialWindow], uint32(streamReceiveBuffer))
	assert.Equal(t, window, uint32(connReceiveBuffer))
}

// Guards against a largest body that no budget can ever hold.
func TestRequestMemoryHoldsTheLargestBody(t *testing.T) {
	l := settings.Default().Limits
	assert.Equal(t, requestMemory(l), int64(64<<20))
	l.MaxBodyBytes = 1 << 30
	assert.Equal(t, requestMemory(l), int64(2<<30))
}
