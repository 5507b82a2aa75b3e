package bodylimit

import (
	"io"
	"net/http"
	"sync"
)

// Transport is a RoundTripper for callers that read responses whole. Reading a body
// fails with an *OversizeError if it is too large, or if all those that are being read
// are together.
type Transport struct {
	base    http.RoundTripper
	maxBody int64
	budget  *Budget
}

// NewTransport returns a Transport over base that allows maxBody bytes for one body
// and together bytes for all whose responses are not closed.
func NewTransport(base http.RoundTripper, maxBody, together int64) *Transport {
	return &Transport{base: base, maxBody: maxBody, budget: NewBudget(together)}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, transport: t}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the base, if it has any.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// countedBody is a response body that counts what is read of it.
type countedBody struct {
	io.ReadCloser
	transport *Transport
	// mu guards read, the number of bytes read so far, and closed: a body may be closed
	// while it is being read.
	mu     sync.Mutex
	read   int64
	closed bool
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if failed := b.count(int64(n)); failed != nil {
		return 0, failed
	}
	return n, err
}

// count counts n more bytes and reserves what the budget is charged for them.
func (b *countedBody) count(n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	if b.read+n > b.transport.maxBody {
		return &OversizeError{What: "the body of the answer", Limit: b.transport.maxBody, Unit: "bytes"}
	}
	if err := b.transport.budget.reserve(charge(b.read+n) - charge(b.read)); err != nil {
		return err
	}
	b.read += n
	return nil
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		b.transport.budget.Release(charge(b.read))
	}
	b.mu.Unlock()
	return b.ReadCloser.Close()
}
