package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"
	"github.com/tmaxmax/go-sse"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/coord/stream"
	"github.com/pimentoshore/pimentoshore/internal/endpoint"
)

const (
	// streamEnd is the data of the last event of a completion stream. That event
	// has no id.
	streamEnd     = "[DONE]"
	maxEventBytes = 256 << 10
)

// relay copies a stream to the caller. It writes each event before it reads the
// next one, so that a slow caller slows down its engine instead of filling
// memory.
type relay struct {
	server *Server
	req    *request
	state  *stream.Relay
	number int // number of the current attempt
	ended  bool
	// lastID is the id of the latest event of the current attempt, initially of
	// the one after which it resumes the stream. lastField is the latest id as
	// sent in the attempt.
	lastID    uint64
	lastField string
}

// stream delivers a completion as server-sent events.
func (s *Server) stream(req *request, need Requirements, path string) error {
	base := newCall(req.echo.Request(), path, path, req.body)
	r := &relay{server: s, req: req, state: stream.New(stream.Options{
		Stream: req.id(), After: resumePoint(req), MaxResumes: s.maxRetries,
	})}
	r.applyEffects(r.state.Step(s.now(), stream.Begin{}))
	next := func() call {
		c := base
		c.lastEventID = r.state.Delivered()
		return c
	}
	_, p := s.dispatchAttempts(req, need, next, true, r.relayAttempt)
	if p == nil {
		return nil
	}
	if !req.echo.Response().Committed {
		return writeProblem(req.echo, p)
	}
	return r.writeError(p)
}

// resumePoint returns the id of the last event that the other entry VM has
// received, or 0.
func resumePoint(req *request) uint64 {
	id, err := strconv.ParseUint(req.echo.Request().Header.Get(endpoint.HeaderLastEventID), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

// relayAttempt relays the events of one attempt until the stream ends or fails.
func (r *relay) relayAttempt(ans *answer) *problem.Error {
	if ans.resp.StatusCode != http.StatusOK {
		return endpointError(fmt.Sprintf("the engine answered %d", ans.resp.StatusCode))
	}
	r.writeHead(ans)
	number := r.number
	attempt := stream.Attempt{ID: r.attemptID(), Incarnation: ans.resp.Header.Get(endpoint.HeaderIncarnation)}
	r.applyEffects(r.state.Step(r.server.now(), stream.Opened{Number: number, Incarnation: attempt.Incarnation}))
	r.lastID, r.lastField = r.state.Delivered(), ""
	body := &eventBody{r: ans.resp.Body}
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			r.server.log.Info("stream broke off", "request_id", r.req.id(), "endpoint", ans.attempt.Target().Endpoint,
				"after_event", r.lastID, "error", err)
			break
		}
		delivered, lastID := r.state.Delivered(), r.lastID
		if p := r.deliver(attempt, event); p != nil {
			r.applyEffects(r.state.Step(r.server.now(), stream.Broken{Number: number}))
			return p
		}
		if r.lastID != lastID {
			body.recordProgress()
		}
		ans.progressed = ans.progressed || r.state.Delivered() > delivered
		if r.ended {
			return nil
		}
		if r.number != number {
			return endpointError("the stream skipped events")
		}
	}
	if r.req.ctx().Err() != nil {
		return deadlineError()
	}
	r.applyEffects(r.state.Step(r.server.now(), stream.Broken{Number: number}))
	return problem.New(problem.StreamInterrupted, "the stream was interrupted", "retry").WithRanUnknown().WithRetryAfter(retryDelay)
}

// attemptID returns the relay's id for the current attempt.
func (r *relay) attemptID() string { return r.req.id() + "/" + strconv.Itoa(r.number) }

// applyEffects updates the attempt number and the end of the stream from the
// effects of the relay's state machine.
func (r *relay) applyEffects(effects []stream.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case stream.Open:
			r.number = e.Number
		case stream.End:
			r.ended = e.Err == nil
		}
	}
}

func (r *relay) writeHead(ans *answer) {
	resp := r.req.echo.Response()
	if resp.Committed {
		return
	}
	h := resp.Header()
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set(echo.HeaderCacheControl, "no-cache")
	h.Set(headerHops, r.server.hops(ans))
	resp.WriteHeader(http.StatusOK)
	resp.Flush()
}

// deliver relays one event of the attempt to the caller. The last event of a
// completion stream has no id and gets the one after the last delivered event.
func (r *relay) deliver(attempt stream.Attempt, event sse.Event) *problem.Error {
	if event.Type == "error" {
		return problem.New(problem.StreamInterrupted, "the endpoint aborted the stream", "retry").WithRanUnknown().WithRetryAfter(retryDelay)
	}
	received := stream.Received{Attempt: attempt, Data: []byte(event.Data), Last: event.Data == streamEnd}
	switch {
	case received.Last:
		received.ID = r.state.Delivered() + 1
	case event.Data == "" && event.LastEventID == r.lastField:
		return nil // has neither data nor an id of its own
	default:
		id, p := r.eventID(event)
		if p != nil {
			return p
		}
		received.ID = id
	}
	effects := r.state.Step(r.server.now(), received)
	for _, effect := range effects {
		d, ok := effect.(stream.Deliver)
		if !ok {
			continue
		}
		if p := r.write(eventText(d)); p != nil {
			return p
		}
		r.state.Step(r.server.now(), stream.Consumed{ID: d.ID})
	}
	r.applyEffects(effects)
	return nil
}

// eventID returns the id of an event that is not the last one. An event without an
// id of its own has the one before as its LastEventID.
func (r *relay) eventID(event sse.Event) (uint64, *problem.Error) {
	id, err := strconv.ParseUint(event.LastEventID, 10, 64)
	if err != nil || event.LastEventID == r.lastField {
		return 0, endpointError("the engine sent an event without an id")
	}
	if id <= r.lastID {
		return 0, endpointError(fmt.Sprintf("the engine sent event %d after event %d", id, r.lastID))
	}
	r.lastID, r.lastField = id, event.LastEventID
	return id, nil
}

func eventText(d stream.Deliver) string {
	data := "data: " + strings.ReplaceAll(string(d.Data), "\n", "\ndata: ") + "\n\n"
	if d.Last {
		return data
	}
	return "id: " + strconv.FormatUint(d.ID, 10) + "\n" + data
}

func (r *relay) write(text string) *problem.Error {
	resp := r.req.echo.Response()
	if _, err := resp.Write([]byte(text)); err != nil {
		r.state.Step(r.server.now(), stream.CallerGone{})
		return problem.New(problem.EndpointFailed, "the caller closed the connection", "no action is needed").WithRanUnknown()
	}
	resp.Flush()
	return nil
}

// writeError ends a started stream with an error event.
func (r *relay) writeError(p *problem.Error) error {
	r.req.echo.Set(outcomeKey, p)
	data, err := json.Marshal(newProblemDocument(p, r.req.id()))
	if err != nil {
		return err
	}
	if failed := r.write("event: error\ndata: " + string(data) + "\n\n"); failed != nil {
		return failed
	}
	return nil
}
