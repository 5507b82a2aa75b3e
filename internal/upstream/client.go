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
	"sync"
	"time"
)

const (
	dialTimeout = 300 * time.Millisecond
	// idleDefault is how long a connection is kept whose endpoint names no
	// time; idleMargin is kept from the time that one names.
	idleDefault = 4 * time.Second
	idleMargin  = 800 * time.Millisecond
	// idlePerHost bounds the connections kept to one endpoint.
	idlePerHost = 64
	// deadPeer bounds how long sent bytes may stay without acknowledgement.
	deadPeer   = 2 * time.Second
	readBuffer = 4 << 10
)

// NotSentError means that no byte of the request left this process.
type NotSentError struct {
	Address string
	Err     error
}

// Error names the address and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("endpoint %s could not be reached: %v; nothing was sent", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// BrokenError means that the connection failed after the request was sent, in
// whole or in part, and before a whole header of an answer.
type BrokenError struct {
	Address string
	Err     error
}

// Error names the address and the cause.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("endpoint %s broke off: %v; the request may have run", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// Request is a request as it goes over the wire.
type Request struct {
	Method string
	// Target is the path and query exactly as they are sent.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Client keeps connections to endpoints. It is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	idle  map[string][]*conn
	dials func(address string)
}

// New returns a client; dialled, if not nil, is told of each new connection.
func New(dialled func(address string)) *Client {
	return &Client{idle: make(map[string][]*conn), dials: dialled}
}

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	address string
	raw     *headReader
	r       *bufio.Reader // over raw
	idleAt  time.Time
	// keep is how long the endpoint keeps the connection while idle.
	keep time.Duration
}

// Response is an endpoint's answer. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Framed is whether the body's end is marked; otherwise it ends with the
	// connection.
	Framed bool
	client *Client
	conn   *conn
	stop   func() bool
	keep   bool
	ended  bool
}

// Send sends the request to an address and returns the header of the answer.
// The error is a *NotSentError or a *BrokenError. Cancelling the context ends
// the connection, also while the body is read.
func (c *Client) Send(ctx context.Context, address string, req *Request) (*Response, error) {
	cn, err := c.take(ctx, address)
	if err != nil {
		return nil, &NotSentError{Address: address, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	if ctx.Err() != nil {
		stop()
		cn.Close()
		return nil, &NotSentError{Address: address, Err: context.Cause(ctx)}
	}
	resp, err := c.exchange(cn, req)
	if err != nil {
		stop()
		cn.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &BrokenError{Address: address, Err: err}
	}
	resp.stop = stop
	return resp, nil
}

func (c *Client) exchange(cn *conn, req *Request) (*Response, error) {
	if _, err := cn.Write(req.encode()); err != nil {
		return nil, err
	}
	cn.raw.limit(maxHeadBytes)
	defer cn.raw.free()
	for range maxInterim + 1 {
		resp, err := http.ReadResponse(cn.r, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		out := &Response{
			Status: resp.StatusCode, Header: resp.Header, client: c, conn: cn,
			Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		}
		out.keep = !resp.Close && out.Framed
		out.Body = &body{r: resp.Body, resp: out}
		cn.keep = keepAlive(resp.Header)
		return out, nil
	}
	return nil, &OversizeError{What: "the number of interim answers", Limit: maxInterim, Unit: "answers"}
}

// encode writes the request in one piece, so that an endpoint that answers
// early still gets the body that is due.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a buffer's writes don't fail
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// keepAlive returns how long an endpoint keeps an idle connection.
func keepAlive(h http.Header) time.Duration {
	const parameter = "timeout="
	value := h.Get("Keep-Alive")
	if len(value) <= len(parameter) || value[:len(parameter)] != parameter {
		return idleDefault
	}
	n, err := strconv.Atoi(trimParameter(value[len(parameter):]))
	if err != nil {
		return idleDefault
	}
	return time.Duration(n)*time.Second - idleMargin
}

func trimParameter(s string) string {
	for i := range s {
		if s[i] < '0' || s[i] > '9' {
			return s[:i]
		}
	}
	return s
}

// body notes when the answer's body has ended.
type body struct {
	r    io.ReadCloser
	resp *Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if errors.Is(err, io.EOF) {
		b.resp.ended = true
	}
	return n, err
}

// Discard reads the rest of an answer that nobody wants, if little is left that
// comes at once, so that its connection can be kept.
func (r *Response) Discard() {
	if r.conn == nil {
		return
	}
	_ = r.conn.SetReadDeadline(time.Now().Add(discardTime)) // without one the read fails by itself
	_, err := io.Copy(io.Discard, io.LimitReader(r.Body, discardBytes))
	if err != nil || !r.ended {
		r.keep = false
		return
	}
	_ = r.conn.SetReadDeadline(time.Time{}) // Close looks whether the request was cancelled
}

// Close ends the use of the connection: it is kept if the answer was read
// whole and nothing followed it.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	cn := r.conn
	r.conn = nil
	live := r.stop()
	if !live || !r.keep || !r.ended || cn.r.Buffered() > 0 {
		cn.Close()
		return
	}
	r.client.put(cn)
}
