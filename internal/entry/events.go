package entry

import (
	"bufio"
	"bytes"
	"io"
	"slices"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/internal/upstream"
)

// maxEvent bounds one event of a stream, and what comes between two events.
const maxEvent = 128 << 10

// event is one whole event of a stream, as it came.
type event struct {
	raw []byte
	id  string
	// empty is whether it carries nothing, as comments and blank lines.
	empty bool
}

// eventReader splits a stream into whole events.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
	// idle counts the bytes since the last event that carried something.
	idle int
}

// fields are the names that begin the lines of an event.
var fields = [][]byte{[]byte("data"), []byte("id"), []byte("event"), []byte("retry")}

// isField reports whether a line belongs to an event that carries something.
func isField(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return slices.ContainsFunc(fields, func(f []byte) bool { return bytes.Equal(f, name) })
}

// next returns the next whole event. It is valid until the next call. At the
// end of the stream it returns io.EOF, and io.ErrUnexpectedEOF if an event was
// cut.
func (e *eventReader) next() (event, error) {
	e.buf = e.buf[:0]
	ev := event{empty: true}
	start := 0 // of the line in buf
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if e.idle+len(e.buf) > maxEvent {
			return ev, &upstream.OversizeError{What: "an event of the stream", Limit: maxEvent, Unit: "bytes"}
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.buf) > 0:
			return ev, io.ErrUnexpectedEOF
		case err != nil:
			return ev, err
		}
		line = bytes.TrimRight(e.buf[start:], "\r\n")
		start = len(e.buf)
		if len(line) == 0 {
			ev.raw = e.buf
			e.count(ev)
			return ev, nil
		}
		ev.empty = ev.empty && !isField(line)
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}

// count adds up what comes without an event that carries something.
func (e *eventReader) count(ev event) {
	if !ev.empty {
		e.idle = 0
		return
	}
	e.idle += len(ev.raw)
}

// ready reports whether another whole event has arrived already.
func (e *eventReader) ready() bool {
	arrived, err := e.r.Peek(e.r.Buffered())
	return err == nil && (bytes.Contains(arrived, []byte("\n\n")) || bytes.Contains(arrived, []byte("\n\r\n")))
}
