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
	listener net.Listener
	answer   string
}

// NewRaw starts a server at a free port of the IP address that answers with the bytes.
func NewRaw(ip, answer string) (*Raw, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &Raw{listener: l, answer: answer}
	go r.accept()
	return r, nil
}

// Address returns the server's IP address and port.
func (r *Raw) Address() string { return r.listener.Addr().String() }

// Close closes the listener.
func (r *Raw) Close() { r.listener.Close() }

func (r *Raw) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.write(conn)
	}
}

func (r *Raw) write(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)  // the client may have gone
	_, _ = io.WriteString(conn, r.answer) // likewise
}
