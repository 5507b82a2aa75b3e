package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/httpstatus"
)

const (
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint
	// sends no Keep-Alive timeout. idleTimeoutMargin is subtracted from a timeout
	// that it sends, so that the connection is not reused just as it closes.
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutMargin  = 800 * time.Millisecond
	// maxIdlePerHost is the maximum number of idle connections per endpoint.
	maxIdlePerHost = 64
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection.
	tcpUserTimeout  = 2 * time.Second
	readBufferBytes = 4 << 10
	// maxCopiedBody is the largest body that is copied behind the head, so that a
	// small request needs only one write.
	maxCopiedBody = 16 << 10
)

// NotSentError means that no byte of the request left this process. It is safe
// to send the request elsewhere.
type NotSentError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("endpoint %s could not be reached: %v; nothing was sent", e.Address, e.Err)
}

// Unwrap returns the underlying error.
func (e *NotSentError) Unwrap() error { return e.Err }

// BrokenError means that the connection failed after the request was sent, in
// full or in part, and before a complete response head arrived. The endpoint may
// have run the request.
type BrokenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("endpoint %s broke off: %v; the request may have run", e.Address, e.Err)
}

// Unwrap returns the underlying error.
func (e *BrokenError) Unwrap() error { return e.Err }

// Request is an HTTP request as sent over the wire.
type Request struct {
	// ID is the ID by which the endpoint's response names the request, or empty. A
	// connection carries an ID only once: a faulty endpoint may repeat its response
	// to an earlier request, and only the ID tells the two apart.
	ID string
	// OwnConn sends the request on a new connection that carries nothing else, for
	// a request whose response has no ID and must be certain.
	OwnConn bool
	Method  string
	// Target is the path and query, sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Client sends requests to endpoints and keeps idle connections for reuse. It is
// safe for concurrent use.
type Client struct {
	mu   sync.Mutex
	idle map[string][]*conn
	dial DialFunc
}

// DialFunc opens a connection to the address of an endpoint. Its error means that
// nothing was sent.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// New returns a client that opens its connections by dial. Nil means TCP with
// dialTimeout and tcpUserTimeout.
func New(dial DialFunc) *Client {
	if dial == nil {
		dial = dialTCP
	}
	return &Client{idle: make(map[string][]*conn), dial: dial}
}

// conn is a connection to one endpoint.
type conn struct {
	net.Conn
	address   string
	raw       *headReader
	r         *bufio.Reader // reads from raw
	carried   []uint64      // hashes of the IDs of the requests sent on it
	idleSince time.Time
	// idleTimeout is how long the connection may stay idle and still be reused.
	idleTimeout time.Duration
}

// Response is an endpoint's response. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Framed reports whether the body has a length or is chunked. Otherwise it
	// ends when the connection closes.
	Framed     bool
	client     *Client
	conn       *conn
	stopCancel func() bool
	reusable   bool
	bodyEnded  bool
}

