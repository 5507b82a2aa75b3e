package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// http2Client returns a client that uses HTTP/2 without TLS on one connection.
func (s *site) http2Client() *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		s.dialed <- server
		return client, nil
	}}
	s.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// Guards against HTTP/2 connections that are taken for ones that send a header, because
// frames arrive between requests, and against ones that are never closed.
func TestHTTP2ConnectionsAreIdleBetweenRequests(t *testing.T) {
	inSite(t, 10, func(t *testing.T, s *site) {
		client := s.http2Client()
		for range 3 {
			resp, err := client.Post("http://h/1000", "text/plain", strings.NewReader("body"))
			assert.NilError(t, err)
			raw, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, len(raw), 1000)
			time.Sleep(testLimits.IdleTimeout * 4 / 5)
		}
		assert.Equal(t, s.conns.Len(), 1, "the connection is kept")
		time.Sleep(testLimits.IdleTimeout/5 + 2*sweepInterval)
		synctest.Wait()
		assert.Equal(t, s.conns.Len(), 0)
		assert.Equal(t, s.closedFor(IdleTimeout), int64(1))
	})
}

// Guards against closing an HTTP/2 connection as idle while one of its requests is
// being served and another one has ended.
func TestHTTP2ConnectionIsInUseUntilItsLastRequestEnds(t *testing.T) {
	inSite(t, 1, func(t *testing.T, s *site) {
		client := s.http2Client()
		long := make(chan error, 1)
		go func() {
			resp, err := client.Get("http://h/1/40")
			if err == nil {
				err = resp.Body.Close()
			}
			long <- err
		}()
		synctest.Wait()
		resp, err := client.Get("http://h/1")
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		time.Sleep(testLimits.IdleTimeout * 2)
		assert.Assert(t, s.dial().isClosed(), "there is no connection to replace")
		assert.NilError(t, <-long)
	})
}

// Guards against closing an HTTP/2 connection for the stalled body of one request while
// another one is being served, whose response would be lost.
func TestHTTP2ConnectionOfAServedRequestIsNotClosedForABody(t *testing.T) {
	inSite(t, 1, func(t *testing.T, s *site) {
		client := s.http2Client()
		served := make(chan error, 1)
		go func() {
			resp, err := client.Get("http://h/1/5")
			if err == nil {
				err = resp.Body.Close()
			}
			served <- err
		}()
		synctest.Wait()
		body, rest := io.Pipe()
		t.Cleanup(func() { rest.Close() })
		stalled := make(chan error, 1)
		go func() {
			resp, err := client.Post("http://h/1", "text/plain", body)
			if err == nil {
				err = resp.Body.Close()
			}
			stalled <- err
		}()
		time.Sleep(2 * stallTimeout)
		assert.Assert(t, !s.conns.CloseStalledBody(""))
		assert.Assert(t, s.dial().isClosed(), "there is no connection to replace")
		assert.NilError(t, <-served)
		time.Sleep(time.Second)
		assert.Assert(t, s.conns.CloseStalledBody(""))
		assert.Assert(t, <-stalled != nil)
	})
}
