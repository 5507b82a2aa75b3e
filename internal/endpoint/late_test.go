package endpoint

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/member"
	"github.com/pimentoshore/pimentoshore/internal/transport"
)

const (
	orderAccepted = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	orderFenced   = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
)

// serveOrders accepts the first order and refuses later ones. On each connection
// it writes its first answer once more before the second.
func serveOrders(conn net.Conn, orders *atomic.Int32) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	first := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // an error shows at the next order
		answer := orderFenced
		if orders.Add(1) == 1 {
			answer = orderAccepted
		}
		_, _ = io.WriteString(conn, first+answer) // an error shows at the next order
		first = answer
	}
}

// A late copy of the answer to an accepted order was taken for the answer to the
// next order, which the endpoint refused.
func TestAnswerToEarlierOrderIsNotBelieved(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	var orders atomic.Int32
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveOrders(conn, &orders)
		}
	}()
	c := NewClient(transport.New(nil))
	_, err = c.Order(t.Context(), l.Addr().String(), member.Order{VM: "vm-1"})
	assert.NilError(t, err)
	_, err = c.Order(t.Context(), l.Addr().String(), member.Order{VM: "vm-1"})
	assert.ErrorIs(t, err, ErrFenced)
	assert.Equal(t, orders.Load(), int32(2))
}
