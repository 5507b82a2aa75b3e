package entry

import (
	"io"
	"sync/atomic"

	"github.com/pimentoshore/pimentoshore/internal/upstream"
)

const (
	// maxBody bounds one answer that is read whole before the caller gets any
	// of it.
	maxBody = 16 << 20
	// firstBody is what is set aside for an answer before more is needed.
	firstBody = 4 << 10
	// defaultBodies bounds all of them where the settings name no memory.
	defaultBodies = 128 << 20
)

// bodies bounds the memory that answers take which are read whole, so that
// endpoints that send without end can't use it up.
type bodies struct {
	limit int64
	used  atomic.Int64
}

func newBodies(limit int64) *bodies {
	if limit <= 0 {
		limit = defaultBodies
	}
	return &bodies{limit: limit}
}

// take sets n more bytes aside, or reports that there is no room.
func (b *bodies) take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// give returns n bytes.
func (b *bodies) give(n int64) { b.used.Add(-n) }

// read reads an answer to its end. taken is what the body holds of the memory
// until it is given back; it is 0 with an error.
func (b *bodies) read(r io.Reader) (body []byte, taken int64, err error) {
	for {
		if len(body) == cap(body) {
			grown, err := b.grow(body)
			if err != nil {
				b.give(taken)
				return nil, 0, err
			}
			body, taken = grown, int64(cap(grown))
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, taken, nil
		}
		if err != nil {
			b.give(taken)
			return nil, 0, err
		}
	}
}

// grow doubles a body's room.
func (b *bodies) grow(body []byte) ([]byte, error) {
	next := max(firstBody, 2*cap(body))
	if next > maxBody {
		return nil, &upstream.OversizeError{What: "the body of the answer", Limit: maxBody, Unit: "bytes"}
	}
	if !b.take(int64(next - cap(body))) {
		return nil, &upstream.OversizeError{What: "the memory of all answers that are read whole", Limit: b.limit, Unit: "bytes"}
	}
	return append(make([]byte, 0, next), body...), nil
}
