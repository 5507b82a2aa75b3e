package entry

import (
	"bufio"

	"github.com/juju/errors"
)

// errNotAnEvent means that a response has text amid its events, such as the error
// page or the response header of another server.
var errNotAnEvent = errors.New("the response contains text that is no event")

// answerEvents reads the events of one endpoint's response to a request for a
// stream. It returns an error for whatever does not belong to the stream that the
// caller receives.
type answerEvents struct {
	*eventReader
	// resumed reports whether the response to the caller had begun before.
	resumed bool
	// numbered reports whether an event of this response had an ID.
	numbered bool
}

// openAnswer returns a reader for the events of an attempt's response.
func (rl *relay) openAnswer(a *attempt) *answerEvents {
	return &answerEvents{
		eventReader: &eventReader{r: bufio.NewReaderSize(a.resp.Body, streamBuffer)},
		resumed:     rl.req.responseBegun,
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
	switch {
	case ev.id != "":
		e.numbered = true
	case ev.empty && ev.text && (e.resumed || e.numbered):
		return errNotAnEvent
	}
	return nil
}
