package lease

import (
	"math/rand/v2"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// Machine is one candidate for the lease of one data centre. It is not safe
// for concurrent use.
type Machine struct {
	opts Options
	rng  *rand.Rand
	off  mechanisms

	// startedAt is the time of the first step.
	startedAt time.Time

	seen     seen
	read     reading
	attempts attempts
	writes   uint64
	// sentAt is when the newest write of the lease row was sent.
	sentAt time.Time

	hold     hold
	promises promises
	presence presence
	// promisedUntil is the end of the newest promise given to a holder. No
	// write of the lease row is sent, and no lease is held, before it.
	promisedUntil time.Time
	stopping      bool
	// registered is whether the newest read showed this VM's registration.
	registered bool

	effects []Effect
}

// mechanisms are switched off by tests to show what each is for.
type mechanisms struct {
	takeoverWait bool // takes over without waiting
	readBack     bool // takes a lost answer for a success
	promises     bool // lets the lease run out in an outage
	promiseOfAll bool // extends the lease by one candidate's promise
	listed       bool // takes over without being listed
	keepPromise  bool // takes over in spite of a promise
}

// seen is the lease row as this node knows it.
type seen struct {
	row      Row
	revision uint64
	known    bool // a read has been answered
	// at is when the row was first seen at this revision, termAt when it was
	// first seen at its term.
	at     time.Time
	termAt time.Time
	// takeoverAt is when the row's holder has certainly lost the lease,
	// unless it extends it by promises.
	takeoverAt time.Time
	// holderGone is whether the platform's list of VMs showed that the
	// holder's VM is gone.
	holderGone bool
}

// reading is the state of this node's reads.
type reading struct {
	id       uint64
	inFlight bool
	all      bool // the read in flight asks for all registrations
	next     time.Time
	// answeredAt is when a read was last answered.
	answeredAt time.Time
	// askedAt is when another node last asked for the row, toldAt when one
	// last told a newer row.
	askedAt, toldAt time.Time
}

// New returns a candidate that does not hold the lease.
func New(opts Options) *Machine {
	opts = opts.withDefaults()
	return &Machine{
		opts:     opts,
		rng:      rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		promises: newPromises(),
		presence: newPresence(),
	}
}

// Step takes one observation in and returns what to do about it. Times must
// come from one monotonic clock and never fall.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	m.expire(now)
	switch ev := ev.(type) {
	case RowsRead:
		m.rowsRead(now, ev)
	case RowRelayed:
		m.rowSeen(now, ev)
	case RowRequested:
		m.rowAsked(now)
	case ReadFailed:
		m.readFailed(now, ev)
	case WriteAnswered:
		m.writeAnswered(now, ev)
	case PromiseRequested:
		m.promiseAsked(now, ev.Request)
	case PromiseAnswered:
		m.promiseAnswered(now, ev.Reply)
	case RowChanged:
		m.read.next = now
	case Stop:
		m.stop(now)
	}
	m.askPromises(now)
	m.startRead(now)
	effects := m.effects
	m.effects = nil
	return effects
}

// Row returns the lease row as this node knows it, and its revision, 0 if
// there is none.
func (m *Machine) Row() (Row, uint64) { return m.seen.row, m.seen.revision }

// Held returns the grant under which this node coordinates its data centre.
func (m *Machine) Held(now time.Time) (Grant, bool) {
	if !m.hold.active || !now.Before(m.hold.until) {
		return Grant{}, false
	}
	return m.hold.grant(), true
}

// MayOrder reports whether an order with this timeout may be sent now: enough
// of the lease is left for it to end before the lease does.
func (m *Machine) MayOrder(now time.Time, timeout time.Duration) bool {
	g, ok := m.Held(now)
	return ok && g.Until.Sub(now) >= timeout+m.opts.Margin
}

// NextFence returns the fence for the next order, larger than every earlier
// one of this lease. It returns false if the lease is not held.
func (m *Machine) NextFence(now time.Time) (member.Fence, bool) {
	g, ok := m.Held(now)
	if !ok {
		return member.Fence{}, false
	}
	m.hold.sequence++
	return member.Fence{Term: g.Term, Sequence: m.hold.sequence}, true
}

// HasHandedOver reports whether a planned stop needs nothing more: the lease row
// is released or another process's, and this VM's registration is removed.
func (m *Machine) HasHandedOver() bool {
	return m.stopping && !m.registered && !m.attempts.unsettled() && (!m.mine() || m.seen.row.Released)
}

// Holder returns who holds the lease as far as this node knows, and in which
// term. It is empty before the first read and once the lease is released.
func (m *Machine) Holder() (Candidate, uint64) {
	if m.seen.row.Released {
		return Candidate{}, m.seen.row.Term
	}
	return Candidate{VM: m.seen.row.Holder, Incarnation: m.seen.row.Incarnation}, m.seen.row.Term
}

func (m *Machine) emit(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *Machine) self() Candidate {
	return Candidate{VM: m.opts.VM, Incarnation: m.opts.Incarnation, Place: m.opts.Place, Address: m.opts.Address}
}

// mine reports whether this process wrote the row as last known.
func (m *Machine) mine() bool {
	return m.seen.revision > 0 && m.seen.row.writtenBy(m.self())
}

func (m *Machine) promised(now time.Time) bool {
	return now.Before(m.promisedUntil) && !m.off.keepPromise
}
