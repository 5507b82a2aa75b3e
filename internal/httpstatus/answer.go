package httpstatus

import (
	"fmt"
	"net/http"
)

// InvalidError means that the head of an answer is not one of the protocol. The request
// may have run.
type InvalidError struct {
	// Proto and Status are those of the head.
	Proto  string
	Status int
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("the head %s %03d is no answer; the request may have run, look at the process that sent it", e.Proto, e.Status)
}

// Check returns an *InvalidError if the head of an answer has a status outside of 100
// to 599 (RFC 9110, 15) or names an unknown version of the protocol. net/http reads any
// three characters that are a number.
func Check(resp *http.Response) error {
	known := resp.Proto == "" || resp.ProtoMajor == 1 || resp.ProtoMajor == 2
	if !known || !IsStatus(resp.StatusCode) {
		return &InvalidError{Proto: resp.Proto, Status: resp.StatusCode}
	}
	return nil
}

// IsStatus reports whether HTTP has statuses of that class.
func IsStatus(status int) bool { return status >= http.StatusContinue && status <= maxStatus }

// maxStatus is the highest status of the protocol.
const maxStatus = 599

// NewTransport returns a RoundTripper over base whose calls fail with an *InvalidError
// where Check does.
func NewTransport(base http.RoundTripper) http.RoundTripper { return transport{base} }

type transport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the base, if it has any.
func (t transport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
