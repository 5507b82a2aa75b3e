package upstream

import (
	"net"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
)

const (
	// maxHeadBytes is the maximum size of a response head (status line and
	// headers), including interim responses.
	maxHeadBytes = bodylimit.MaxHead
	// maxInterimResponses is how many interim (1xx) responses may precede the
	// final one.
	maxInterimResponses = 8
	// maxDiscardBytes and discardTimeout limit how much of an unwanted body is read
	// in order to reuse its connection.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 50 * time.Millisecond
	// maxIDsPerConn is the maximum number of requests with an ID per connection,
	// which bounds the IDs that a connection remembers.
	maxIDsPerConn = 256
)

var errHeadTooLong = &bodylimit.OversizeError{What: "the head of the answer", Limit: maxHeadBytes, Unit: "bytes"}

// headReader is a connection on which the number of bytes read can be limited
// while a response head is being read.
type headReader struct {
	net.Conn
	limited   bool
	remaining int
}

// setLimit allows n more bytes to be read until clearLimit is called.
func (r *headReader) setLimit(n int) { r.limited, r.remaining = true, n }

// clearLimit removes the limit.
func (r *headReader) clearLimit() { r.limited = false }

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.Conn.Read(p)
	}
	if r.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.Conn.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}
