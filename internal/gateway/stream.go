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

// relay copies a stream to the caller. Events carry consecutive ids from 1,
// by which a broken stream is continued without a gap or a repeat.
type relay struct {
	server *Server
	req    *request
	last   uint64
	ended  bool
	// gone is set once the caller can't be written to any more.
	gone bool
}

// stream delivers a completion as server-sent events.
func (s *Server) stream(req *request, need Need, path string) error {
	base := newCall(req.echo.Request(), path, path, req.body)
	r := &relay{server: s, req: req, last: resumePoint(req)}
	next := func() call {
		c := base
		c.lastEventID = r.last
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
	for event, err := range sse.Read(ans.resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			break
		}
		if p := r.deliver(event); p != nil {
			return p
		}
		if r.ended {
			return nil
		}
	}
	if r.gone || r.req.ctx().Err() != nil {
		return deadlinePassed()
	}
	return problem.New(problem.StreamInterrupted, "the stream broke off", "retry").MayHaveRun().After(retryDelay)
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

// deliver passes on the event that follows the last one and drops repeats.
func (r *relay) deliver(event sse.Event) *problem.Error {
	if event.Type == "error" {
		return problem.New(problem.StreamInterrupted, "the endpoint gave the stream up", "retry").MayHaveRun().After(retryDelay)
	}
	if event.Data == streamEnd {
		r.ended = true
		return r.write("data: " + streamEnd + "\n\n")
	}
	id, err := strconv.ParseUint(event.LastEventID, 10, 64)
	if err != nil || id > r.last+1 {
		return endpointFailed("the stream left events out")
	}
	if id <= r.last {
		return nil
	}
	r.last = id
	return r.write("id: " + event.LastEventID + "\ndata: " + event.Data + "\n\n")
}

func (r *relay) write(text string) *problem.Error {
	resp := r.req.echo.Response()
	ctl := http.NewResponseController(resp)
	_ = ctl.SetWriteDeadline(time.Now().Add(slowCallerTimeout))
	if _, err := resp.Write([]byte(text)); err != nil {
		r.gone = true
		return problem.New(problem.EndpointFailed, "the caller left", "none is needed").MayHaveRun()
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
