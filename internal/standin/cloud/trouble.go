package cloud

import (
	"net/http"
	"strings"
	"sync"

	"github.com/pimentoshore/pimentoshore/internal/standin/wire"
)

// Trouble is how an endpoint VM misbehaves towards callers.
type Trouble string

// Troubles of an endpoint VM.
const (
	Calm Trouble = ""
	// Leaving marks all answers as those of a VM that is about to end.
	Leaving Trouble = "leaving"
	// Pausing turns all requests away and asks for a pause.
	Pausing Trouble = "pausing"
	// EndlessHead and EndlessBody answer requests by bytes without end, until
	// the caller closes the connection. The requests don't run.
	EndlessHead Trouble = "endless head"
	EndlessBody Trouble = "endless body"
)

// pauseAsked is the Retry-After of a pausing VM, in seconds.
const pauseAsked = "0.7"

// troubled is an endpoint VM's handler with its trouble.
type troubled struct {
	next http.Handler

	mu      sync.Mutex
	trouble Trouble
}

// Trouble sets how the VM misbehaves.
func (t *troubled) Trouble(trouble Trouble) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trouble = trouble
}

// ServeHTTP implements http.Handler.
func (t *troubled) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		w.Header().Set("Retry-After", pauseAsked)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case trouble == EndlessHead && !control:
		endless(w, "HTTP/1.1 200 OK\r\n", "A: b\r\n")
		return
	case trouble == EndlessBody && !control:
		id := r.Header.Get("Pimentoshore-Attempt-Id")
		endless(w, "HTTP/1.1 200 OK\r\nPimentoshore-Attempt-Id: "+id+"\r\nPimentoshore-Response-Seal: s\r\n\r\n", "data: x\n")
		return
	}
	t.next.ServeHTTP(w, r)
}

// endless writes a beginning and then a piece again and again, until the
// connection is closed.
func endless(w http.ResponseWriter, beginning, piece string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	wire.Flood(conn, beginning, []byte(strings.Repeat(piece, 1000)))
}
