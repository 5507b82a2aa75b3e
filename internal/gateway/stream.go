package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/tmaxmax/go-sse"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/coord/stream"
	"github.com/pimentoshore/pimentoshore/internal/endpoint"
)

const (
	// streamEnd is the data of the last event of a completion stream, which
	// carries no id.
	streamEnd = "[DONE]"
	// slowCallerTimeout bounds the write of one event to the caller.
	slowCallerTimeout = 10 * time.Second
	maxEventBytes     = 256 << 10
)

// relay copies a stream to the caller. It writes each event before it reads
// the next one, so that a slow caller holds up its engine and no memory.
type relay struct {
	server *Server
	req    *request
	state  *stream.Relay
	number int // of the present attempt
	ended  bool
}

// stream delivers a completion as server-sent events.
func (s *Server) stream(req *request, need Requirements, path string) error {
	base := newCall(req.echo.Request(), path, path, req.body)
	r := &relay{server: s, req: req, state: stream.New(stream.Options{
		Stream: req.id(), After: resumePoint(req), MaxResumes: s.maxRetries,
	})}
	r.follow(r.state.Step(s.now(), stream.Begin{}))
	next := func() call {
		c := base
		c.lastEventID = r.state.Delivered()
		return c
	}
	_, p := s.try(req, need, next, true, r.copy)
	if p == nil {
		return nil
	}
	if !req.echo.Response().Committed {
		return writeProblem(req.echo, p)
	}
	return r.fail(p)
}

// resumePoint is the last event that the other entry VM has had already.
func resumePoint(req *request) uint64 {
	id, err := strconv.ParseUint(req.echo.Request().Header.Get(endpoint.HeaderLastEventID), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

// copy relays one attempt's events until the stream ends or breaks.
func (r *relay) copy(ans *answer) *problem.Error {
	if ans.resp.StatusCode != http.StatusOK {
		return endpointFailed(fmt.Sprintf("the engine answered %d", ans.resp.StatusCode))
	}
	r.begin(ans)
	number := r.number
	attempt := stream.Attempt{ID: r.attemptID(), Incarnation: ans.resp.Header.Get(endpoint.HeaderIncarnation)}
	r.follow(r.state.Step(r.server.now(), stream.Opened{Number: number, Incarnation: attempt.Incarnation}))
	for event, err := range sse.Read(ans.resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			break
		}
		if p := r.deliver(attempt, event); p != nil {
			return p
		}
		if r.ended {
			return nil
		}
		if r.number != number {
			return endpointFailed("the stream left events out")
		}
	}
	if r.req.ctx().Err() != nil {
		return deadlinePassed()
	}
	r.follow(r.state.Step(r.server.now(), stream.Broken{Number: number}))
	return problem.New(problem.StreamInterrupted, "the stream broke off", "retry").WithRanUnknown().WithRetryAfter(retryDelay)
}

// attemptID is the id that the relay gave to its present attempt.
func (r *relay) attemptID() string { return r.req.id() + "/" + strconv.Itoa(r.number) }

// follow notes which attempt the relay asks for.
func (r *relay) follow(effects []stream.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case stream.Open:
			r.number = e.Number
		case stream.End:
			r.ended = e.Err == nil
		}
	}
}

func (r *relay) begin(ans *answer) {
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

// deliver passes on an event of the attempt. The last event of a completion
// stream carries no id; it follows all others.
func (r *relay) deliver(attempt stream.Attempt, event sse.Event) *problem.Error {
	if event.Type == "error" {
		return problem.New(problem.StreamInterrupted, "the endpoint gave the stream up", "retry").WithRanUnknown().WithRetryAfter(retryDelay)
	}
	received := stream.Received{Attempt: attempt, Data: []byte(event.Data), Last: event.Data == streamEnd}
	if received.Last {
		received.ID = r.state.Delivered() + 1
	} else {
		id, err := strconv.ParseUint(event.LastEventID, 10, 64)
		if err != nil {
			return endpointFailed("the engine sent an event without an id")
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
	r.follow(effects)
	return nil
}

func eventText(d stream.Deliver) string {
	if d.Last {
		return "data: " + string(d.Data) + "\n\n"
	}
	return "id: " + strconv.FormatUint(d.ID, 10) + "\ndata: " + string(d.Data) + "\n\n"
}

func (r *relay) write(text string) *problem.Error {
	resp := r.req.echo.Response()
	ctl := http.NewResponseController(resp)
	_ = ctl.SetWriteDeadline(time.Now().Add(slowCallerTimeout))
	if _, err := resp.Write([]byte(text)); err != nil {
		r.state.Step(r.server.now(), stream.CallerGone{})
		return problem.New(problem.EndpointFailed, "the caller left", "none is needed").WithRanUnknown()
	}
	resp.Flush()
	return nil
}

// fail ends a stream that has begun with an explicit error event.
func (r *relay) fail(p *problem.Error) error {
	r.req.echo.Set(outcomeKey, p)
	data, err := json.Marshal(newDocument(p, r.req.id()))
	if err != nil {
		return err
	}
	if failed := r.write("event: error\ndata: " + string(data) + "\n\n"); failed != nil {
		return failed
	}
	return nil
}
