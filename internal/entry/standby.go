package entry

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// standbyRetryAfter is the time from the end of a standby attempt that did not
// take over until the next one.
const standbyRetryAfter = 500 * time.Millisecond

// errTakenOver is the cause for cancelling an attempt that another one replaces.
var errTakenOver = errors.New("the answer goes on at another endpoint")

// standby is an attempt to continue a stream at another endpoint, made while the
// stream's own endpoint is silent but may still go on. Whichever of them sends the
// next event first goes on, and the other one is cancelled.
type standby struct {
	cancel context.CancelFunc
	// req is a copy of the stream's request in which the silent attempt counts, and
	// from the place at which it goes on.
	req  request
	from resumePoint
	// start are the counts of req at the beginning, and current those at the
	// beginning of attempt, the one that is made now.
	start, current sendCounts
	attempt        *attempt
	done           chan struct{}
	// answer and first are the events of the attempt and the first one of them, once
	// that has arrived. first is empty if the answer ended without another event.
	answer *answerEvents
	first  event
	// won reports whether it goes on, and dropped whether the stream's own endpoint
	// does.
	won, dropped bool
}

// sendCounts are the counts of a request's sends.
type sendCounts struct {
	sends, attempts, runs, unansweredBreaks, excluded int
}

func (req *request) counts() sendCounts {
	return sendCounts{req.sends, req.attempts, req.runs, req.unansweredBreaks, len(req.exclude)}
}

// addSends adds the sends that another copy of the request has made since it had
// the given counts.
func (req *request) addSends(other *request, since sendCounts) {
	req.sends += other.sends - since.sends
	req.attempts += other.attempts - since.attempts
	req.runs += other.runs - since.runs
	req.unansweredBreaks += other.unansweredBreaks - since.unansweredBreaks
	req.exclude = append(req.exclude, other.exclude[since.excluded:]...)
}

// standbys is the state of a stream's standby attempts.
type standbys struct {
	mu sync.Mutex
	// origin is a copy of the request as of the start of the current attempt, and
	// from the place that the stream has reached, with a copy of what was sent.
	origin request
	from   resumePoint
	sent   sentEvents
	// current is the stream's own attempt, or nil if none is made.
	current *attempt
	// running is the standby attempt that runs or has won, or nil.
	running *standby
	// ended are standby attempts that have ended without being counted in the
	// stream's request.
	ended   []*standby
	retryAt time.Time
}

// begin records the request at the start of an attempt.
func (rl *relay) begin() {
	rl.standbys.mu.Lock()
	defer rl.standbys.mu.Unlock()
	rl.settleStandbys()
}

// settleStandbys counts the standby attempts that have ended in the stream's request
// and records the request. standbys.mu must be held.
func (rl *relay) settleStandbys() {
	s := &rl.standbys
	for _, sb := range s.ended {
		rl.req.addSends(&sb.req, sb.start)
		rl.sent.mergeCut(sb.from.sent)
	}
	s.ended = nil
	s.origin = *rl.req
	s.origin.exclude = slices.Clone(rl.req.exclude)
	s.setPlace(rl.resumePoint())
}

// setPlace records the place that the stream has reached. s.mu must be held.
func (s *standbys) setPlace(from resumePoint) {
	s.sent, s.from = *from.sent, from
	s.from.sent = &s.sent
}

// setCurrent records the attempt that is made. It is cancelled at once if a standby
// attempt has won meanwhile.
func (s *standbys) setCurrent(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = a
	if s.running != nil && s.running.won {
		a.cancel(errTakenOver)
	}
}

// isRunning reports whether a standby attempt runs or has won.
func (s *standbys) isRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running != nil
}

// recordEvent records the place that the current attempt has reached, which
// therefore goes on.
func (s *standbys) recordEvent(from resumePoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origin.responseBegun = true
	s.setPlace(from)
	s.drop()
}

// drop cancels the standby attempt that runs, unless it has won. s.mu must be held.
func (s *standbys) drop() {
	if sb := s.running; sb != nil && !sb.won {
		sb.dropped = true
		sb.cancel()
	}
}

// doubt handles a doubt about an attempt of the stream. For the stream's own attempt
// it starts a standby attempt, unless one runs. A standby attempt is given up if
// another one can be made in its place.
func (rl *relay) doubt(a *attempt, t *dispatch.Ticket, reason dispatch.LossReason) {
	s := &rl.standbys
	s.mu.Lock()
	defer s.mu.Unlock()
	switch sb := s.running; {
	case sb != nil && sb.attempt == a && !sb.won:
		rl.replaceSilent(sb, reason)
	case sb == nil && s.current == a && !rl.now().Before(s.retryAt):
		rl.startStandby(t, reason)
	}
}

// replaceSilent cancels the attempt of a standby that is silent itself, if another
// attempt is allowed after it. standbys.mu must be held.
func (rl *relay) replaceSilent(sb *standby, reason dispatch.LossReason) {
	next := request{
		route: sb.req.route, sends: sb.current.sends, attempts: sb.current.attempts, unansweredBreaks: sb.current.unansweredBreaks,
	}
	next.countRun()
	next.unansweredBreaks++
	if rl.canRetry(rl.ctx, &next) {
		sb.attempt.cancel(&lostError{reason})
	}
}

