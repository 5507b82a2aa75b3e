package wire

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Raw is a server that answers the first request on each connection with fixed bytes
// and closes the connection.
type Raw struct {
	listener
	answer string
}

// NewRaw starts a server at a free port of the IP address that answers with the bytes.
func NewRaw(ip, answer string) (*Raw, error) {
	r := &Raw{answer: answer}
	var err error
	r.listener, err = listen(ip, r.write)
	return r, err
}

func (r *Raw) write(conn net.Conn) {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)  // the client may have gone
	_, _ = io.WriteString(conn, r.answer) // likewise
}
