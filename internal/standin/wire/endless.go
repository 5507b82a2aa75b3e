package wire

import (
	"io"
	"net"
	"strings"
)

// Endless is a server whose answers don't end: on each connection it writes a
// beginning, and then a piece again and again, until the other side closes it.
type Endless struct {
	listener  net.Listener
	beginning string
	pieces    []byte
	closed    chan struct{}
}

// pieceBytes is about how much an Endless writes at once.
const pieceBytes = 8 << 10

// closedMost is how many closed connections may wait to be noticed.
const closedMost = 1000

// NewEndless starts a server at an IP address.
func NewEndless(ip, beginning, piece string) (*Endless, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &Endless{
		listener: l, beginning: beginning, pieces: []byte(strings.Repeat(piece, 1+pieceBytes/len(piece))),
		closed: make(chan struct{}, closedMost),
	}
	go e.accept()
	return e, nil
}

// Address returns the IP address and port.
func (e *Endless) Address() string { return e.listener.Addr().String() }

// Closed gets a value for each connection that the other side has closed.
func (e *Endless) Closed() <-chan struct{} { return e.closed }

// Close stops accepting connections.
func (e *Endless) Close() { e.listener.Close() }

func (e *Endless) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.write(conn)
	}
}

func (e *Endless) write(conn net.Conn) {
	defer conn.Close()
	Flood(conn, e.beginning, e.pieces)
	e.closed <- struct{}{}
}

// Flood writes a beginning and then the same bytes again and again, until the
// other side closes the connection.
func Flood(w io.Writer, beginning string, pieces []byte) {
	_, err := io.WriteString(w, beginning)
	for err == nil {
		_, err = w.Write(pieces)
	}
}
