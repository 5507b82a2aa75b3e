package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/member"
	"github.com/pimentoshore/pimentoshore/internal/transport"
	"github.com/pimentoshore/pimentoshore/internal/upstream"
)

const maxControlBodyBytes = 64 << 10

// ErrFenced means that the endpoint refused an order because it has already
// accepted a newer fence.
var ErrFenced = errors.New("endpoint: the order's fence is older than one already accepted; read the lease again")

// NotSentError means that no byte of the request was sent, so that it is certain
// that the request did not run.
type NotSentError = upstream.NotSentError

// OtherAnswerError means that the response may belong to an earlier request on the
// same connection. The endpoint may have run the request.
type OtherAnswerError struct {
	Address string
	// Attempt is the attempt that the response names, or empty.
	Attempt string
}

// Error implements error.
func (e *OtherAnswerError) Error() string {
	if e.Attempt == "" {
		return "endpoint " + e.Address + " answered without " + HeaderAttempt + " on a connection in use; return that header in every response"
	}
	return "endpoint " + e.Address + " sent the response to attempt " + e.Attempt + "; the request may have run"
}

// Client calls endpoints and other entry VMs over HTTP. It is safe for
// concurrent use.
type Client struct {
	http *transport.Client
	// echoing contains the addresses of the endpoints whose latest response
	// returned HeaderAttempt.
	echoing sync.Map
}

// NewClient returns a client that uses the transport.
func NewClient(t *transport.Client) *Client { return &Client{http: t} }

// URL returns the base URL for an address.
func (c *Client) URL(address string) string { return c.http.URL(address) }

// nonReplayableBody hides the type of a body from net/http. Otherwise net/http
// may resend the request on a new connection when a kept-alive connection fails,
// as it does for every request with an Idempotency-Key.
type nonReplayableBody struct{ io.Reader }

// Close implements io.Closer and does nothing.
func (nonReplayableBody) Close() error { return nil }

// Do sends the request at most once and returns the endpoint's response. The
// error is a *NotSentError if no connection was available.
func (c *Client) Do(req *http.Request, body []byte) (*http.Response, error) {
	req.Body = nonReplayableBody{bytes.NewReader(body)}
	req.GetBody = nil
	req.ContentLength = int64(len(body))
	connected := false
	clientTrace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), clientTrace))
	resp, err := c.http.Do(req)
	if err != nil && !connected {
		return nil, &NotSentError{Address: req.URL.Host, Err: err}
	}
	return resp, errors.Trace(err)
}

// DoVerified sends the request as Do does and returns the response only if it is
// certain to belong to it: the response returns the request's HeaderAttempt, or has
// no such header and is the first one on its connection. Otherwise the error is an
// *OtherAnswerError. Each request to an endpoint that doesn't return the header has
// a connection of its own.
func (c *Client) DoVerified(req *http.Request, body []byte) (*http.Response, error) {
	address, attempt := req.URL.Host, req.Header.Get(HeaderAttempt)
	_, echoes := c.echoing.Load(address)
	req.Close = !echoes
	reused := false
	clientTrace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	resp, err := c.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), clientTrace)), body)
	if err != nil {
		return nil, err
	}
	got := resp.Header.Get(HeaderAttempt)
	if got == attempt {
		c.echoing.Store(address, struct{}{})
		return resp, nil
	}
	c.echoing.Delete(address)
	if got == "" && !reused {
		return resp, nil
	}
	resp.Body.Close()
	return nil, &OtherAnswerError{Address: address, Attempt: got}
}

// Report fetches the report of the endpoint at the address.
func (c *Client) Report(ctx context.Context, address string) (member.Report, error) {
	return c.doControl(ctx, http.MethodGet, address, ReportPath, nil)
}

// Order sends an order and returns the endpoint's report. The error is ErrFenced
// if the endpoint has already accepted a newer fence. A client that sends orders
// must not be used for reports, whose connections an order could get.
func (c *Client) Order(ctx context.Context, address string, order member.Order) (member.Report, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return member.Report{}, errors.Trace(err)
	}
	return c.doControl(ctx, http.MethodPost, address, OrderPath, body)
}

func (c *Client) doControl(ctx context.Context, method, address, path string, body []byte) (member.Report, error) {
	var report member.Report
	req, err := http.NewRequestWithContext(ctx, method, c.URL(address)+path, nil)
	if err != nil {
		return report, errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.sendControl(req, body)
	if err != nil {
		return report, errors.Trace(err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		err = json.NewDecoder(io.LimitReader(resp.Body, maxControlBodyBytes)).Decode(&report)
		return report, errors.Annotatef(err, "response of %s", address)
	case http.StatusConflict:
		return report, ErrFenced
	}
	return report, errors.Errorf("endpoint %s answered %s to %s", address, resp.Status, path)
}

// sendControl sends a control request. Requests without a body are reads, which
// net/http may resend when a kept-alive connection fails; others are sent at most
// once, and their response is verified to belong to them.
func (c *Client) sendControl(req *http.Request, body []byte) (*http.Response, error) {
	if body == nil {
		return c.http.Do(req)
	}
	req.Header.Set(HeaderAttempt, uuid.NewString())
	return c.DoVerified(req, body)
}
