package bodylimit

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// endless is a body that never ends.
type endless struct{ closed bool }

func (*endless) Read(p []byte) (int, error) { return len(p), nil }

func (e *endless) Close() error {
	e.closed = true
	return nil
}

// fakeBase answers each request with a body of its own.
type fakeBase struct{ body func() io.ReadCloser }

func (f fakeBase) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: f.body()}, nil
}

func roundTrip(t *testing.T, tr *Transport) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://h/", nil)
	assert.NilError(t, err)
	resp, err := tr.RoundTrip(req)
	assert.NilError(t, err)
	return resp
}

// Guards against one body without end, read whole.
func TestEndlessBodyIsRefused(t *testing.T) {
	b := NewBudget(1 << 30)
	_, reserved, err := b.Read(&endless{})
	var oversize *OversizeError
	assert.Assert(t, errors.As(err, &oversize))
	assert.Equal(t, reserved, int64(0))
	assert.Equal(t, b.Used(), int64(0))
}

// Guards against many bodies that are each within their limit and together aren't.
func TestBodiesShareTheBudget(t *testing.T) {
	b := NewBudget(144 << 10)
	body := strings.Repeat("x", 60<<10) // in a buffer of 64 KB, of which 48 count
	var held int64
	for i := range 4 {
		_, reserved, err := b.Read(strings.NewReader(body))
		assert.Equal(t, err != nil, i == 3, "body %d: %v", i, err)
		held += reserved
	}
	b.Release(held)
	assert.Equal(t, b.Used(), int64(0))
	_, _, err := b.Read(strings.NewReader(body))
	assert.NilError(t, err)
}

// Guards against a body without end that a library reads whole.
func TestTransportRefusesAnEndlessBody(t *testing.T) {
	body := &endless{}
	tr := NewTransport(fakeBase{func() io.ReadCloser { return body }}, 1<<20, 4<<20)
	resp := roundTrip(t, tr)
	raw, err := io.ReadAll(resp.Body)
	var oversize *OversizeError
	assert.Assert(t, errors.As(err, &oversize))
	assert.Assert(t, len(raw) <= 1<<20)
	assert.NilError(t, resp.Body.Close())
	assert.NilError(t, resp.Body.Close())
	assert.Assert(t, body.closed)
	assert.Equal(t, tr.budget.Used(), int64(0))
}

// Guards against answers of many processes at once, each within its limit.
func TestTransportBoundsAllBodiesTogether(t *testing.T) {
	content := bytes.Repeat([]byte("x"), 32<<10) // of which 16 KB count
	tr := NewTransport(fakeBase{func() io.ReadCloser { return io.NopCloser(bytes.NewReader(content)) }}, 32<<10, 48<<10)
	var open []*http.Response
	for i := range 4 {
		resp := roundTrip(t, tr)
		open = append(open, resp)
		raw, err := io.ReadAll(resp.Body)
		assert.Equal(t, err != nil, i == 3, "answer %d: %v", i, err)
		assert.Assert(t, i == 3 || bytes.Equal(raw, content))
	}
	for _, resp := range open {
		assert.NilError(t, resp.Body.Close())
	}
	resp := roundTrip(t, tr)
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(raw, content))
}

// Guards against small answers that fail because endless ones use up the budget.
func TestSmallBodiesNeedNoBudget(t *testing.T) {
	large := strings.Repeat("x", 60<<10)
	b := NewBudget(48 << 10)
	_, held, err := b.Read(strings.NewReader(large))
	assert.NilError(t, err)
	_, _, err = b.Read(strings.NewReader(large))
	assert.Assert(t, err != nil, "the budget should be used up")
	body, reserved, err := b.Read(strings.NewReader("done"))
	assert.NilError(t, err)
	assert.Equal(t, string(body), "done")
	b.Release(held + reserved)
	assert.Equal(t, b.Used(), int64(0))

	contents := []string{large, "done"}
	tr := NewTransport(fakeBase{func() io.ReadCloser {
		content := contents[0]
		contents = contents[1:]
		return io.NopCloser(strings.NewReader(content))
	}}, 64<<10, 48<<10)
	first := roundTrip(t, tr)
	_, err = io.ReadAll(first.Body)
	assert.NilError(t, err)
	second := roundTrip(t, tr)
	raw, err := io.ReadAll(second.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), "done")
	assert.NilError(t, first.Body.Close())
	assert.NilError(t, second.Body.Close())
	assert.Equal(t, tr.budget.Used(), int64(0))
}
