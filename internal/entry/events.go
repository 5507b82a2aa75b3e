package entry

import (
	"bufio"
	"bytes"
	"io"
	"slices"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
)

// maxEventSize limits a single event of a stream in bytes, together with the
// empty events that precede it.
const maxEventSize = 128 << 10

// event is a complete event of a stream.
type event struct {
	raw []byte // as received
	id  string
	// data reports whether the event has a data field.
	data bool
	// empty reports whether the event has no fields, as with comments and
	// blank lines.
	empty bool
	// text reports whether it has lines that are neither fields nor comments.
	text bool
}

// eventReader splits a stream into complete events.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
	// idle is the number of bytes since the last non-empty event.
	idle int
}

// eventFields are the field names defined for event streams.
var eventFields = [][]byte{[]byte("data"), []byte("id"), []byte("event"), []byte("retry")}

// fieldName returns the name of the field in a line if it is one of eventFields,
// or nil.
func fieldName(line []byte) []byte {
	name, _, _ := bytes.Cut(line, []byte(":"))
	if !slices.ContainsFunc(eventFields, func(f []byte) bool { return bytes.Equal(f, name) }) {
		return nil
	}
	return name
}

// next returns the next complete event, which is valid until the next call. At
// the end of the stream it returns io.EOF, or io.ErrUnexpectedEOF if the last
// event is truncated. With any error it returns the fields of a truncated event.
func (e *eventReader) next() (event, error) {
	e.buf = e.buf[:0]
	ev := event{empty: true}
	start := 0 // offset of the current line in buf
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if e.idle+len(e.buf) > maxEventSize {
			return ev, &bodylimit.OversizeError{What: "an event of the stream", Limit: maxEventSize, Unit: "bytes"}
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			ev.empty = ev.empty && fieldName(e.buf[start:]) == nil
			if errors.Is(err, io.EOF) && len(e.buf) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return ev, err
		}
		line = bytes.TrimRight(e.buf[start:], "\r\n")
		start = len(e.buf)
		if len(line) == 0 {
			ev.raw = e.buf
			e.countIdle(ev)
			return ev, nil
		}
		field := fieldName(line)
		ev.data = ev.data || string(field) == "data"
		ev.empty = ev.empty && field == nil
		ev.text = ev.text || field == nil && line[0] != ':'
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}

// countIdle updates the number of bytes since the last non-empty event.
func (e *eventReader) countIdle(ev event) {
	if !ev.empty {
		e.idle = 0
		return
	}
	e.idle += len(ev.raw)
}

// hasNext reports whether another complete event is already buffered.
func (e *eventReader) hasNext() bool {
	buffered, err := e.r.Peek(e.r.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}
