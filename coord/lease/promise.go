package lease

import "time"

// PromiseRequest asks a candidate not to take over the lease for a limited time.
type PromiseRequest struct {
	// ID matches a reply to its request.
	ID uint64 `json:"id"`
	// Candidate is the VM that the request is for.
	Candidate string `json:"candidate"`
	// Holder and Incarnation identify the requesting process, which wrote the
	// lease row of Term at Revision.
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Term        uint64 `json:"term"`
	Revision    uint64 `json:"revision"`
	// Duration is the requested length of the promise.
	Duration time.Duration `json:"duration_ns"`
}

// PromiseReply answers a PromiseRequest.
type PromiseReply struct {
	ID        uint64 `json:"id"`
	Candidate string `json:"candidate"`
	// Incarnation is that of the requesting process.
	Incarnation string `json:"incarnation"`
	// Duration is how long the candidate will not take over, counted from
	// its reply on its own clock; zero if Refusal is set.
	Duration time.Duration `json:"duration_ns,omitempty"`
	Refusal  Refusal       `json:"refusal,omitempty"`
}

// Refusal is the reason why a candidate refused a promise.
type Refusal string

// Reasons to refuse a promise.
const (
	WrongCandidate Refusal = "wrong-candidate" // the request was meant for another VM
	Unsettled      Refusal = "unsettled"       // a write of this candidate may still take effect
	NewerRow       Refusal = "newer-row"       // another process has written the row since
)

// handlePromiseRequested answers a request. A candidate that has just restarted
// may promise although it does not remember earlier promises of its VM: it
// cannot break them, because it only takes over a row that it has seen unchanged
// for longer than any promise.
func (m *Machine) handlePromiseRequested(now time.Time, req PromiseRequest) {
	m.applyRequestRevision(req)
	reply := PromiseReply{ID: req.ID, Candidate: m.opts.VM, Incarnation: req.Incarnation}
	reply.Refusal = m.checkPromiseRequest(req)
	if reply.Refusal == "" {
		reply.Duration = min(req.Duration, m.opts.Promise)
		m.extendPromise(now, reply.Duration)
	}
	m.emit(AnswerPromise{Reply: reply})
}

// extendPromise bars this candidate from taking over until at least d has
// passed on any other clock.
func (m *Machine) extendPromise(now time.Time, d time.Duration) {
	until := now.Add(m.opts.compensateDrift(d))
	if until.After(m.promisedUntil) {
		m.promisedUntil = until
	}
}

// applyRequestRevision applies the row's revision in a holder's request. The
// holder only names a revision that it knows to be written, so writes with an
// earlier condition can no longer take effect.
func (m *Machine) applyRequestRevision(req PromiseRequest) {
	if req.Revision <= m.observedRow.revision {
		return
	}
	m.attempts.dropBefore(req.Revision)
	if m.held.active && req.Holder != m.opts.VM {
		m.loseLease(Superseded)
	}
}

func (m *Machine) checkPromiseRequest(req PromiseRequest) Refusal {
	switch {
	case req.Candidate != m.opts.VM:
		return WrongCandidate
	case m.attempts.hasUnsettled():
		return Unsettled
	case req.Revision < m.observedRow.revision && !m.observedRow.row.isWrittenBy(Candidate{VM: req.Holder, Incarnation: req.Incarnation}):
		return NewerRow
	case m.held.active:
		return NewerRow
	}
	return ""
}

// pendingRequest is a promise request whose reply may still arrive.
type pendingRequest struct {
	candidate string
	sentAt    time.Time
}

// candidatePromise is the newest request to one candidate and its newest promise.
type candidatePromise struct {
	askedAt time.Time
	// from is when the newest granted request was sent. length is the
	// promise's duration.
	from   time.Time
	length time.Duration
}

func (p candidatePromise) until() time.Time {
	return p.from.Add(p.length)
}

// promiseTracker keeps a holder's pending requests and the promises it received.
type promiseTracker struct {
	lastID      uint64
	oldestID    uint64
	pending     map[uint64]pendingRequest
	byCandidate map[string]candidatePromise
}

