package entry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/internal/upstream"
)

// errNotAnEvent means that a response has text amid its events, such as the error
// page or the response header of another server.
var errNotAnEvent = errors.New("the response contains text that is no event")

// errEventMissing means that a response ended although an earlier one had begun
// another event.
var errEventMissing = errors.New("the response ended before an event that another endpoint had begun to send")

// unnumberedError means that an event of a resumed stream has no number as its ID,
// so that its place in the stream is unknown.
type unnumberedError struct{ id string }

// Error implements error.
func (e *unnumberedError) Error() string {
	return "the stream has numbered events, and one with the ID " + strconv.Quote(e.id) + " was sent to resume it"
}

// orderError means that an event of a response does not follow the one before it.
type orderError struct{ last, id uint64 }

// Error implements error.
func (e *orderError) Error() string {
	return fmt.Sprintf("event %d was sent after event %d", e.id, e.last)
}

// sentEvents is what is known of the events that a caller has received.
type sentEvents struct {
	// unnumbered reports whether the place of any of them in the stream is unknown.
	unnumbered bool
	// steps is the number of events whose ID is the previous one plus 1, and jumps
	// that of the others.
	steps, jumps int
	// cutAfter is the ID after which the latest response that broke off inside an
	// event had begun that event, if cut.
	cutAfter uint64
	cut      bool
}

// record records an event that is sent to the caller after the one with the given
// ID, which is empty for the first one.
func (s *sentEvents) record(previous string, ev event) {
	if !ev.isPiece() {
		return
	}
	n, numbered := eventNumber(ev.id)
	last, _ := eventNumber(previous)
	switch {
	case !numbered:
		s.unnumbered = true
	case n == last+1:
		s.steps++
	case previous != "":
		s.jumps++
	}
}

// recordCut records what was read of the event after the given ID before its
// response broke off.
func (s *sentEvents) recordCut(last uint64, ev event) {
	if !ev.empty {
		s.cut, s.cutAfter = true, last
	}
}

// consecutive reports whether the IDs of the events are consecutive numbers, so
// that a missing event can be noticed.
func (s *sentEvents) consecutive() bool { return s.steps > 0 && s.jumps == 0 }

// mergeCut adds what another copy of s has learned of a begun event.
func (s *sentEvents) mergeCut(other *sentEvents) {
	if other.cut && (!s.cut || other.cutAfter > s.cutAfter) {
		s.cut, s.cutAfter = true, other.cutAfter
	}
}

// resumePoint is the place in a stream at which an answer goes on.
type resumePoint struct {
	// lastID is the ID of the last event before it, if any.
	lastID string
	// begun reports whether the response to the caller has begun.
	begun bool
	sent  *sentEvents
}

// resumePoint returns the place that the stream has reached.
func (rl *relay) resumePoint() resumePoint {
	return resumePoint{lastID: rl.lastID, begun: rl.req.responseBegun, sent: &rl.sent}
}

// canResume reports whether another endpoint can be told after which event to go on
// with the stream.
func (rl *relay) canResume() bool { return !rl.sent.unnumbered }

// answerEvents reads the events of one endpoint's response to a request for a
// stream. It returns an error for whatever does not belong to the stream that the
// caller receives.
type answerEvents struct {
	*eventReader
	sent *sentEvents
	// framed reports whether the body has a length or is chunked.
	framed bool
	// pieces is the number of events that are part of the answer.
	pieces int
	// begun reports whether the response to the caller had begun before, resumed
	// whether the caller then had an event of it.
	begun, resumed bool
	// numbered reports whether an event of this response had a number as its ID.
	numbered bool
	// last is the ID of the latest event, initially of the one after which the
	// stream was requested, if hasLast.
	last    uint64
	hasLast bool
	// consecutive reports whether the ID of each event must be last plus 1.
	consecutive bool
}

// openAnswer returns a reader for the events of an attempt's response, or an error
// if the response cannot go on from a place in the stream.
func (rl *relay) openAnswer(a *attempt, from resumePoint) (*answerEvents, error) {
	if a.resp.Status/100 != 2 {
		return nil, errors.Errorf("the endpoint responded with status %d", a.resp.Status)
	}
	if err := rl.checkResponse(a); err != nil {
		return nil, err
	}
	if from.begun {
		if err := checkHead(a.resp, rl.w.Header()); err != nil {
			return nil, err
		}
	}
	e := &answerEvents{
		eventReader: &eventReader{r: bufio.NewReaderSize(a.resp.Body, streamBuffer)},
		sent:        from.sent,
		framed:      a.resp.Framed,
		begun:       from.begun,
		resumed:     from.begun && from.lastID != "",
	}
	if rl.req.route.Resumable {
		e.last, e.hasLast = eventNumber(from.lastID)
	}
	e.consecutive = e.resumed && from.sent.consecutive()
	return e, nil
}

// checkHead returns an error if a response is not a stream of events like the one
// whose header the caller has received. Event streams have status 200 only; 204,
// for instance, asks the client to stop.
func checkHead(resp *upstream.Response, sent http.Header) error {
	if resp.Status != http.StatusOK {
		return errors.Errorf("a response with status %d does not go on with a stream", resp.Status)
	}
	if got, want := mediaType(resp.Header), mediaType(sent); got != want {
		return errors.Errorf("a response of type %q does not go on with a stream of type %q", got, want)
	}
	return nil
}

// mediaType returns the media type of a body without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// next returns the next event like eventReader.next.
func (e *answerEvents) next() (event, error) {
	ev, err := e.eventReader.next()
	if errors.Is(err, io.EOF) {
		return ev, e.checkEnd()
	}
	if err != nil {
		e.sent.recordCut(e.last, ev)
		return ev, err
	}
	return ev, e.check(ev)
}

// checkEnd returns io.EOF if the end of the response is the end of the stream. A
// response without events is, unless another event is known to exist: an endpoint
// that resumes a stream after its last event has nothing left to send. It must have
// a length or be chunked then, since the end of a connection cannot be told from one
// that failed before the first event.
func (e *answerEvents) checkEnd() error {
	switch {
	case !e.framed && e.pieces == 0:
		return errNoEvents
	case e.resumed && e.sent.cut && e.last <= e.sent.cutAfter:
		return errEventMissing
	}
	return io.EOF
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
	if ev.isPiece() {
		e.pieces++
	}
	n, numbered := eventNumber(ev.id)
	switch {
	case e.resumed && !numbered && ev.isPiece():
		return &unnumberedError{id: ev.id}
	case !numbered:
		return nil
	case e.hasLast && n <= e.last, e.consecutive && n != e.last+1:
		return &orderError{last: e.last, id: n}
	}
	e.numbered = true
	e.last, e.hasLast = n, true
	return nil
}

// isPiece reports whether the event is a part of the answer.
func (ev event) isPiece() bool { return ev.data || ev.id != "" }

// eventNumber returns the number that an event has as its ID.
func eventNumber(id string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}
