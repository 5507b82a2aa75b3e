package gateway

import (
	"errors"
	"io"
	"net/http"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
)

// maxSilentBytes is how much of a stream may arrive without a new event of it.
const maxSilentBytes = 2 * maxEventBytes

// readWhole reads a response's body to its end. Its memory is released when the
// request ends. The problem names what sent it.
func (s *Server) readWhole(req *request, resp *http.Response, sender string) ([]byte, *problem.Error) {
	body, reserved, err := s.answers.Read(resp.Body)
	req.held += reserved
	var oversize *bodylimit.OversizeError
	switch {
	case errors.As(err, &oversize):
		return nil, endpointError(sender + "'s response is too large: " + oversize.Error())
	case err != nil:
		return nil, endpointError(sender + "'s response was truncated")
	}
	return body, nil
}

// releaseHeld releases the memory of the responses that the request has read whole.
func (s *Server) releaseHeld(req *request) {
	s.answers.Release(req.held)
	req.held = 0
}

// eventBody is the body of a stream. Reading it fails once more than maxSilentBytes
// have arrived since the last progress.
type eventBody struct {
	r      io.Reader
	silent int
}

// Read implements io.Reader.
func (b *eventBody) Read(p []byte) (int, error) {
	if b.silent > maxSilentBytes {
		return 0, &bodylimit.OversizeError{What: "what a stream sends between two events", Limit: maxSilentBytes, Unit: "bytes"}
	}
	n, err := b.r.Read(p)
	b.silent += n
	return n, err
}

// recordProgress records that a new event was read.
func (b *eventBody) recordProgress() { b.silent = 0 }
