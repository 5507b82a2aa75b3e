package ingress

import (
	"bytes"
	"io"
	"time"
)

const (
	// headerLineBytes is the memory of one line of a parsed header and of its copies
	// for the endpoint, beyond the bytes of the line.
	headerLineBytes = 300
	// freeHeaderBytes is the memory of a header that does not count in the budget.
	freeHeaderBytes = 16 << 10
)

// HeaderMemory returns how much of the memory of a parsed header counts in a budget,
// for its size in bytes and the number of its lines.
func HeaderMemory(size, lines int) int64 {
	return max(0, int64(size+lines*headerLineBytes)-freeHeaderBytes)
}

// recordHeader counts a part of a header, and reserves memory for what it takes when
// parsed.
func (c *Conn) recordHeader(p []byte) (refusal string, closing bool) {
	// The server reads on only if what it has read before is not a complete header.
	if c.headerBytes > c.set.limits.Load().HeaderBytes {
		c.choose(HeaderTooLarge)
		return headerTooLarge, true
	}
	if end := bytes.Index(p, []byte("\r\n\r\n")); end >= 0 {
		p = p[:end+4]
	}
	c.headerBytes += len(p)
	c.headerLines += bytes.Count(p, []byte("\n"))
	cost := HeaderMemory(c.headerBytes, c.headerLines)
	if c.set.opts.Memory == nil || cost <= c.headerMemory.Size() {
		return "", false
	}
	if c.headerMemory.Size() == 0 {
		c.headerMemory = c.set.opts.Memory.Hold(c.ip, 0)
	}
	if err := c.headerMemory.Grow(max(cost-c.headerMemory.Size(), headerStep)); err != nil {
		c.choose(NoMemory)
		return noMemory, true
	}
	return "", false
}

// refuse sends a response to a request whose header is not read to its end, and waits
// for the caller to read it.
func (c *Conn) refuse(response string) {
	c.set.record(c)
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout)) // the write fails too
	if _, err := io.WriteString(c.Conn, response); err != nil {
		return
	}
	_ = c.CloseWrite() // the caller may have left
	time.Sleep(lingerPeriod)
}