// startStandby starts a standby attempt because of a doubt about the endpoint of a
// ticket, if another attempt is allowed. standbys.mu must be held.
func (rl *relay) startStandby(t *dispatch.Ticket, reason dispatch.LossReason) {
	s := &rl.standbys
	sent := s.sent
	sb := &standby{req: s.origin, from: s.from, done: make(chan struct{})}
	sb.from.sent = &sent
	sb.req.exclude = append(slices.Clone(s.origin.exclude), t.Target.ID)
	for _, old := range s.ended {
		sb.req.addSends(&old.req, old.start)
	}
	sb.req.countRun()
	if !sb.req.responseBegun {
		sb.req.unansweredBreaks++
	}
	if sent.unnumbered || !rl.canRetry(rl.ctx, &sb.req) {
		return
	}
	sb.start = sb.req.counts()
	sb.req.hasStandby = nil
	sb.req.placed = func(a *attempt) {
		s.mu.Lock()
		defer s.mu.Unlock()
		sb.attempt, sb.current = a, sb.req.counts()
	}
	var ctx context.Context
	ctx, sb.cancel = context.WithCancel(rl.ctx)
	s.running = sb
	rl.log.Info("answer in doubt", "request", sb.req.id, "endpoint", t.Target.ID, "reason", string(reason), "after_event", s.from.lastID)
	go rl.runStandby(ctx, sb)
}

// runStandby makes a standby attempt and ends the stream's own one if it sends the
// next event first.
func (rl *relay) runStandby(ctx context.Context, sb *standby) {
	defer close(sb.done)
	a, fault := rl.openElsewhere(ctx, sb)
	s := &rl.standbys
	s.mu.Lock()
	defer s.mu.Unlock()
	if a != nil && !sb.dropped {
		sb.attempt, sb.won = a, true
		if s.current != nil {
			s.current.cancel(errTakenOver)
		}
		return
	}
	if a != nil {
		sb.req.countRun()
		rl.endAttempt(a, dispatch.Neutral)
	}
	if fault != nil && !sb.dropped {
		rl.log.Info("answer stays in doubt", "request", sb.req.id, "sends", sb.req.sends, "cause", fault.Message)
	}
	sb.cancel()
	s.running, s.retryAt = nil, rl.now().Add(standbyRetryAfter)
	s.ended = append(s.ended, sb)
}

// openElsewhere sends the request to other endpoints until one of them goes on, and
// returns its attempt. It returns the last problem if none does.
func (rl *relay) openElsewhere(ctx context.Context, sb *standby) (a *attempt, fault *problem.Error) {
	req := &sb.req
	for rl.canRetry(ctx, req) {
		a, fault = rl.startAttempt(ctx, req, sb.from.lastID)
		switch {
		case fault != nil:
			continue
		case rl.isNotRun(a.resp):
			fault = rl.endRejected(a, req)
			continue
		}
		answer, err := rl.openAnswer(a, sb.from)
		if err == nil {
			sb.first, err = rl.nextPiece(a, answer)
		}
		if err == nil {
			sb.answer = answer
			return a, nil
		}
		req.exclude = append(req.exclude, a.ticket.Target.ID)
		fault = rl.endBroken(ctx, a, req, err)
	}
	return nil, fault
}

// nextPiece returns the next part of an answer, or an empty event if the answer ends
// the stream. Comments are no sign that the stream goes on.
func (rl *relay) nextPiece(a *attempt, answer *answerEvents) (event, error) {
	for {
		ev, err := answer.next()
		if errors.Is(err, io.EOF) && answer.resumed {
			return event{empty: true}, nil
		}
		if err != nil {
			return ev, causeOf(a.ctx, err)
		}
		if ev.empty {
			continue
		}
		rl.state.recordProgress(a.ticket)
		if ev.isPiece() {
			return ev, nil
		}
	}
}

// causeOf returns why a context was cancelled, or err if it was not.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// takeStandby returns the standby attempt that goes on in place of the current
// one, which has ended. It waits for one that runs, and returns nil if there is
// none or it fails.
func (rl *relay) takeStandby() *standby {
	s := &rl.standbys
	sb := s.endCurrent()
	if sb != nil {
		<-sb.done
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if sb == nil || !sb.won {
		rl.settleStandbys()
		return nil
	}
	s.running, s.current = nil, sb.attempt
	rl.req.addSends(&sb.req, sb.start)
	rl.req.lastEndpoint, rl.req.predictedLoad = sb.req.lastEndpoint, sb.req.predictedLoad
	rl.sent.mergeCut(sb.from.sent)
	sb.answer.sent = &rl.sent
	rl.settleStandbys()
	return sb
}

// endCurrent records that the current attempt has ended, and returns the standby
// attempt that runs or has won, or nil.
func (s *standbys) endCurrent() *standby {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = nil
	return s.running
}

// closeStandby ends a standby attempt that is no longer needed.
func (rl *relay) closeStandby() {
	s := &rl.standbys
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = nil // starts no other one
	if sb := s.running; sb != nil && sb.won {
		rl.endAttempt(sb.attempt, dispatch.Neutral)
		sb.cancel()
		return
	}
	s.drop()
}

// relayStandby relays the events of a standby attempt that has won.
func (rl *relay) relayStandby(sb *standby) (done bool, fault *problem.Error) {
	defer sb.cancel()
	var err error
	if !sb.first.empty && isAfter(sb.first.id, rl.lastID) {
		err = rl.writeEvent(sb.attempt, sb.first, true)
	}
	if err == nil {
		err = rl.copyEvents(sb.attempt, sb.answer)
	}
	return rl.endRelayed(sb.attempt, err)
}
