package lease

import "time"

// PromiseRequest asks a candidate not to take the lease over for a while.
type PromiseRequest struct {
	// ID matches a reply to its request.
	ID uint64 `json:"id"`
	// Candidate is the VM that is asked.
	Candidate string `json:"candidate"`
	// Holder and Incarnation identify the asking process, which wrote the
	// lease row of Term at Revision.
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Term        uint64 `json:"term"`
	Revision    uint64 `json:"revision"`
	// Duration is the wanted length of the promise.
	Duration time.Duration `json:"duration_ns"`
}

// PromiseReply answers a PromiseRequest.
type PromiseReply struct {
	ID        uint64 `json:"id"`
	Candidate string `json:"candidate"`
	// Incarnation is that of the asking process.
	Incarnation string `json:"incarnation"`
	// Duration is how long the candidate will not take over, counted from
	// its reply on its own clock; zero if Refusal is set.
	Duration time.Duration `json:"duration_ns,omitempty"`
	Refusal  Refusal       `json:"refusal,omitempty"`
}

// Refusal says why a candidate gave no promise.
type Refusal string

// Reasons to refuse a promise.
const (
	WrongCandidate Refusal = "wrong-candidate" // the request was meant for another VM
	Unsettled      Refusal = "unsettled"       // a write of this candidate may still take effect
	NewerRow       Refusal = "newer-row"       // another process has written the row since
)

// promiseAsked answers a request. A candidate without memory may promise: its
// predecessor's promises cannot be broken before they run out, because a row
// must be seen unchanged for longer than any promise before it is taken over.
func (m *Machine) promiseAsked(now time.Time, req PromiseRequest) {
	m.supersededBy(req)
	reply := PromiseReply{ID: req.ID, Candidate: m.opts.VM, Incarnation: req.Incarnation}
	reply.Refusal = m.refusal(req)
	if reply.Refusal == "" {
		reply.Duration = min(req.Duration, m.opts.Promise)
		m.promiseFor(now, reply.Duration)
	}
	m.emit(AnswerPromise{Reply: reply})
}

// promiseFor binds this candidate for d on any other clock.
func (m *Machine) promiseFor(now time.Time, d time.Duration) {
	until := now.Add(m.opts.stretch(d))
	if until.After(m.promisedUntil) {
		m.promisedUntil = until
	}
}

// supersededBy learns from a holder's request that the row has moved on: the
// holder only names a revision that it knows to be written, so writes with
// an earlier condition can no longer take effect.
func (m *Machine) supersededBy(req PromiseRequest) {
	if req.Revision <= m.seen.revision {
		return
	}
	m.attempts.dropBefore(req.Revision)
	if m.hold.active && req.Holder != m.opts.VM {
		m.lose(Superseded)
	}
}

func (m *Machine) refusal(req PromiseRequest) Refusal {
	switch {
	case req.Candidate != m.opts.VM:
		return WrongCandidate
	case m.attempts.unsettled():
		return Unsettled
	case req.Revision < m.seen.revision && !m.seen.row.writtenBy(Candidate{VM: req.Holder, Incarnation: req.Incarnation}):
		return NewerRow
	case m.hold.active:
		return NewerRow
	}
	return ""
}

// ask is a promise request whose reply may still come.
type ask struct {
	candidate string
	sentAt    time.Time
}

// pledge is what is known of one candidate's promises.
type pledge struct {
	askedAt time.Time
	// from is the sending time of the newest request that was granted, and
	// length the promise's duration.
	from   time.Time
	length time.Duration
}

func (p pledge) until() time.Time {
	return p.from.Add(p.length)
}

// promises collects a holder's requests and what they brought.
type promises struct {
	lastID  uint64
	oldest  uint64
	asks    map[uint64]ask
	pledges map[string]pledge
}

func newPromises() promises {
	return promises{oldest: 1, asks: map[uint64]ask{}, pledges: map[string]pledge{}}
}

// reset forgets all requests and promises. Replies to them are ignored, since
// no request is numbered twice.
func (p *promises) reset() {
	clear(p.asks)
	clear(p.pledges)
	p.oldest = p.lastID + 1
}

// forget drops requests too old for their replies to matter.
func (p *promises) forget(before time.Time) {
	for ; p.oldest <= p.lastID; p.oldest++ {
		a, ok := p.asks[p.oldest]
		if ok && !a.sentAt.Before(before) {
			return
		}
		delete(p.asks, p.oldest)
	}
}

// askPromises sends requests to the candidates that could take over, once
// half of the lease's duration has passed without a renewal.
func (m *Machine) askPromises(now time.Time) {
	if !m.hold.active || m.off.promises || m.opts.WithoutPromises || m.hold.rowUntil.Sub(now) >= m.opts.Duration/2 {
		return
	}
	m.promises.forget(now.Add(-m.opts.Promise))
	for _, c := range m.rivals() {
		if m.askDue(now, c.VM) {
			m.askPromise(now, c.VM)
		}
	}
	m.extend(now)
}

func (m *Machine) askDue(now time.Time, vm string) bool {
	p := m.promises.pledges[vm]
	if p.askedAt.IsZero() {
		return true
	}
	every := m.opts.AskEvery
	if p.from.Before(p.askedAt) {
		every = m.opts.RetryEvery
	}
	return now.Sub(p.askedAt) >= every
}

func (m *Machine) askPromise(now time.Time, vm string) {
	m.promises.lastID++
	m.promises.asks[m.promises.lastID] = ask{candidate: vm, sentAt: now}
	p := m.promises.pledges[vm]
	p.askedAt = now
	m.promises.pledges[vm] = p
	m.emit(AskPromise{Candidate: vm, Request: PromiseRequest{
		ID: m.promises.lastID, Candidate: vm,
		Holder: m.opts.VM, Incarnation: m.opts.Incarnation,
		Term: m.seen.row.Term, Revision: m.seen.revision,
		Duration: m.opts.Promise,
	}})
}

// promiseAnswered counts a promise from the sending of its request, which is
// before the promise began.
func (m *Machine) promiseAnswered(now time.Time, reply PromiseReply) {
	a, ok := m.promises.asks[reply.ID]
	if !ok || a.candidate != reply.Candidate || reply.Incarnation != m.opts.Incarnation {
		return
	}
	delete(m.promises.asks, reply.ID)
	if !m.hold.active || reply.Refusal != "" || reply.Duration <= 0 {
		return
	}
	p := m.promises.pledges[a.candidate]
	if a.sentAt.After(p.from) {
		p.from = a.sentAt
		p.length = reply.Duration
		m.promises.pledges[a.candidate] = p
	}
	m.extend(now)
}

// extend moves the end of a lease that has not run out to the earliest end of
// the rivals' promises.
func (m *Machine) extend(now time.Time) {
	until := now.Add(m.opts.Promise)
	for i, c := range m.rivals() {
		if m.off.promiseOfAll && i > 0 {
			break
		}
		if end := m.promises.pledges[c.VM].until(); end.Before(until) {
			until = end
		}
	}
	if until.After(m.hold.until) {
		m.hold.until = until
	}
}

// rivals returns every other candidate listed in the row as last known or in
// a write of it that may have taken effect, by VM name.
func (m *Machine) rivals() []Candidate {
	list := m.seen.row.Candidates
	for _, a := range m.attempts.list {
		for _, c := range a.row.Candidates {
			if !hasCandidate(list, c.VM) {
				list = withCandidate(list, c)
			}
		}
	}
	return withoutCandidate(list, m.opts.VM)
}
