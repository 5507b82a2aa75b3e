package wire

import (
	"io"
	"net"
	"strings"
)

// Endless is a server whose answers never end. On each connection it writes a
// beginning and then repeats a piece until the peer closes the connection.
type Endless struct {
	listener
	beginning string
	pieces    []byte
	closed    chan struct{}
}

// pieceBytes is the approximate number of bytes in one write.
const pieceBytes = 8 << 10

// maxClosed is the capacity of the channel that Closed returns.
const maxClosed = 1000

// NewEndless starts a server on a free port of an IP address.
func NewEndless(ip, beginning, piece string) (*Endless, error) {
	e := &Endless{
		beginning: beginning, pieces: []byte(strings.Repeat(piece, 1+pieceBytes/len(piece))),
		closed: make(chan struct{}, maxClosed),
	}
	var err error
	e.listener, err = listen(ip, e.write)
	return e, err
}

// Closed returns a channel that receives a value for each connection closed by the
// peer. It keeps at most maxClosed values that aren't received.
func (e *Endless) Closed() <-chan struct{} { return e.closed }

func (e *Endless) write(conn net.Conn) {
	Flood(conn, e.beginning, e.pieces)
	select {
	case e.closed <- struct{}{}:
	default:
	}
}

// Flood writes beginning and then repeats pieces until a write fails, usually
// because the peer has closed the connection.
func Flood(w io.Writer, beginning string, pieces []byte) {
	_, err := io.WriteString(w, beginning)
	for err == nil {
		_, err = w.Write(pieces)
	}
}
