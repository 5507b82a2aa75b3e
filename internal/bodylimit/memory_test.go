package bodylimit

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const testLimit = 1 << 20

// countingReader counts the reads of a body.
type countingReader struct {
	io.Reader
	reads int
}

func (r *countingReader) Read(p []byte) (int, error) {
	r.reads++
	return r.Reader.Read(p)
}

// Guards against bodies that are truncated or joined wrongly as their buffer grows,
// and against memory that stays reserved after them.
func TestRequestBodiesAreReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, initialBody, initialBody + 1, freeBytes, 100_000, testLimit - 1, testLimit} {
		content := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
		for _, length := range []int64{-1, int64(size)} {
			m := NewMemory(Sizes{})
			body, held, err := m.Requests.ReadRequest(bytes.NewReader(content), Request{Holder: "a", Length: length, Limit: testLimit})
			assert.NilError(t, err, "size %d, length %d", size, length)
			assert.Assert(t, bytes.Equal(body, content), "size %d, length %d", size, length)
			assert.Equal(t, held.Size(), charge(int64(cap(body))))
			assert.Equal(t, m.Used(), held.Size())
			held.Release()
			held.Release()
			assert.Equal(t, m.Used(), int64(0))
			assert.Equal(t, len(m.Requests.held), 0)
		}
	}
}

// Guards against memory that stays reserved after a body over the limit, a broken
// one, or a panic while one is read.
func TestFailedRequestBodiesHoldNoMemory(t *testing.T) {
	large := strings.Repeat("x", 100_000)
	for name, body := range map[string]io.Reader{
		"endless": &endless{},
		"broken":  io.MultiReader(strings.NewReader(large), &failing{err: io.ErrUnexpectedEOF}),
		"panics":  io.MultiReader(strings.NewReader(large), &failing{}),
	} {
		t.Run(name, func(t *testing.T) {
			m := NewMemory(Sizes{})
			defer func() {
				_ = recover() // of the body that panics
				assert.Equal(t, m.Used(), int64(0))
			}()
			_, _, err := m.Requests.ReadRequest(body, Request{Holder: "a", Length: -1, Limit: testLimit})
			var oversize *OversizeError
			assert.Assert(t, err != nil)
			assert.Equal(t, errors.As(err, &oversize), name == "endless")
		})
	}
}

// failing is a body that fails, or panics without an error.
type failing struct{ err error }

func (f *failing) Read([]byte) (int, error) {
	if f.err == nil {
		panic("body")
	}
	return 0, f.err
}

// Guards against reading bodies that are announced to be over the limit or larger
// than the memory that is left.
func TestAnnouncedBodiesAreRefusedUnread(t *testing.T) {
	m := NewMemory(Sizes{Requests: 200_000, Responses: 200_000})
	body := &countingReader{Reader: &endless{}}
	_, _, err := m.Requests.ReadRequest(body, Request{Holder: "a", Length: testLimit + 1, Limit: testLimit})
	var oversize *OversizeError
	assert.Assert(t, errors.As(err, &oversize))
	_, _, err = m.Requests.ReadRequest(body, Request{Holder: "a", Length: 300_000, Limit: testLimit})
	var short *ShortageError
	assert.Assert(t, errors.As(err, &short))
	assert.Equal(t, body.reads, 0)
	assert.Equal(t, m.Used(), int64(0))
}

// Guards against one client that uses up the memory for all.
func TestHolderGetsHalfOfTheRequestMemory(t *testing.T) {
	m := NewMemory(Sizes{Requests: 400_000})
	read := func(holder string, size int) (Reservation, error) {
		_, held, err := m.Requests.ReadRequest(strings.NewReader(strings.Repeat("x", size)), Request{Holder: holder, Length: int64(size), Limit: 80_000})
		return held, err
	}
	first, err := read("a", 80_000)
	assert.NilError(t, err)
	second, err := read("a", 80_000)
	assert.NilError(t, err)
	third, err := read("a", 80_000)
	assert.NilError(t, err)
	_, err = read("a", 80_000)
	var short *ShortageError
	assert.Assert(t, errors.As(err, &short))
	assert.Equal(t, short.Holder, "a")
	other, err := read("b", 80_000)
	assert.NilError(t, err)
	small, err := read("a", freeBytes)
	assert.NilError(t, err, "small bodies need no memory of the budget")
	for _, held := range []*Reservation{&first, &second, &third, &other, &small} {
		held.Release()
	}
	assert.Equal(t, m.Used(), int64(0))
}

// Guards against a client that can never send the largest allowed body, because its
// half of the memory is smaller.
func TestHolderMayAlwaysSendOneLargestBody(t *testing.T) {
	for _, length := range []int64{testLimit, -1} {
		m := NewMemory(Sizes{Requests: 2 * testLimit})
		_, held, err := m.Requests.ReadRequest(strings.NewReader(strings.Repeat("x", testLimit)), Request{Holder: "a", Length: length, Limit: testLimit})
		assert.NilError(t, err)
		held.Release()
	}
}

// Guards against requests and responses that are each within their limit and together
// aren't.
func TestRequestsAndResponsesShareTheTotal(t *testing.T) {
	m := NewMemory(Sizes{Requests: 100_000, Responses: 100_000, Total: 150_000})
	_, reserved, err := m.Responses.Read(strings.NewReader(strings.Repeat("x", 60<<10)))
	assert.NilError(t, err)
	_, reserved2, err := m.Responses.Read(strings.NewReader(strings.Repeat("x", 60<<10)))
	assert.NilError(t, err)
	request := Request{Holder: "a", Length: 80_000, Limit: 80_000}
	body := strings.Repeat("x", 80_000)
	_, _, err = m.Requests.ReadRequest(strings.NewReader(body), request)
	var short *ShortageError
	assert.Assert(t, errors.As(err, &short))
	assert.Equal(t, short.Limit, int64(150_000))
	m.Responses.Release(reserved)
	_, held, err := m.Requests.ReadRequest(strings.NewReader(body), request)
	assert.NilError(t, err)
	held.Release()
	m.Responses.Release(reserved2)
	assert.Equal(t, m.Used(), int64(0))
}

// Guards against refusing a body while memory can be freed for it, and against freeing
// some for a body that can never fit.
func TestMemoryIsFreedForABody(t *testing.T) {
	m := NewMemory(Sizes{Requests: 200_000})
	held := m.Requests.Hold("other", 0)
	assert.NilError(t, held.Grow(100_000))
	more := m.Requests.Hold("another", 0)
	assert.NilError(t, more.Grow(100_000))
	relieved := 0
	request := Request{Holder: "a", Length: 80_000, Limit: testLimit, Relieve: func(string) { relieved++; held.Release() }}
	_, read, err := m.Requests.ReadRequest(strings.NewReader(strings.Repeat("x", 80_000)), request)
	assert.NilError(t, err)
	assert.Equal(t, relieved, 1)
	request.Length = 300_000
	_, _, err = m.Requests.ReadRequest(strings.NewReader(""), request)
	assert.Assert(t, err != nil)
	assert.Equal(t, relieved, 1)
	read.Release()
	more.Release()
	assert.Equal(t, m.Used(), int64(0))
}
