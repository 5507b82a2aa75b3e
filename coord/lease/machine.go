package lease

import (
	"math/rand/v2"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// Machine is one candidate for the lease of one data centre. It is not safe
// for concurrent use.
type Machine struct {
	opts     Options
	rng      *rand.Rand
	disabled mechanisms

	// startedAt is the time of the first step.
	startedAt time.Time

	// era is the newest era of the store that was seen, and previous what is carried
	// over from the one before it.
	era      uint64
	previous previousEra

	observedRow rowState
	read        readState
	outage      outageState
	attempts    attempts
	writes      uint64
	// sentAt is when the newest write of the lease row was sent, and answerLost
	// whether its answer was lost.
	sentAt     time.Time
	answerLost bool

	held     heldLease
	promises promiseTracker
	presence presence
	// promisedUntil is the latest end of the promises given to holders. Before
	// it no write of the lease row is sent and no lease is taken.
	promisedUntil time.Time
	stopping      bool
	// keepsRegistered is whether the registration stays while stopping.
	keepsRegistered bool
	// registered is whether the newest read showed this VM's registration.
	registered bool

	effects []Effect
}

// mechanisms disables single safety mechanisms in tests, to show that each is
// needed. A comment describes what happens with the field set.
type mechanisms struct {
	takeoverWait bool // takes over without waiting
	readBack     bool // treats a lost answer as a success
	promises     bool // lets the lease run out in an outage
	promiseOfAll bool // extends the lease by one candidate's promise
	listedOnly   bool // takes over without being listed
	keepPromise  bool // takes over despite a promise
}

// rowState is this node's latest view of the lease row.
type rowState struct {
	row      Row
	revision uint64
	hasRead  bool // a read has been answered
	// changedAt is when the row was first seen at this revision. termChangedAt
	// is when it was first seen at its term.
	changedAt     time.Time
	termChangedAt time.Time
	// takeoverAt is when the row's holder has certainly lost the lease, unless
	// promises extended it.
	takeoverAt time.Time
	// holderGone is whether the holder's VM is gone according to the
	// platform's list of VMs.
	holderGone bool
}

// readState is the state of this node's reads.
type readState struct {
	lastID           uint64
	inFlight         bool
	allRegistrations bool // whether the read in flight includes all registrations
	next             time.Time
	// answeredAt is when a read was last answered.
	answeredAt time.Time
	// requestedAt is when another node last requested the row. relayedAt is
	// when one last sent a newer row.
	requestedAt, relayedAt time.Time
}

// New returns a candidate that does not hold the lease.
func New(opts Options) *Machine {
	opts = opts.withDefaults()
	return &Machine{
		opts:     opts,
		rng:      rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		promises: newPromiseTracker(),
		presence: newPresence(),
		outage:   newOutageState(opts),
	}
}

// Step applies one event and returns the effects to carry out. Times must come
// from one monotonic clock and never decrease.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	m.expire(now)
	switch ev := ev.(type) {
	case RowsRead:
		m.handleRowsRead(now, ev)
	case RowRelayed:
		m.handleRowRelayed(now, ev)
	case RowRequested:
		m.handleRowRequested(now)
	case PeersAnswer:
		m.outage.peersAt, m.outage.isReader = now, ev.Reader
	case ReadFailed:
		m.handleReadFailed(now, ev)
	case WriteAnswered:
		m.handleWriteAnswered(now, ev)
	case PromiseRequested:
		m.handlePromiseRequested(now, ev.Request)
	case PromiseAnswered:
		m.handlePromiseAnswered(now, ev.Reply)
	case RowChanged:
		m.read.next = now
	case Stop:
		m.stop(now, ev)
	}
	m.requestPromises(now)
	m.startRead(now)
	effects := m.effects
	m.effects = nil
	return effects
}

// Row returns the latest lease row known to this node and its revision, which
// is 0 if no row is known.
func (m *Machine) Row() (Row, uint64) { return m.observedRow.row, m.observedRow.revision }

// Era returns the era of the store to which the latest lease row belongs.
func (m *Machine) Era() uint64 { return m.era }

// Held returns the grant under which this node coordinates its data centre.
func (m *Machine) Held(now time.Time) (Grant, bool) {
	if !m.held.active || !now.Before(m.held.until) {
		return Grant{}, false
	}
	return m.held.grant(), true
}

// MayOrder reports whether an order with this timeout may be sent now, that is
// whether the lease outlasts the timeout by at least Options.Margin.
func (m *Machine) MayOrder(now time.Time, timeout time.Duration) bool {
	g, ok := m.Held(now)
	return ok && g.Until.Sub(now) >= timeout+m.opts.Margin
}

// NextFence returns the fence for the next order, which is newer than every
// earlier fence of this lease. It returns false if the lease is not held.
func (m *Machine) NextFence(now time.Time) (member.Fence, bool) {
	g, ok := m.Held(now)
	if !ok {
		return member.Fence{}, false
	}
	m.held.sequence++
	return member.Fence{Term: g.Term, Sequence: m.held.sequence}, true
}

// HasHandedOver reports whether a planned stop is complete: the lease row is
// released or was written by another process, and this VM's registration is
// removed.
func (m *Machine) HasHandedOver() bool {
	return m.stopping && !m.registered && !m.attempts.hasUnsettled() && (!m.isOwnRow() || m.observedRow.row.Released)
}

// Holder returns the holder and the term of the latest row known to this node.
// The holder is empty before the first read and once the lease is released.
func (m *Machine) Holder() (Candidate, uint64) {
	if m.observedRow.row.Released {
		return Candidate{}, m.observedRow.row.Term
	}
	return Candidate{VM: m.observedRow.row.Holder, Incarnation: m.observedRow.row.Incarnation}, m.observedRow.row.Term
}

func (m *Machine) emit(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *Machine) self() Candidate {
	return Candidate{VM: m.opts.VM, Incarnation: m.opts.Incarnation, Place: m.opts.Place, Address: m.opts.Address}
}

// isOwnRow reports whether this process wrote the latest known row.
func (m *Machine) isOwnRow() bool {
	return m.observedRow.revision > 0 && m.observedRow.row.isWrittenBy(m.self())
}

func (m *Machine) isBoundByPromise(now time.Time) bool {
	return now.Before(m.promisedUntil) && !m.disabled.keepPromise
}
