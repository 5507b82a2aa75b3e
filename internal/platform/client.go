package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/httpstatus"
)

const (
	defaultTimeout = 2 * time.Second
	// maxAnswerBytes limits one answer, and maxAnswersBytes all that are being read.
	maxAnswerBytes      = 32 << 20
	maxAnswersBytes     = 48 << 20
	maxIdleConnsPerHost = 16
	idleConnTimeout     = 30 * time.Second
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// URLs are the base URLs of the table service, tried in turn.
	URLs []string
	// Timeout bounds each request; 0 means 2 s.
	Timeout time.Duration
	// Transport sends the requests; nil means a new http.Transport.
	Transport http.RoundTripper
}

// Client implements Table over the table service's HTTP interface. It is safe for
// concurrent use.
type Client struct {
	urls    []string
	timeout time.Duration
	http    *http.Client
	// current is the index in urls, modulo their number, of the URL that last
	// answered a request, or of the one after the URL that last left a request
	// without an answer.
	current atomic.Uint64
}

var _ Table = (*Client)(nil)

// NewClient returns a client of the table service.
func NewClient(opts ClientOptions) *Client {
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.Transport == nil {
		opts.Transport = &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: bodylimit.MaxHead,
		}
	}
	urls := make([]string, 0, len(opts.URLs))
	for _, u := range opts.URLs {
		urls = append(urls, strings.TrimRight(u, "/"))
	}
	return &Client{urls: urls, timeout: opts.Timeout, http: &http.Client{
		Transport: bodylimit.NewTransport(httpstatus.NewTransport(opts.Transport), maxAnswerBytes, maxAnswersBytes),
	}}
}

// Get implements Table. Every error wraps ErrUnavailable.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	var answer RowsAnswer
	if err := c.read(ctx, GetPath, GetRequest{Keys: keys}, &answer); err != nil {
		return nil, err
	}
	if len(answer.Rows) != len(keys) {
		return nil, fmt.Errorf("%w: got %d rows for %d keys", ErrUnavailable, len(answer.Rows), len(keys))
	}
	return answer.Rows, nil
}

// List implements Table. Every error wraps ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var answer RowsAnswer
	err := c.read(ctx, ListPath, ListRequest{Prefix: prefix, After: after, Limit: limit}, &answer)
	return answer.Rows, err
}

// VMs implements Table. Every error wraps ErrUnavailable.
func (c *Client) VMs(ctx context.Context) ([]VMStatus, error) {
	var answer VMsAnswer
	err := c.read(ctx, VMsPath, struct{}{}, &answer)
	return answer.VMs, err
}

// Commit implements Table. The error is ErrUnavailable only if the request was
// not sent or the service reported that it wrote nothing. A transaction whose
// outcome is unknown is never sent again.
func (c *Client) Commit(ctx context.Context, txn Txn) (uint64, error) {
	var answer CommitAnswer
	err := c.call(ctx, CommitPath, txn, &answer)
	return answer.Revision, err
}

// read makes a call that is safe to repeat, so that every error becomes
// ErrUnavailable.
func (c *Client) read(ctx context.Context, path string, request, answer any) error {
	err := c.call(ctx, path, request, answer)
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrUnavailable, err.Error())
}

// call tries the URLs, beginning with the current one, until one may have
// processed the request or the time is up.
func (c *Client) call(ctx context.Context, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("%w: %s", ErrUnavailable, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	err = fmt.Errorf("%w: no URL is configured", ErrUnavailable)
	start := c.current.Load()
	for i := range uint64(len(c.urls)) {
		index := (start + i) % uint64(len(c.urls))
		var notWritten bool
		notWritten, err = c.post(ctx, c.urls[index]+path, body, answer)
		switch {
		case errors.Is(err, ErrUnknown), notWritten && ctx.Err() != nil:
			c.current.Store(index + 1) // the next call does not wait for this URL again
			return err
		case !notWritten:
			c.current.Store(index)
			return err
		}
	}
	return err
}

// post sends one request. notWritten is true if it is certain that the request
// had no effect, so that another URL may be tried.
func (c *Client) post(ctx context.Context, url string, body []byte, answer any) (notWritten bool, err error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return true, fmt.Errorf("%w: %s", ErrUnavailable, err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil && !sent.Load() {
		return true, fmt.Errorf("%w: %s", ErrUnavailable, err.Error())
	}
	if err != nil {
		return false, fmt.Errorf("%w: %s", ErrUnknown, err.Error())
	}
	defer resp.Body.Close()
	return decodeAnswer(resp, url, answer)
}

// decodeAnswer decodes the response and maps its status to what is known about the
// write.
func decodeAnswer(resp *http.Response, url string, answer any) (notWritten bool, err error) {
	raw, err := io.ReadAll(resp.Body)
	switch status := resp.StatusCode; {
	case status == http.StatusConflict:
		return false, ErrConflict
	case status == http.StatusServiceUnavailable:
		return true, ErrUnavailable
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return true, fmt.Errorf("%w: %s refused the request with status %d", ErrUnavailable, url, status)
	case status != http.StatusOK:
		return false, fmt.Errorf("%w: %s answered status %d", ErrUnknown, url, status)
	case err != nil:
		return false, fmt.Errorf("%w: %s", ErrUnknown, err.Error())
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return false, fmt.Errorf("%w: %s", ErrUnknown, err.Error())
	}
	return false, nil
}
