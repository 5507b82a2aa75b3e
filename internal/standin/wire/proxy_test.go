package wire

import (
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echo starts a server that sends back what it receives, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c) //nolint:errcheck // any error ends the connection
			}()
		}
	}()
	return l.Addr().String()
}

func TestProxy(t *testing.T) {
	p, err := New("127.0.0.1", echo(t))
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	defer c.Close()
	answer := func(within time.Duration) string {
		_, err := c.Write([]byte("hello"))
		assert.NilError(t, err)
		buf := make([]byte, 5)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
		n, _ := io.ReadFull(c, buf) // a timeout leaves the answer short
		return string(buf[:n])
	}
	assert.Equal(t, answer(5*time.Second), "hello")
	p.Set(Delay)
	began := time.Now()
	assert.Equal(t, answer(5*time.Second), "hello")
	assert.Assert(t, time.Since(began) >= 2*addedDelay)
	for _, f := range []Fault{Silent, DropToServer} {
		p.Set(f)
		assert.Equal(t, answer(50*time.Millisecond), "", string(f))
	}
	p.Set(Clear)
	assert.Equal(t, answer(5*time.Second), "hello")
	p.Set(Reset)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = c.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "reset")
}

// Guards against a held link that loses, reorders or ends what it holds back.
func TestHeldLinkLosesNothing(t *testing.T) {
	p, err := New("127.0.0.1", echo(t))
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	defer c.Close()
	p.Set(Held)
	sent := []byte(strings.Repeat("0123456789", 5000))
	_, err = c.Write(sent)
	assert.NilError(t, err)
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	p.Set(Clear)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	got, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(got), string(sent))
}

// Connections that are accepted at the moment at which the fault is set are reset,
// too.
func TestResetMissesNoConnection(t *testing.T) {
	target := echo(t)
	for i := range 300 {
		p, err := New("127.0.0.1", target)
		assert.NilError(t, err)
		c, err := net.Dial("tcp", p.Address())
		assert.NilError(t, err)
		time.Sleep(time.Duration(i) * time.Microsecond)
		p.Set(Reset)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = c.Read(make([]byte, 1))
		assert.ErrorContains(t, err, "reset", "round %d", i)
		c.Close()
		p.Close()
	}
}
