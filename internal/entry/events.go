package entry

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// event is one whole event of a stream, as it came.
type event struct {
	raw []byte
	id  string
}

// eventReader splits a stream into whole events.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

// next returns the next whole event. It is valid until the next call. At the
// end of the stream it returns io.EOF, and io.ErrUnexpectedEOF if an event was
// cut.
func (e *eventReader) next() (event, error) {
	e.buf = e.buf[:0]
	var ev event
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if len(e.buf) > maxEvent {
			return ev, errors.New("an event is over the limit")
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.buf) > 0:
			return ev, io.ErrUnexpectedEOF
		case err != nil:
			return ev, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			ev.raw = e.buf
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}

// ready reports whether another whole event has arrived already.
func (e *eventReader) ready() bool {
	arrived, err := e.r.Peek(e.r.Buffered())
	return err == nil && (bytes.Contains(arrived, []byte("\n\n")) || bytes.Contains(arrived, []byte("\n\r\n")))
}
