package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/internal/ingress"
)

// unreadTimeout is how long net/http may read the rest of a body that a response does
// not wait for. Without a bound, a caller that stops sending would hold the handler for
// as long as the connection lives.
const unreadTimeout = 500 * time.Millisecond

// trackedBody is a request's body that records whether it has been read to its end.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, err
}

// boundUnread limits how long the rest of the request's body is read after a response
// that does not wait for it.
func boundUnread(c echo.Context) {
	r := c.Request()
	if r.ContentLength == 0 || r.ProtoMajor != 1 {
		return // HTTP/2 resets the stream instead
	}
	body := &trackedBody{ReadCloser: r.Body}
	r.Body = body
	control := http.NewResponseController(c.Response())
	c.Response().Before(func() {
		if body.ended {
			return
		}
		deadline := time.Now().Add(unreadTimeout)
		if c.Response().Header().Get(echo.HeaderConnection) == "close" {
			deadline = time.Unix(1, 0)
		}
		_ = control.SetReadDeadline(deadline) // recorders in tests have none
	})
}

// closeAfterResponse closes the connection of an HTTP/1 request after its response.
// It is for requests whose body is not read: the rest of it is of no use.
func closeAfterResponse(c echo.Context) {
	if c.Request().ProtoMajor != 1 {
		return
	}
	ingress.CloseAfterResponse(serverWriter(c.Response()))
}

// serverWriter returns the ResponseWriter of the server.
func serverWriter(w http.ResponseWriter) http.ResponseWriter {
	for {
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return w
		}
		w = wrapper.Unwrap()
	}
}
