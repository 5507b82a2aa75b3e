package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/endpoint"
)

// repeatingService refuses the first call on each connection. It runs later ones
// and writes that refusal once more before its answer.
type repeatingService struct {
	echoes bool // whether it repeats the attempt's ID
	runs   atomic.Int32
}

// start starts the service and returns a target there.
func (s *repeatingService) start(t *testing.T) Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return Target{Endpoint: "s1", Address: l.Addr().String()}
}

func (s *repeatingService) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	refusal := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // an error shows at the next call
		head := "Content-Length: 0\r\n\r\n"
		if s.echoes {
			head = endpoint.HeaderAttempt + ": " + req.Header.Get(endpoint.HeaderAttempt) + "\r\n" + head
		}
		if refusal == "" {
			refusal = "HTTP/1.1 503 S\r\n" + head
			_, _ = io.WriteString(conn, refusal) // an error shows at the next call
			continue
		}
		s.runs.Add(1)
		_, _ = io.WriteString(conn, refusal+"HTTP/1.1 200 OK\r\n"+head) // an error shows at the next call
	}
}

// A repeated copy of the refusal of an earlier call was taken for the answer to
// the next call, which was reported as not run although it ran.
func TestRepeatedRefusalOfAServiceIsNotBelieved(t *testing.T) {
	for _, echoes := range []bool{true, false} {
		t.Run(fmt.Sprint("echoes ", echoes), func(t *testing.T) {
			service := &repeatingService{echoes: echoes}
			target := service.start(t)
			b := &fakeBackend{}
			server := newTestServer(b, io.Discard)
			for range 4 {
				b.targets = []Target{target}
				before := service.runs.Load()
				w := do(server, http.MethodPost, "/services/shop/orders", `{}`)
				ran := service.runs.Load() > before
				notRun := strings.Contains(w.Body.String(), `"ran":"no"`)
				assert.Equal(t, notRun, !ran, "status %d: %s", w.Code, w.Body)
			}
		})
	}
}

// The answer to an earlier call was delivered as the answer to another call of a
// service that does not repeat the attempt's ID.
func TestServiceWithoutEchoGetsOneCallPerConnection(t *testing.T) {
	service := &repeatingService{}
	target := service.start(t)
	b := &fakeBackend{}
	server := newTestServer(b, io.Discard)
	for range 3 {
		b.targets = []Target{target}
		do(server, http.MethodPost, "/services/shop/orders", `{}`)
	}
	assert.Equal(t, service.runs.Load(), int32(0))
	assert.DeepEqual(t, b.outcomes, []Outcome{Refused, Refused, Refused})
}
