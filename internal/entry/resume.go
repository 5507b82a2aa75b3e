package entry

import (
	"bufio"
	"strconv"

	"github.com/juju/errors"
)

// errNotAnEvent means that a response has text amid its events, such as the error
// page or the response header of another server.
var errNotAnEvent = errors.New("the response contains text that is no event")

// unnumberedError means that an event of a resumed stream has no number as its ID,
// so that its place in the stream is unknown.
type unnumberedError struct{ id string }

// Error implements error.
func (e *unnumberedError) Error() string {
	return "the stream has numbered events, and one with the ID " + strconv.Quote(e.id) + " was sent to resume it"
}

// sentEvents is what is known of the events that a caller has received.
type sentEvents struct {
	// unnumbered reports whether the place of any of them in the stream is unknown.
	unnumbered bool
}

// record records an event that is sent to the caller.
func (s *sentEvents) record(ev event) {
	if !isNumber(ev.id) && ev.isPiece() {
		s.unnumbered = true
	}
}

// canResume reports whether another endpoint can be told after which event to go on
// with the stream.
func (rl *relay) canResume() bool { return !rl.sent.unnumbered }

// answerEvents reads the events of one endpoint's response to a request for a
// stream. It returns an error for whatever does not belong to the stream that the
// caller receives.
type answerEvents struct {
	*eventReader
	// begun reports whether the response to the caller had begun before, resumed
	// whether the caller then had an event of it.
	begun, resumed bool
	// numbered reports whether an event of this response had a number as its ID.
	numbered bool
}

// openAnswer returns a reader for the events of an attempt's response.
func (rl *relay) openAnswer(a *attempt) *answerEvents {
	return &answerEvents{
		eventReader: &eventReader{r: bufio.NewReaderSize(a.resp.Body, streamBuffer)},
		begun:       rl.req.responseBegun,
		resumed:     rl.req.responseBegun && rl.lastID != "",
	}
}

// next returns the next event like eventReader.next.
func (e *answerEvents) next() (event, error) {
	ev, err := e.eventReader.next()
	if err != nil {
		return ev, err
	}
	return ev, e.check(ev)
}

// check returns an error if an event does not belong to the stream. Text ahead of
// the numbered events is part of the response if the endpoint is the first one.
func (e *answerEvents) check(ev event) error {
	if ev.empty {
		if ev.text && (e.begun || e.numbered) {
			return errNotAnEvent
		}
		return nil
	}
	numbered := isNumber(ev.id)
	if e.resumed && !numbered && ev.isPiece() {
		return &unnumberedError{id: ev.id}
	}
	e.numbered = e.numbered || numbered
	return nil
}

// isPiece reports whether the event is a part of the answer.
func (ev event) isPiece() bool { return ev.data || ev.id != "" }

// isNumber reports whether the ID of an event is a number.
func isNumber(id string) bool {
	_, err := strconv.ParseUint(id, 10, 64)
	return err == nil
}
