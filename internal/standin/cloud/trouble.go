package cloud

import (
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/pimentoshore/pimentoshore/internal/standin/wire"
)

// Trouble is a failure mode of an endpoint VM towards its callers.
type Trouble string

// Failure modes of an endpoint VM.
const (
	Calm Trouble = ""
	// Leaving marks all answers as coming from a VM that is about to shut down.
	Leaving Trouble = "leaving"
	// Pausing refuses all requests with 503 and a Retry-After header.
	Pausing Trouble = "pausing"
	// EndlessHead and EndlessBody answer requests with an endless header or
	// body until the caller closes the connection. The requests don't run.
	EndlessHead Trouble = "endless head"
	EndlessBody Trouble = "endless body"
	// OddStatus answers requests with a status of 000. They don't run.
	OddStatus Trouble = "odd status"
)

// retryAfterSeconds is the Retry-After header of a pausing VM, in seconds.
const retryAfterSeconds = "0.7"

// faultyHandler wraps the handler of an endpoint VM and applies its failure mode.
type faultyHandler struct {
	next http.Handler

	mu      sync.Mutex
	trouble Trouble
}

// Trouble sets the VM's failure mode.
func (t *faultyHandler) Trouble(trouble Trouble) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trouble = trouble
}

// ServeHTTP implements http.Handler.
func (t *faultyHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	trouble := t.trouble
	t.mu.Unlock()
	control := r.URL.Path == "/report" || r.URL.Path == "/order"
	switch {
	case trouble == Leaving:
		w.Header().Set("Server-Leaving", "1")
	case trouble == Pausing && !control:
		w.Header().Set("Pimentoshore-Attempt-Id", r.Header.Get("Pimentoshore-Attempt-Id"))
		w.Header().Set("Pimentoshore-Not-Executed", "1")
		w.Header().Set("Retry-After", retryAfterSeconds)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case trouble == EndlessHead && !control:
		writeEndless(w, "HTTP/1.1 200 OK\r\n", "A: b\r\n")
		return
	case trouble == EndlessBody && !control:
		id := r.Header.Get("Pimentoshore-Attempt-Id")
		writeEndless(w, "HTTP/1.1 200 OK\r\nPimentoshore-Attempt-Id: "+id+"\r\nPimentoshore-Response-Seal: s\r\n\r\n", "data: x\n")
		return
	case trouble == OddStatus && !control:
		id := r.Header.Get("Pimentoshore-Attempt-Id")
		writeRaw(w, "HTTP/1.1 000 OK\r\nPimentoshore-Attempt-Id: "+id+"\r\nPimentoshore-Response-Seal: s\r\nContent-Length: 2\r\n\r\n{}")
		return
	}
	t.next.ServeHTTP(w, r)
}

// writeRaw takes over the connection, writes an answer and closes the connection.
func writeRaw(w http.ResponseWriter, answer string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, answer) // the caller may have closed it
}

// writeEndless takes over the connection, writes beginning and then repeats piece
// until the connection is closed.
func writeEndless(w http.ResponseWriter, beginning, piece string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	wire.Flood(conn, beginning, []byte(strings.Repeat(piece, 1000)))
}
