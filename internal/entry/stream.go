package entry

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

const streamBuffer = 4 << 10

// relay is a stream on its way to a caller.
type relay struct {
	*Server
	ctx        context.Context
	w          http.ResponseWriter
	req        *request
	controller *http.ResponseController
	// lastID is the id of the newest event that the caller got, or the one
	// that the caller itself goes on after.
	lastID string
	// events counts those delivered.
	events int
	// firstDelay is the time to the first event, pause the longest between two.
	firstDelay, maxPause time.Duration
	lastEventAt          time.Time
}

// serveStream answers a request by a stream of events, which may go on at
// another endpoint where the route allows it.
func (s *Server) serveStream(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) {
	rl := &relay{
		Server: s, ctx: ctx, w: w, req: req, controller: http.NewResponseController(w),
		lastID: r.Header.Get(s.proto.LastEventID),
	}
	fault := rl.run()
	switch {
	case fault == nil:
		return
	case r.Context().Err() != nil:
		s.count("caller gone")
	case rl.req.responseBegun:
		s.count("stream broken")
		s.log.Warn("stream broken off", "request", req.id, "kind", string(fault.Kind), "detail", fault.Message,
			"route", req.route.Name, "events", rl.events, "sends", req.sends, "endpoint", req.lastEndpoint,
			"elapsed", s.now().Sub(req.started))
		panic(http.ErrAbortHandler) // so that the answer does not look complete
	default:
		s.refuse(w, req.id, req, fault)
	}
}

// run relays attempts until one ends the stream.
func (rl *relay) run() *problem.Error {
	for {
		done, fault := rl.relayAttempt()
		if done {
			return nil
		}
		if !rl.canRetry(rl.ctx, rl.req) {
			return fault
		}
		rl.log.Info("stream goes on elsewhere", "request", rl.req.id, "after_event", rl.lastID, "sends", rl.req.sends, "cause", fault.Message)
	}
}

// relayAttempt relays one attempt. done says that the caller has the whole answer.
func (rl *relay) relayAttempt() (done bool, fault *problem.Error) {
	a, fault := rl.startAttempt(rl.ctx, rl.req, rl.lastID)
	if fault != nil {
		return false, fault
	}
	if rl.isNotRun(a.resp) {
		return false, rl.endRejected(a, rl.req)
	}
	err := rl.checkResponse(a)
	if err == nil && a.resp.Status/100 != 2 {
		return rl.handleFailure(a)
	}
	if err == nil {
		err = rl.copyEvents(a)
	}
	if err != nil {
		rl.req.exclude = append(rl.req.exclude, a.ticket.Target.ID)
		return false, rl.endBroken(rl.ctx, a, rl.req, err)
	}
	rl.req.sends++
	rl.endAttempt(a, dispatch.Succeeded)
	rl.recordAnswered(rl.req)
	rl.logAnswered()
	return true, nil
}

// handleFailure handles an endpoint's own failure. It's delivered if nothing else
// can be tried.
func (rl *relay) handleFailure(a *attempt) (done bool, fault *problem.Error) {
	body, err := rl.readBody(a, rl.req)
	rl.req.exclude = append(rl.req.exclude, a.ticket.Target.ID)
	if err != nil || rl.req.responseBegun {
		return false, rl.endBroken(rl.ctx, a, rl.req, errors.Errorf("the endpoint answered status %d", a.resp.Status))
	}
	rl.req.countRun()
	got := &response{status: a.resp.Status, header: a.resp.Header, body: body, vm: a.ticket.Target.ID}
	rl.endAttempt(a, failureOutcome(a))
	if got.status >= http.StatusInternalServerError && rl.canRetry(rl.ctx, rl.req) {
		return false, rl.withRunStatus(rl.req, problem.New(problem.EndpointFailed, "the endpoint failed", "retry"))
	}
	rl.deliver(rl.w, rl.req, got)
	return true, nil
}

// copyEvents relays whole events until the stream ends.
func (rl *relay) copyEvents(a *attempt) error {
	events := &eventReader{r: bufio.NewReaderSize(a.resp.Body, streamBuffer)}
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return rl.finish(a)
		}
		if err != nil {
			if cause := context.Cause(a.ctx); cause != nil {
				return cause
			}
			return err
		}
		if !ev.empty {
			rl.state.recordProgress(a.ticket)
		}
		if !rl.isNew(ev.id) {
			continue
		}
		if err := rl.writeEvent(a, ev, !events.hasNext()); err != nil {
			return err
		}
	}
}

// isNew reports whether the caller lacks the event.
func (rl *relay) isNew(id string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true
	}
	last, err := strconv.ParseUint(rl.lastID, 10, 64)
	return err != nil || n > last
}

func (rl *relay) writeEvent(a *attempt, ev event, flush bool) error {
	rl.writeHeader(a)
	if _, err := rl.w.Write(ev.raw); err != nil {
		return err
	}
	if ev.id != "" {
		rl.lastID = ev.id
	}
	rl.recordEventTime()
	rl.events++
	if flush {
		return rl.controller.Flush()
	}
	return nil
}

// recordEventTime measures the pauses that the caller sees.
func (rl *relay) recordEventTime() {
	now := rl.now()
	if rl.events == 0 {
		rl.firstDelay = now.Sub(rl.req.started)
		telemetry.Timer(rl.opts.Metrics, "first_event_seconds").Update(rl.firstDelay)
	} else {
		rl.maxPause = max(rl.maxPause, now.Sub(rl.lastEventAt))
	}
	rl.lastEventAt = now
}

// logAnswered logs a stream that was delivered whole, with what made it late.
func (rl *relay) logAnswered() {
	level := slog.LevelDebug
	if rl.firstDelay > rl.req.route.Objective || rl.maxPause > rl.req.route.PauseObjective {
		level = slog.LevelInfo
	}
	if rl.log.Enabled(rl.ctx, level) {
		rl.log.Log(rl.ctx, level, "stream answered", "request", rl.req.id, "route", rl.req.route.Name, "endpoint", rl.req.lastEndpoint,
			"first", rl.firstDelay, "pause", rl.maxPause, "events", rl.events, "sends", rl.req.sends, "load", rl.req.predictedLoad)
	}
}

// writeHeader sends the header of the first endpoint that brought an event.
func (rl *relay) writeHeader(a *attempt) {
	if rl.req.responseBegun {
		return
	}
	rl.req.responseBegun = true
	copyHeader(rl.w.Header(), a.resp.Header)
	rl.w.WriteHeader(a.resp.Status)
	limit := rl.req.deadline.Sub(rl.now()) + time.Second
	_ = rl.controller.SetWriteDeadline(time.Now().Add(limit)) // not every writer has one
}

// finish ends the stream as complete.
func (rl *relay) finish(a *attempt) error {
	rl.writeHeader(a)
	err := rl.controller.Flush()
	_ = rl.controller.SetWriteDeadline(time.Time{}) // as above
	return err
}
