package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

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
	// req is a copy of the stream's request in which the silent attempt counts.
	req   request
	start sendCounts // of req at the beginning
	done  chan struct{}
	// The attempt, its events and the first one of them are set once it has arrived.
	a      *attempt
	events *eventReader
	first  event
	// won reports whether it has sent an event first, and dropped whether the
	// stream's own endpoint has.
	won, dropped bool
}

// sendCounts are the counts of a request's sends.
type sendCounts struct {
	sends, attempts, unansweredBreaks, excluded int
}

func (req *request) counts() sendCounts {
	return sendCounts{req.sends, req.attempts, req.unansweredBreaks, len(req.exclude)}
}

// addSends adds the sends that another copy of the request has made since it had
// the given counts.
func (req *request) addSends(other *request, since sendCounts) {
	req.sends += other.sends - since.sends
	req.attempts += other.attempts - since.attempts
	req.unansweredBreaks += other.unansweredBreaks - since.unansweredBreaks
	req.exclude = append(req.exclude, other.exclude[since.excluded:]...)
}

// standbys is the state of a stream's standby attempts.
type standbys struct {
	mu sync.Mutex
	// origin is a copy of the request as of the start of the current attempt, and
	// lastID the ID of the last event sent to the caller.
	origin request
	lastID string
	// running is the standby attempt that runs or has won, or nil.
	running *standby
	// ended are the sends of standby attempts that have ended without being
	// counted in the stream's request.
	ended   []*standby
	retryAt time.Time
}

// begin records the request at the start of an attempt.
func (s *standbys) begin(req *request, lastID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setOrigin(req, lastID)
}

// setOrigin counts the standby attempts that have ended in req and records it.
// s.mu must be held.
func (s *standbys) setOrigin(req *request, lastID string) {
	for _, sb := range s.ended {
		req.addSends(&sb.req, sb.start)
	}
	s.ended = nil
	s.origin, s.lastID = *req, lastID
	s.origin.exclude = slices.Clone(req.exclude)
}

// recordEvent records an event of the current attempt, which therefore goes on.
func (s *standbys) recordEvent(lastID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origin.responseBegun, s.lastID = true, lastID
	s.drop()
}

// drop cancels the standby attempt that runs, unless it has won. s.mu must be held.
func (s *standbys) drop() {
	if sb := s.running; sb != nil && !sb.won {
		sb.dropped = true
		sb.cancel()
	}
}

// doubt starts a standby attempt for a stream whose endpoint may be lost, unless
// one runs. silent is the attempt at that endpoint.
func (rl *relay) doubt(silent *attempt, t *dispatch.Ticket, reason dispatch.LossReason) {
	s := &rl.standbys
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running != nil || rl.now().Before(s.retryAt) {
		return
	}
	sb := &standby{req: s.origin, done: make(chan struct{})}
	sb.req.exclude = append(slices.Clone(s.origin.exclude), t.Target.ID)
	for _, old := range s.ended {
		sb.req.addSends(&old.req, old.start)
	}
	sb.req.countRun()
	if !sb.req.responseBegun {
		sb.req.unansweredBreaks++
	}
	if !rl.canRetry(rl.ctx, &sb.req) {
		return
	}
	sb.start = sb.req.counts()
	var ctx context.Context
	ctx, sb.cancel = context.WithCancel(rl.ctx)
	s.running = sb
	rl.log.Info("answer in doubt", "request", sb.req.id, "endpoint", t.Target.ID, "reason", string(reason), "after_event", s.lastID)
	go rl.runStandby(ctx, sb, silent, s.lastID)
}

// runStandby makes a standby attempt and ends the silent one if it sends the next
// event first.
func (rl *relay) runStandby(ctx context.Context, sb *standby, silent *attempt, lastID string) {
	defer close(sb.done)
	fault := rl.openElsewhere(ctx, sb, lastID)
	s := &rl.standbys
	s.mu.Lock()
	defer s.mu.Unlock()
	if sb.a != nil && !sb.dropped {
		sb.won = true
		silent.cancel(errTakenOver)
		return
	}
	if sb.a != nil {
		sb.req.countRun()
		rl.endAttempt(sb.a, dispatch.Neutral)
	}
	if fault != nil && !sb.dropped {
		rl.log.Info("answer stays in doubt", "request", sb.req.id, "sends", sb.req.sends, "cause", fault.Message)
	}
	sb.cancel()
	s.running, s.retryAt = nil, rl.now().Add(standbyRetryAfter)
	s.ended = append(s.ended, sb)
}

// openElsewhere sends the request to other endpoints until one of them sends an
// event after lastID, and returns its attempt in sb. It returns the last problem
// if none does.
func (rl *relay) openElsewhere(ctx context.Context, sb *standby, lastID string) (fault *problem.Error) {
	req := &sb.req
	for rl.canRetry(ctx, req) {
		var a *attempt
		a, fault = rl.startAttempt(ctx, req, lastID)
		switch {
		case fault != nil:
			continue
		case rl.isNotRun(a.resp):
			fault = rl.endRejected(a, req)
			continue
		}
		events, err := rl.openEvents(a)
		if err == nil {
			sb.first, err = rl.nextNew(a, events, lastID)
		}
		if err == nil {
			sb.a, sb.events = a, events
			return nil
		}
		req.exclude = append(req.exclude, a.ticket.Target.ID)
		fault = rl.endBroken(ctx, a, req, err)
	}
	return fault
}

// nextNew returns the next event after lastID of an attempt.
func (rl *relay) nextNew(a *attempt, events *eventReader, lastID string) (event, error) {
	for {
		ev, err := events.next()
		if err != nil {
			return ev, causeOf(a.ctx, err)
		}
		if !ev.empty {
			rl.state.recordProgress(a.ticket)
		}
		if isAfter(ev.id, lastID) {
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
	s.mu.Lock()
	sb := s.running
	s.mu.Unlock()
	if sb == nil {
		return nil
	}
	<-sb.done
	s.mu.Lock()
	defer s.mu.Unlock()
	if sb.won {
		s.running = nil
		rl.req.addSends(&sb.req, sb.start)
		rl.req.lastEndpoint, rl.req.predictedLoad = sb.req.lastEndpoint, sb.req.predictedLoad
	}
	s.setOrigin(rl.req, rl.lastID)
	if !sb.won {
		return nil
	}
	return sb
}

// closeStandby ends a standby attempt that is no longer needed.
func (rl *relay) closeStandby() {
	s := &rl.standbys
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAt = rl.req.deadline // starts no other one
	if sb := s.running; sb != nil && sb.won {
		rl.endAttempt(sb.a, dispatch.Neutral)
		sb.cancel()
		return
	}
	s.drop()
}

// relayStandby relays the events of a standby attempt that has won.
func (rl *relay) relayStandby(sb *standby) (done bool, fault *problem.Error) {
	defer sb.cancel()
	var err error
	if isAfter(sb.first.id, rl.lastID) {
		err = rl.writeEvent(sb.a, sb.first, true)
	}
	if err == nil {
		err = rl.copyEvents(sb.a, sb.events)
	}
	return rl.endRelayed(sb.a, err)
}
