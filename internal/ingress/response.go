package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
)

// RemoteIP returns the address of a request's caller without its port.
func RemoteIP(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// CloseAfterResponse makes an HTTP/1 server close the connection after the response
// instead of reading the rest of the request's body. w is the server's own
// ResponseWriter.
func CloseAfterResponse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// A body over the limit of a MaxBytesReader makes the server wait after the
	// response before it closes the connection, which otherwise discards the response
	// while the caller is still sending. There is no other way to ask for that.
	over := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = over.Read(make([]byte, 1)) // fails always
}
