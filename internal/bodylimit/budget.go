// Package bodylimit bounds the memory for what other processes send: a faulty one may
// send bytes without end.
package bodylimit

import (
	"io"
	"sync/atomic"
)

const (
	// MaxBody limits a body that is read whole before any of it is used, in bytes.
	MaxBody = 16 << 20
	// MaxHead limits the head of a response, in bytes.
	MaxHead = 64 << 10
	// initialBody is the initial buffer size of a body in bytes.
	initialBody = 4 << 10
	// freeBytes is how much of each body does not count in a budget, in bytes. Small
	// answers are read even if others have used the budget up.
	freeBytes = 16 << 10
	// defaultBudget limits all bodies of a Budget together, in bytes, if the settings
	// specify no limit.
	defaultBudget = 128 << 20
)

// Budget limits the memory of the bodies that are read whole, each and all together.
// The first freeBytes of a body do not count. A budget may be part of another one, in
// which its reservations count too. It is safe for concurrent use.
type Budget struct {
	parent *Budget
	limit  int64
	used   atomic.Int64
}

// NewBudget returns a budget of limit bytes for all bodies together; 0 selects a
// default.
func NewBudget(limit int64) *Budget {
	if limit <= 0 {
		limit = defaultBudget
	}
	return &Budget{limit: limit}
}

// Sub returns a budget of limit bytes that is part of b: a reservation needs room in
// both.
func (b *Budget) Sub(limit int64) *Budget { return &Budget{parent: b, limit: limit} }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// reserve reserves n more bytes. Its error is an *OversizeError.
func (b *Budget) reserve(n int64) error {
	full := b.tryReserve(n)
	if full == nil {
		return nil
	}
	return &OversizeError{What: "the memory of all answers that are read whole", Limit: full.limit, Unit: "bytes"}
}

// tryReserve reserves n more bytes. If there is no room, it reserves nothing and
// returns the budget that is full, b or one that b is part of.
func (b *Budget) tryReserve(n int64) (full *Budget) {
	if n == 0 {
		return nil
	}
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return b
	}
	if b.parent == nil {
		return nil
	}
	full = b.parent.tryReserve(n)
	if full != nil {
		b.used.Add(-n)
	}
	return full
}

// Release releases n reserved bytes.
func (b *Budget) Release(n int64) {
	for ; b != nil; b = b.parent {
		b.used.Add(-n)
	}
}

// charge returns how much of a body with n bytes counts in a budget.
func charge(n int64) int64 { return max(0, n-freeBytes) }

// Read reads a body to its end. reserved is the number of bytes that the caller must
// release later; it is 0 if an error is returned. The error is an *OversizeError if the
// body is over MaxBody or all together are over the budget.
func (b *Budget) Read(r io.Reader) (body []byte, reserved int64, err error) {
	for {
		if len(body) == cap(body) {
			grown, err := b.grow(body)
			if err != nil {
				b.Release(reserved)
				return nil, 0, err
			}
			body, reserved = grown, charge(int64(cap(grown)))
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, reserved, nil
		}
		if err != nil {
			b.Release(reserved)
			return nil, 0, err
		}
	}
}

// grow returns a copy of body with twice the capacity.
func (b *Budget) grow(body []byte) ([]byte, error) {
	next := max(initialBody, 2*cap(body))
	if next > MaxBody {
		return nil, &OversizeError{What: "the body of the answer", Limit: MaxBody, Unit: "bytes"}
	}
	if err := b.reserve(charge(int64(next)) - charge(int64(cap(body)))); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, next), body...), nil
}
