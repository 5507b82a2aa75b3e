package entry

import (
	"io"
	"sync/atomic"

	"github.com/pimentoshore/pimentoshore/internal/upstream"
)

const (
	// maxBodySize limits a response body that is buffered completely before
	// any of it is sent to the caller.
	maxBodySize = 16 << 20
	// initialBodySize is the initial buffer size of a response body.
	initialBodySize = 4 << 10
	// defaultBodyMemory limits all buffered bodies together if the settings
	// specify no limit.
	defaultBodyMemory = 128 << 20
)

// bodyBudget limits the memory used by buffered response bodies, so that
// endpoints that send endless responses can't exhaust it.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

func newBodyBudget(limit int64) *bodyBudget {
	if limit <= 0 {
		limit = defaultBodyMemory
	}
	return &bodyBudget{limit: limit}
}

// reserve reserves n more bytes. It returns false if they exceed the limit.
func (b *bodyBudget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// release releases n reserved bytes.
func (b *bodyBudget) release(n int64) { b.used.Add(-n) }

// read reads a response body to its end. reserved is the number of bytes that
// the caller must release later; it is 0 if an error is returned.
func (b *bodyBudget) read(r io.Reader) (body []byte, reserved int64, err error) {
	for {
		if len(body) == cap(body) {
			grown, err := b.grow(body)
			if err != nil {
				b.release(reserved)
				return nil, 0, err
			}
			body, reserved = grown, int64(cap(grown))
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, reserved, nil
		}
		if err != nil {
			b.release(reserved)
			return nil, 0, err
		}
	}
}

// grow returns a copy of body with twice the capacity.
func (b *bodyBudget) grow(body []byte) ([]byte, error) {
	next := max(initialBodySize, 2*cap(body))
	if next > maxBodySize {
		return nil, &upstream.OversizeError{What: "the body of the answer", Limit: maxBodySize, Unit: "bytes"}
	}
	if !b.reserve(int64(next - cap(body))) {
		return nil, &upstream.OversizeError{What: "the memory of all answers that are read whole", Limit: b.limit, Unit: "bytes"}
	}
	return append(make([]byte, 0, next), body...), nil
}
