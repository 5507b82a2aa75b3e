package gateway

import (
	"net/http"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/ingress"
)

// maxWritePiece is how much of a response is written at once, in bytes. A caller that
// reads slowly but steadily receives a piece within the time for a write.
const maxWritePiece = 16 << 10

// callerWriter is a ResponseWriter whose writes fail if the caller reads nothing for
// longer than timeout. Such a caller would otherwise block its handler without a
// bound, on HTTP/2 also by the flow control of a single stream.
type callerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

func newCallerWriter(w http.ResponseWriter, timeout time.Duration) *callerWriter {
	return &callerWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout}
}

// boundWrites returns a handler that bounds the writes of h to the caller.
func (s *Server) boundWrites(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && ingress.FromContext(r.Context()) != nil {
			h.ServeHTTP(w, r) // the listener bounds its writes
			return
		}
		cw := newCallerWriter(w, s.stalledWrite)
		h.ServeHTTP(cw, r)
		if r.ProtoMajor == 2 {
			// After the handler, net/http would write the rest of the response
			// without a deadline.
			_ = cw.FlushError() // the server closes a stream that fails
		}
	})
}

// Write implements io.Writer.
func (w *callerWriter) Write(p []byte) (n int, err error) {
	defer w.startWrite()()
	for {
		piece := p[n:min(len(p), n+maxWritePiece)]
		written, err := w.ResponseWriter.Write(piece)
		n += written
		if err != nil || n == len(p) {
			return n, err
		}
		w.startWrite()
	}
}

// FlushError writes what is buffered. http.ResponseController calls it.
func (w *callerWriter) FlushError() error {
	defer w.startWrite()()
	return w.control.Flush()
}

// Unwrap returns the ResponseWriter for http.ResponseController.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// startWrite sets the deadline of a write. The returned function removes it, since
// HTTP/2 resets a stream at its write deadline even if nothing is being written.
func (w *callerWriter) startWrite() (end func()) {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout)) // recorders in tests have none
	return func() { _ = w.control.SetWriteDeadline(time.Time{}) }
}
