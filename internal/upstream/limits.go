package upstream

import (
	"fmt"
	"net"
	"time"
)

const (
	// maxHeadBytes bounds the head of an answer, interim answers included.
	maxHeadBytes = 64 << 10
	// maxInterim is how many interim answers (1xx) may come before an answer.
	maxInterim = 8
	// discardBytes and discardTime bound what is read of an answer that nobody
	// wants, to keep its connection.
	discardBytes = 64 << 10
	discardTime  = 50 * time.Millisecond
)

// OversizeError means that an endpoint sent more than an answer may have, such
// as a head that doesn't end.
type OversizeError struct {
	What  string
	Limit int64
	Unit  string
}

// Error names what was too long, and the limit.
func (e *OversizeError) Error() string {
	return fmt.Sprintf("%s is over the limit of %d %s; look at what the endpoint sends", e.What, e.Limit, e.Unit)
}

var errHeadTooLong = &OversizeError{What: "the head of the answer", Limit: maxHeadBytes, Unit: "bytes"}

// headReader reads from a connection, and no more than a number of bytes while
// the head of an answer is read.
type headReader struct {
	net.Conn
	limited bool
	left    int
}

// limit bounds what is read until free is called.
func (r *headReader) limit(n int) { r.limited, r.left = true, n }

// free ends the bound.
func (r *headReader) free() { r.limited = false }

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.Conn.Read(p)
	}
	if r.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.Conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