func newPromiseTracker() promiseTracker {
	return promiseTracker{oldestID: 1, pending: map[uint64]pendingRequest{}, byCandidate: map[string]candidatePromise{}}
}

// reset discards all requests and promises. Later replies are ignored, since
// request IDs are never reused.
func (p *promiseTracker) reset() {
	clear(p.pending)
	clear(p.byCandidate)
	p.oldestID = p.lastID + 1
}

// dropOlder drops the requests sent before the given time, whose replies no longer
// matter.
func (p *promiseTracker) dropOlder(before time.Time) {
	for ; p.oldestID <= p.lastID; p.oldestID++ {
		a, ok := p.pending[p.oldestID]
		if ok && !a.sentAt.Before(before) {
			return
		}
		delete(p.pending, p.oldestID)
	}
}

// requestPromises sends requests to the candidates that could take over once half
// of the lease's duration has passed without a renewal.
func (m *Machine) requestPromises(now time.Time) {
	if !m.held.active || m.disabled.promises || m.opts.WithoutPromises || m.held.rowUntil.Sub(now) >= m.opts.Duration/2 {
		return
	}
	m.promises.dropOlder(now.Add(-m.opts.Promise))
	for _, c := range m.otherCandidates() {
		if m.isRequestDue(now, c.VM) {
			m.sendPromiseRequest(now, c.VM)
		}
	}
	m.extendLease(now)
}

func (m *Machine) isRequestDue(now time.Time, vm string) bool {
	p := m.promises.byCandidate[vm]
	if p.askedAt.IsZero() {
		return true
	}
	every := m.opts.AskEvery
	if p.from.Before(p.askedAt) {
		every = m.opts.RetryEvery
	}
	return now.Sub(p.askedAt) >= every
}

func (m *Machine) sendPromiseRequest(now time.Time, vm string) {
	m.promises.lastID++
	m.promises.pending[m.promises.lastID] = pendingRequest{candidate: vm, sentAt: now}
	p := m.promises.byCandidate[vm]
	p.askedAt = now
	m.promises.byCandidate[vm] = p
	m.emit(AskPromise{Candidate: vm, Request: PromiseRequest{
		ID: m.promises.lastID, Candidate: vm,
		Holder: m.opts.VM, Incarnation: m.opts.Incarnation,
		Term: m.observedRow.row.Term, Revision: m.observedRow.revision,
		Duration: m.opts.Promise,
	}})
}

// handlePromiseAnswered records a promise. It counts from when the request was
// sent, which is before the promise began.
func (m *Machine) handlePromiseAnswered(now time.Time, reply PromiseReply) {
	a, ok := m.promises.pending[reply.ID]
	if !ok || a.candidate != reply.Candidate || reply.Incarnation != m.opts.Incarnation {
		return
	}
	delete(m.promises.pending, reply.ID)
	if !m.held.active || reply.Refusal != "" || reply.Duration <= 0 {
		return
	}
	p := m.promises.byCandidate[a.candidate]
	if a.sentAt.After(p.from) {
		p.from = a.sentAt
		p.length = reply.Duration
		m.promises.byCandidate[a.candidate] = p
	}
	m.extendLease(now)
}

// extendLease extends a lease that has not run out to the earliest end of the
// other candidates' promises.
func (m *Machine) extendLease(now time.Time) {
	until := now.Add(m.opts.Promise)
	for i, c := range m.otherCandidates() {
		if m.disabled.promiseOfAll && i > 0 {
			break
		}
		if end := m.promises.byCandidate[c.VM].until(); end.Before(until) {
			until = end
		}
	}
	if until.After(m.held.until) {
		m.held.until = until
	}
}

// otherCandidates returns the other candidates, sorted by VM name, that are listed
// in the latest known row or in a write that may have taken effect.
func (m *Machine) otherCandidates() []Candidate {
	list := m.observedRow.row.Candidates
	for _, a := range m.attempts.list {
		for _, c := range a.row.Candidates {
			if !hasCandidate(list, c.VM) {
				list = withCandidate(list, c)
			}
		}
	}
	return withoutCandidate(list, m.opts.VM)
}
