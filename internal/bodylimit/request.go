package bodylimit

import (
	"errors"
	"io"
	"time"
)

const (
	// relieveTimeout limits how long a body that is being read waits for memory.
	relieveTimeout  = 100 * time.Millisecond
	relieveInterval = 10 * time.Millisecond
)

// Request describes the body of a request that is to be read whole.
type Request struct {
	// Holder is who holds the body's memory: a client account or a remote address.
	Holder string
	// Length is the announced length in bytes, or -1.
	Length int64
	// Limit is the largest allowed body in bytes.
	Limit int64
	// Relieve is called if there is no memory for the body. It may free some, of
	// the given holder if that is not empty. It may be nil.
	Relieve func(holder string)
}

// ReadRequest reads a request's body to its end. The caller must release the
// reservation when it no longer holds the body; it is empty if an error is returned.
// The error is an *OversizeError if the body is over its limit, a *ShortageError if
// there is no memory for it, and otherwise that of reading. A body whose announced
// length is over the limit or doesn't fit is not read at all.
func (h *HolderBudget) ReadRequest(body io.Reader, req Request) ([]byte, Reservation, error) {
	r := requestReader{Request: req, body: body, held: h.Hold(req.Holder, req.Limit)}
	complete := false
	defer func() {
		if !complete {
			r.held.Release()
		}
	}()
	if err := r.read(); err != nil {
		return nil, Reservation{}, err
	}
	complete = true
	return r.buf, r.held, nil
}

// requestReader reads the body of a request.
type requestReader struct {
	Request
	body io.Reader
	held Reservation
	buf  []byte
}

func (r *requestReader) read() error {
	if r.Length > r.Limit {
		return r.oversize()
	}
	size := min(initialBody, r.Limit)
	if r.Length >= 0 {
		size = r.Length
	}
	if err := r.resize(size); err != nil {
		return err
	}
	for {
		if len(r.buf) == cap(r.buf) {
			if done, err := r.extend(); done || err != nil {
				return err
			}
		}
		n, err := r.body.Read(r.buf[len(r.buf):cap(r.buf)])
		r.buf = r.buf[:len(r.buf)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// extend makes room in a full buffer. done reports that the body has ended.
func (r *requestReader) extend() (done bool, err error) {
	size := int64(cap(r.buf))
	if r.Length < 0 && size < r.Limit {
		return false, r.resize(min(2*size, r.Limit))
	}
	var next [1]byte
	for {
		n, err := r.body.Read(next[:])
		switch {
		case n > 0:
			return false, r.oversize()
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// resize moves the body to a buffer of the given capacity. Both buffers count until
// the copy is complete.
func (r *requestReader) resize(size int64) error {
	before := charge(int64(cap(r.buf)))
	if err := r.reserve(charge(size)); err != nil {
		return err
	}
	r.buf = append(make([]byte, 0, size), r.buf...)
	r.held.Shrink(before)
	return nil
}

// reserve reserves n bytes. If there is no memory, it tries to free some, and waits
// for it for a short time.
func (r *requestReader) reserve(n int64) error {
	err := r.held.Grow(n)
	if err == nil || r.Relieve == nil {
		return err
	}
	deadline := time.Now().Add(relieveTimeout)
	var short *ShortageError
	for errors.As(err, &short) && short.Wanted <= short.Limit && time.Now().Before(deadline) {
		r.Relieve(short.Holder)
		time.Sleep(relieveInterval)
		err = r.held.Grow(n)
	}
	return err
}

func (r *requestReader) oversize() error {
	return &OversizeError{What: "the body of the request", Limit: r.Limit, Unit: "bytes"}
}
