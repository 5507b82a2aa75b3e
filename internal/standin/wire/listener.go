package wire

import "net"

// listener accepts the connections of a stand-in until it is closed.
type listener struct{ accepting net.Listener }

// listen listens at a free port of an IP address and runs serve for each connection, which
// it closes afterwards.
func listen(ip string, serve func(net.Conn)) (listener, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return listener{}, err
	}
	go accept(l, serve)
	return listener{l}, nil
}

func accept(l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			serve(conn)
		}()
	}
}

// Address returns the IP address and port.
func (l listener) Address() string { return l.accepting.Addr().String() }

// Close stops accepting connections. Open ones go on until they end by themselves.
func (l listener) Close() { l.accepting.Close() }