// Send sends the request to an address and returns once the response head has
// been read. The error is a *NotSentError or a *BrokenError. Cancelling the
// context aborts the connection, also while the body is being read.
func (c *Client) Send(ctx context.Context, address string, req *Request) (*Response, error) {
	cn, err := c.connFor(ctx, address, req)
	if err != nil {
		return nil, &NotSentError{Address: address, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	if ctx.Err() != nil {
		stop()
		cn.Close()
		return nil, &NotSentError{Address: address, Err: context.Cause(ctx)}
	}
	cn.addCarried(hashID(req.ID))
	resp, err := c.exchange(cn, req)
	if err != nil {
		stop()
		cn.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &BrokenError{Address: address, Err: err}
	}
	resp.stopCancel = stop
	return resp, nil
}

// exchange writes the request and reads the response head, skipping interim (1xx)
// responses.
func (c *Client) exchange(cn *conn, req *Request) (*Response, error) {
	if err := req.write(cn); err != nil {
		return nil, err
	}
	cn.raw.setLimit(maxHeadBytes)
	defer cn.raw.clearLimit()
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(cn.r, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if err := checkHead(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		out := &Response{
			Status: resp.StatusCode, Header: resp.Header, client: c, conn: cn,
			Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		}
		out.reusable = !resp.Close && out.Framed && !req.OwnConn
		out.Body = &body{r: resp.Body, resp: out}
		cn.idleTimeout = keepAliveTimeout(resp.Header)
		return out, nil
	}
	return nil, &bodylimit.OversizeError{What: "the number of interim answers", Limit: maxInterimResponses, Unit: "answers"}
}

// checkHead returns an error if a head is no answer in the protocol of endpoints, which
// is HTTP/1.
func checkHead(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return &httpstatus.InvalidError{Proto: resp.Proto, Status: resp.StatusCode}
	}
	return httpstatus.Check(resp)
}

// write sends the request. A body up to maxCopiedBody is sent with the head in one
// write. A larger one is written after the head from its own buffer, since a copy for
// each send would take its size in memory once more. The whole body is written before
// the response is read, so that an endpoint that responds early still receives it.
func (r *Request) write(w io.Writer) error {
	head := r.encodeHead()
	if len(r.Body) <= maxCopiedBody {
		head.Write(r.Body)
		_, err := w.Write(head.Bytes())
		return err
	}
	if _, err := w.Write(head.Bytes()); err != nil {
		return err
	}
	_, err := w.Write(r.Body)
	return err
}

// encodeHead returns the request line and the headers in a buffer that has room for a
// body that is sent with them.
func (r *Request) encodeHead() *bytes.Buffer {
	b := &bytes.Buffer{}
	room := 512
	if len(r.Body) <= maxCopiedBody {
		room += len(r.Body)
	}
	b.Grow(room)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(b) // writing to a bytes.Buffer does not fail
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b
}

// keepAliveTimeout returns how long an idle connection may be reused, according
// to the timeout parameter of the Keep-Alive header, or defaultIdleTimeout if
// there is none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, line := range h.Values("Keep-Alive") {
		for parameter := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if n, err := strconv.Atoi(leadingDigits(value)); err == nil {
				return time.Duration(n)*time.Second - idleTimeoutMargin
			}
		}
	}
	return defaultIdleTimeout
}

// leadingDigits returns the decimal digits that s starts with.
func leadingDigits(s string) string {
	for i := range s {
		if s[i] < '0' || s[i] > '9' {
			return s[:i]
		}
	}
	return s
}

// body is a response body that records when it has been read to the end.
type body struct {
	r    io.ReadCloser
	resp *Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if errors.Is(err, io.EOF) {
		b.resp.bodyEnded = true
	}
	return n, err
}

// Discard reads and drops the rest of the body so that the connection can be
// reused. It gives up if more than maxDiscardBytes are left or if they don't
// arrive within discardTimeout.
func (r *Response) Discard() {
	if r.conn == nil {
		return
	}
	_ = r.conn.SetReadDeadline(time.Now().Add(discardTimeout)) // if this fails, so does the read
	_, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardBytes))
	if err != nil || !r.bodyEnded {
		r.reusable = false
		return
	}
	_ = r.conn.SetReadDeadline(time.Time{}) // Close checks whether the request was cancelled
}

// HasMore reports whether bytes have arrived after the response, whose body must
// have been read to the end. The response may then be a late copy of an earlier
// one, and the bytes the response to this request.
func (r *Response) HasMore() bool {
	if r.conn == nil {
		return false
	}
	if r.conn.r.Buffered() > 0 {
		return true
	}
	n, _ := r.conn.peek() // a broken connection shows when it is next used
	return n > 0
}

// Close releases the connection. It is kept for reuse if the request wasn't
// cancelled and had no connection of its own, the body was read to the end, no
// further bytes were received and the connection has carried fewer than
// maxIDsPerConn IDs.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	cn := r.conn
	r.conn = nil
	active := r.stopCancel()
	if !active || !r.reusable || !r.bodyEnded || cn.r.Buffered() > 0 || len(cn.carried) >= maxIDsPerConn {
		cn.Close()
		return
	}
	r.client.putIdle(cn)
}
