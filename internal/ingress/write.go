package ingress

import "time"

// Write implements net.Conn. It writes in pieces, each of which is progress.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+maxPiece)]
		c.beginWrite()
		n, err := c.Conn.Write(piece)
		c.endWrite(n)
		written += n
		if err != nil || written >= len(p) {
			return written, err
		}
	}
}

func (c *Conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writers == 0 {
		c.wroteAt, c.queued = time.Now(), 0
	}
	c.writers++
}

func (c *Conn) endWrite(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writers--
	if n > 0 && c.writers > 0 {
		c.wroteAt, c.queued = time.Now(), 0
	}
	c.written += int64(n)
}

// CloseWrite closes the sending side, if the connection has one.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
