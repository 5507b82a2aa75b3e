package entry

import (
	"context"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/waitqueue"
)

// waitKey identifies the requests that wait for the same slots.
type waitKey struct{ service, model string }

// waitList is the queue of the requests that wait for the same slots.
type waitList struct {
	queue waitqueue.Queue[*placement]
	// refusals are the latest ones of requests that are refused alike, by rank.
	refusals map[int]*dispatch.Refusal
}

// placement is a request of a ranked service for which an endpoint is chosen in turn
// with others. The state's lock guards its fields once the request waits.
type placement struct {
	query   dispatch.Query
	account string
	cancel  func(dispatch.LossReason)
	doubt   func(*dispatch.Ticket, dispatch.LossReason)
	until   time.Time // until when it may wait

	ticket *dispatch.Ticket
	// refusal is the newest one; it counts only without a ticket.
	refusal *dispatch.Refusal
	// ended is whether it no longer waits; done is closed then.
	ended bool
	done  chan struct{}
}

// end records that a request no longer waits.
func (p *placement) end() {
	p.ended = true
	close(p.done)
}

// placeInTurn chooses an endpoint for a request of a ranked service. The request
// yields to more urgent ones that wait, and waits itself while a slot may become
// free in time.
func (s *Server) placeInTurn(ctx context.Context, p *placement) (*dispatch.Ticket, *dispatch.Refusal) {
	w := s.state.joinQueue(p)
	for w != nil {
		timer := time.NewTimer(placeRetryInterval)
		select {
		case <-p.done:
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		if s.state.pollQueue(w, ctx.Err() != nil) {
			break
		}
	}
	if p.ticket != nil {
		return p.ticket, nil
	}
	return nil, p.refusal
}

// joinQueue chooses a target for a request after those that wait and go first. It
// returns a waiter if the request waits, or nil if it was placed or refused.
func (s *State) joinQueue(p *placement) *waitqueue.Waiter[*placement] {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	key := waitKey{p.query.Service, p.query.Model}
	list := s.waiting[key]
	if list == nil {
		if p.ticket, p.refusal = s.pickLocked(now, p.query, p.cancel, p.doubt); p.ticket != nil {
			s.recordServed(now, p)
			return nil
		}
		if !p.mayWait(now) {
			return nil
		}
		list = &waitList{refusals: make(map[int]*dispatch.Refusal)}
		list.queue.Overdue = func(now time.Time, rank int) bool { return s.targets.IsOverdue(now, key.service, key.model, rank) }
		s.waiting[key] = list
	}
	w := &waitqueue.Waiter[*placement]{
		Rank: p.query.Rank.Value, Account: p.account, Until: p.until, Alike: len(p.query.Exclude) == 0, Value: p,
	}
	if !now.Before(w.Until) {
		w.Until = now.Add(1) // it is tried once
	}
	p.done = make(chan struct{})
	first := p.refusal
	s.displace(list, list.queue.Add(now, w, s.sharesOf(p.query.Service)))
	if first == nil {
		s.serveQueue(now, list, p.query.Service)
		s.settleRefusal(list, w)
		if !p.ended && !p.mayWait(now) {
			list.queue.Remove(w)
			p.end()
		}
	}
	s.dropEmpty(key, list)
	if p.ended {
		return nil
	}
	return w
}

// mayWait reports whether a slot may become free in time for a request that was
// refused.
func (p *placement) mayWait(now time.Time) bool {
	return now.Before(p.until) && p.refusal.MayClearWithin(p.until.Sub(now))
}

// pollQueue serves the queue of a waiter, unless that was done just before. It
// reports whether the waiter no longer waits. If left is set, its caller has left: it
// is removed, and a target that was just chosen for it is released.
func (s *State) pollQueue(w *waitqueue.Waiter[*placement], left bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, p := s.now(), w.Value
	key := waitKey{p.query.Service, p.query.Model}
	if left && p.ticket != nil {
		p.ticket.Parts = nil // the endpoint never held the request
		s.targets.Done(now, p.ticket, dispatch.Neutral)
		p.ticket = nil
	}
	if p.ended {
		return true
	}
	list := s.waiting[key]
	if !left && list.queue.Due(now, placeRetryInterval/2) {
		s.serveQueue(now, list, p.query.Service)
	}
	s.settleRefusal(list, w)
	if !p.ended && (left || !p.mayWait(now)) {
		list.queue.Remove(w)
		p.end()
	}
	s.dropEmpty(key, list)
	return p.ended
}

// serveQueue tries to place the requests of a queue in their order.
func (s *State) serveQueue(now time.Time, list *waitList, service string) {
	list.queue.Run(now, s.sharesOf(service), func(w *waitqueue.Waiter[*placement]) waitqueue.Verdict {
		p := w.Value
		ticket, refusal := s.pickLocked(now, p.query, p.cancel, p.doubt)
		if ticket != nil {
			p.ticket = ticket
			s.recordServed(now, p)
			p.end()
			return waitqueue.Served
		}
		p.refusal = refusal
		if refusal.Reason == dispatch.Quarantined {
			p.end()
			return waitqueue.Ended
		}
		if w.Alike {
			list.refusals[w.Rank] = refusal
		}
		return waitqueue.Refused
	})
}

// settleRefusal gives a waiter that was passed over the refusal of the one that was
// refused in its place.
func (s *State) settleRefusal(list *waitList, w *waitqueue.Waiter[*placement]) {
	if p := w.Value; !p.ended && w.Alike && list.refusals[w.Rank] != nil {
		p.refusal = list.refusals[w.Rank].WithDraw(p.query.Draw)
	}
}

// displace ends a waiter that was displaced by others, if it is not nil.
func (s *State) displace(list *waitList, w *waitqueue.Waiter[*placement]) {
	if w == nil {
		return
	}
	s.settleRefusal(list, w)
	if w.Value.refusal == nil {
		w.Value.refusal = (&dispatch.Refusal{Reason: dispatch.AllFull}).WithDraw(w.Value.query.Draw)
	}
	w.Value.end()
}

func (s *State) dropEmpty(key waitKey, list *waitList) {
	if list.queue.Len() == 0 {
		delete(s.waiting, key)
	}
}

// recordServed counts the work of a placed request for its account.
func (s *State) recordServed(now time.Time, p *placement) {
	s.sharesOf(p.query.Service).Record(now, p.account, p.ticket.Work())
}

// sharesOf returns the work served for the accounts of a service.
func (s *State) sharesOf(service string) *waitqueue.Shares {
	shares := s.shares[service]
	if shares == nil {
		shares = &waitqueue.Shares{}
		s.shares[service] = shares
	}
	return shares
}
