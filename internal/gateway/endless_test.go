package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/standin/heap"
	"github.com/pimentoshore/pimentoshore/internal/standin/wire"
)

// endlessAnswers contains answers in which one part is endless, by the name of that
// part.
var endlessAnswers = map[string]struct{ beginning, piece string }{
	"status line":  {"HTTP/1.1 200 ", "O"},
	"header line":  {"HTTP/1.1 200 OK\r\nA: ", "b"},
	"header lines": {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"interim":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"garbage":      {"", "\x00"},
	"body":         {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	"long body":    {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
	"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
	"trailers":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	"failure":      {"HTTP/1.1 500 S\r\n\r\n", "x"},
	"refusal":      {"HTTP/1.1 503 S\r\n\r\n", "x"},
}

// endlessEvents contains streams in which one part is endless.
var endlessEvents = map[string]string{
	"line": "x", "event": "data: x\n", "blank lines": "\n", "comments": ": x\n\n", "fields": "noise\n\n", "retry": "retry: 1\n\n",
}

// newEndless returns a target that reads the head of a request and then answers without
// end. closed receives a value for each connection that the other side has closed.
func newEndless(t *testing.T, beginning, piece string) (closed <-chan struct{}, target Target) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	ends := make(chan struct{}, maxEndless)
	pieces := []byte(strings.Repeat(piece, 1+8<<10/len(piece)))
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					wire.Flood(conn, beginning, pieces)
				}
				ends <- struct{}{}
			}()
		}
	}()
	return ends, Target{Endpoint: "s1", Address: l.Addr().String()}
}

// maxEndless is the most connections to one endless target.
const maxEndless = 100

// endlessTimeout is the Request-Timeout of these requests in seconds. Whoever waits for
// the end of an answer is late.
const endlessTimeout = "4"

// Guards against an answer without end of which an entry VM keeps all, at the caller's
// cost and that of all others. What may have run isn't answered as not run.
func TestEndlessAnswerOfAService(t *testing.T) {
	for name, a := range endlessAnswers {
		for _, path := range []string{"/services/shop/returns", "/services/shop/orders"} {
			t.Run(name+path, func(t *testing.T) {
				closed, target := newEndless(t, a.beginning, a.piece)
				server := newTestServer(&fakeBackend{targets: []Target{target}}, io.Discard)
				w := do(server, http.MethodPost, path, `{}`, headerTimeout, endlessTimeout)
				want, ran := http.StatusBadGateway, `"ran":"unknown"`
				if name == "refusal" && path == "/services/shop/orders" {
					want, ran = http.StatusServiceUnavailable, `"ran":"no"`
				}
				assert.Equal(t, w.Code, want, w.Body)
				assert.Assert(t, strings.Contains(w.Body.String(), ran), w.Body)
				<-closed
				assert.Equal(t, server.answers.Used(), int64(0), "all memory should be released")
			})
		}
	}
}

// Guards against the same from an engine, whose answer is read whole.
func TestEndlessAnswerOfAnEngine(t *testing.T) {
	for name, a := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			closed, target := newEndless(t, a.beginning, a.piece)
			server := newTestServer(&fakeBackend{targets: []Target{target}}, io.Discard)
			w := do(server, http.MethodPost, "/v1/completions", `{"model":"m"}`, headerTimeout, endlessTimeout)
			assert.Equal(t, w.Code, http.StatusBadGateway, w.Body)
			<-closed
			assert.Equal(t, server.answers.Used(), int64(0), "all memory should be released")
		})
	}
}

// Guards against the same from another entry VM that confirms a key.
func TestEndlessAnswerOfAnEntryVM(t *testing.T) {
	for name, a := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			closed, target := newEndless(t, a.beginning, a.piece)
			target.Peer = true
			b := &forwardingBackend{target: target}
			server := newTestServer(b, io.Discard)
			w := do(server, http.MethodPost, "/services/shop/returns", `{}`, headerIdempotencyKey, "k", headerTimeout, endlessTimeout)
			assert.Equal(t, w.Code, http.StatusConflict, w.Body)
			assert.DeepEqual(t, b.failures, []Outcome{Failed})
			<-closed
			assert.Equal(t, server.answers.Used(), int64(0), "all memory should be released")
		})
	}
}

// Guards against a stream that sends without end and never goes on: its caller would
// wait, and this VM read, until the deadline.
func TestEndlessStreamWithoutProgress(t *testing.T) {
	for name, piece := range endlessEvents {
		t.Run(name, func(t *testing.T) {
			closed, target := newEndless(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", piece)
			server := newTestServer(&fakeBackend{targets: []Target{target}}, io.Discard)
			began := time.Now()
			w := do(server, http.MethodPost, "/v1/completions", `{"model":"m","stream":true}`, headerTimeout, endlessTimeout)
			assert.Assert(t, strings.Contains(w.Body.String(), "event: error"), w.Body)
			<-closed
			assert.Assert(t, time.Since(began) < 3*time.Second, "the stream ended at the deadline")
		})
	}
}

// Guards against many answers without end at once: together they stay within the
// memory of an entry VM.
func TestMemoryOfManyEndlessAnswersIsBounded(t *testing.T) {
	const each, budget, maxHeap = 6, 32 << 20, 192 << 20
	watch := heap.NewWatch()
	defer watch.Stop()
	answers := bodylimit.NewBudget(budget)
	var wg sync.WaitGroup
	for _, a := range endlessAnswers {
		_, target := newEndless(t, a.beginning, a.piece)
		for range each {
			wg.Go(func() {
				server := newTestServer(&fakeBackend{targets: []Target{target}}, io.Discard)
				server.answers = answers
				do(server, http.MethodPost, "/services/shop/returns", `{}`, headerTimeout, endlessTimeout)
			})
		}
	}
	wg.Wait()
	peak := watch.Peak()
	assert.Assert(t, peak < maxHeap, "the heap grew to %d MB", peak>>20)
	assert.Equal(t, answers.Used(), int64(0), "all memory should be released")
}

// forwardingBackend forwards a keyed call to a target. If that fails, the outcome of
// the call is unknown.
type forwardingBackend struct {
	fakeBackend
	target   Target
	failures []Outcome
}

func (b *forwardingBackend) Keyed(KeyedRequest) KeyedCall { return b }

// Next implements KeyedCall.
func (b *forwardingBackend) Next(context.Context) (Step, error) {
	if len(b.failures) > 0 {
		return Step{}, problem.New(problem.OutcomeUnknown, "the outcome is unknown", "check it").WithRanUnknown()
	}
	return Step{Kind: StepForward, Target: b.target}, nil
}
func (b *forwardingBackend) Settle(Outcome, StoredAnswer, *problem.Error) {}
func (b *forwardingBackend) ForwardFailed(o Outcome)                      { b.failures = append(b.failures, o) }
func (b *forwardingBackend) Close()                                       {}
