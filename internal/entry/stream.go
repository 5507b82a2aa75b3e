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
	ctx context.Context
	w   http.ResponseWriter
	req *request
	out *http.ResponseController
	// last is the id of the newest event that the caller got, or the one
	// that the caller itself goes on after.
	last string
	// events counts those delivered.
	events int
	// first is the time to the first event, pause the longest between two.
	first, pause time.Duration
	lastAt       time.Time
}

// serveStream answers a request by a stream of events, which may go on at
// another endpoint where the route allows it.
func (s *Server) serveStream(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) {
	rl := &relay{
		Server: s, ctx: ctx, w: w, req: req, out: http.NewResponseController(w),
		last: r.Header.Get(s.proto.LastEventID),
	}
	fault := rl.run()
	switch {
	case fault == nil:
		return
	case r.Context().Err() != nil:
		s.count("caller gone")
	case rl.req.begun:
		s.count("stream broken")
		s.log.Warn("stream broken off", "request", req.id, "kind", string(fault.Kind), "detail", fault.Message,
			"route", req.route.Name, "events", rl.events, "sends", req.sends, "endpoint", req.last,
			"elapsed", s.now().Sub(req.started))
		panic(http.ErrAbortHandler) // so that the answer does not look complete
	default:
		s.refuse(w, req.id, req, fault)
	}
}

// run relays attempts until one ends the stream.
func (rl *relay) run() *problem.Error {
	for {
		done, fault := rl.once()
		if done {
			return nil
		}
		if !rl.again(rl.ctx, rl.req) {
			return fault
		}
		rl.log.Info("stream goes on elsewhere", "request", rl.req.id, "after_event", rl.last, "sends", rl.req.sends, "cause", fault.Message)
	}
}

// once relays one attempt. done says that the caller has the whole answer.
func (rl *relay) once() (done bool, fault *problem.Error) {
	a, fault := rl.attempt(rl.ctx, rl.req, rl.last)
	if fault != nil {
		return false, fault
	}
	if rl.refusedByEndpoint(a.resp) {
		return false, rl.rejected(a, rl.req)
	}
	err := rl.checkAnswer(a)
	if err == nil && a.resp.Status/100 != 2 {
		return rl.failure(a)
	}
	if err == nil {
		err = rl.copyEvents(a)
	}
	if err != nil {
		rl.req.exclude = append(rl.req.exclude, a.ticket.Target.ID)
		return false, rl.broke(rl.ctx, a, rl.req, err)
	}
	rl.req.sends++
	rl.end(a, dispatch.Succeeded)
	rl.answered(rl.req)
	rl.logAnswered()
	return true, nil
}

// failure handles an endpoint's own failure. It's delivered if nothing else
// can be tried.
func (rl *relay) failure(a *attempt) (done bool, fault *problem.Error) {
	body, err := rl.readBody(a, rl.req)
	rl.req.exclude = append(rl.req.exclude, a.ticket.Target.ID)
	if err != nil || rl.req.begun {
		return false, rl.broke(rl.ctx, a, rl.req, errors.Errorf("the endpoint answered status %d", a.resp.Status))
	}
	rl.req.ran()
	got := &answer{status: a.resp.Status, header: a.resp.Header, body: body, vm: a.ticket.Target.ID}
	rl.end(a, failedUnlessPaused(a))
	if got.status >= http.StatusInternalServerError && rl.again(rl.ctx, rl.req) {
		return false, rl.fault(rl.req, problem.New(problem.EndpointFailed, "the endpoint failed", "retry"))
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
			rl.state.progress(a.ticket)
		}
		if !rl.fresh(ev.id) {
			continue
		}
		if err := rl.write(a, ev, !events.ready()); err != nil {
			return err
		}
	}
}

// fresh reports whether the caller lacks the event.
func (rl *relay) fresh(id string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true
	}
	last, err := strconv.ParseUint(rl.last, 10, 64)
	return err != nil || n > last
}

func (rl *relay) write(a *attempt, ev event, flush bool) error {
	rl.begin(a)
	if _, err := rl.w.Write(ev.raw); err != nil {
		return err
	}
	if ev.id != "" {
		rl.last = ev.id
	}
	rl.clock()
	rl.events++
	if flush {
		return rl.out.Flush()
	}
	return nil
}

// clock measures the pauses that the caller sees.
func (rl *relay) clock() {
	now := rl.now()
	if rl.events == 0 {
		rl.first = now.Sub(rl.req.started)
		telemetry.Timer(rl.opts.Metrics, "first_event_seconds").Update(rl.first)
	} else {
		rl.pause = max(rl.pause, now.Sub(rl.lastAt))
	}
	rl.lastAt = now
}

// logAnswered logs a stream that was delivered whole, with what made it late.
func (rl *relay) logAnswered() {
	level := slog.LevelDebug
	if rl.first > rl.req.route.Objective || rl.pause > rl.req.route.PauseObjective {
		level = slog.LevelInfo
	}
	if rl.log.Enabled(rl.ctx, level) {
		rl.log.Log(rl.ctx, level, "stream answered", "request", rl.req.id, "route", rl.req.route.Name, "endpoint", rl.req.last,
			"first", rl.first, "pause", rl.pause, "events", rl.events, "sends", rl.req.sends, "load", rl.req.load)
	}
}

// begin sends the header of the first endpoint that brought an event.
func (rl *relay) begin(a *attempt) {
	if rl.req.begun {
		return
	}
	rl.req.begun = true
	copyHeader(rl.w.Header(), a.resp.Header)
	rl.w.WriteHeader(a.resp.Status)
	limit := rl.req.deadline.Sub(rl.now()) + time.Second
	_ = rl.out.SetWriteDeadline(time.Now().Add(limit)) // not every writer has one
}

// finish ends the stream as complete.
func (rl *relay) finish(a *attempt) error {
	rl.begin(a)
	err := rl.out.Flush()
	_ = rl.out.SetWriteDeadline(time.Time{}) // as above
	return err
}
