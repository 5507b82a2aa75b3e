package budget

import (
	"slices"
	"strings"
	"time"
)

// Division selects how a ledger divides limits.
type Division int

// Ways to divide a limit.
const (
	// ByHomes divides each limit evenly over the endpoint's home nodes.
	ByHomes Division = iota
	// ByDemand divides each limit over all nodes according to their demand.
	ByDemand
)

// LedgerOptions configures a Ledger.
type LedgerOptions struct {
	// Source names the ledger in its messages.
	Source string
	// Term orders successive ledgers of the source. The caller must hold the
	// coordinator lease of that term whenever it sends the ledger's effects,
	// with a margin for messages in transit.
	Term     uint64
	Division Division
	// Homes is the number of home nodes per endpoint; 0 means DefaultHomes.
	Homes  int
	Warmup Warmup
}

// Node is a process that may hold shares.
type Node struct {
	Name string
	// Live marks a node that may be granted shares.
	Live bool
	// Guest marks a node of another data centre. With division ByHomes it gets
	// a share only if too few nodes of the ledger's own data centre are live.
	// SetNodes ignores changes of Guest.
	Guest bool
}

// Endpoint describes a group or a service VM to a ledger.
type Endpoint struct {
	Name        string
	Incarnation string
	// ColdInFlight and MaxInFlight are the limits on concurrent requests right
	// after a start and when warm.
	ColdInFlight int
	MaxInFlight  int
	// WarmAfter is the number of completed requests before the limit first
	// rises above ColdInFlight.
	WarmAfter int
	// Fresh marks an incarnation that was created under the ledger's own term,
	// so that no earlier ledger can have granted shares of it.
	Fresh bool
}

// Ledger divides the limits of one data centre's endpoints.
type Ledger struct {
	opts     LedgerOptions
	sequence uint64
	members  []*holder // by name
	byName   map[string]*holder
	// unsynced and unsyncedGuests count the nodes that have not reported yet,
	// of the ledger's own data centre and of others.
	unsynced, unsyncedGuests int
	// membership is a version number of the set of nodes that may be granted
	// shares.
	membership uint64
	endpoints  map[string]*account
	order      []*account
	pending    []*account
	unsettled  []*account
	disabled   mechanisms
}

// mechanisms names the safety mechanisms that tests disable to show that each
// is needed.
type mechanisms struct {
	releases   bool // shares grow only after other nodes have reported their release
	sync       bool // a new ledger waits for a report of every possible holder
	challenges bool // a node's restart is accepted only after a challenge
}

// holder is a process that may hold shares.
type holder struct {
	Node
	index       int
	incarnation string
	synced      bool
	gone        bool
	stopping    bool
	challenged  bool
	nonce       uint64
	sequence    uint64
}

// isEligible reports whether the node may be granted shares.
func (m *holder) isEligible() bool { return m.Live && !m.stopping }

// isGrantable reports whether a grant can be addressed to the node's process.
func (m *holder) isGrantable() bool { return m.synced && m.incarnation != "" }

// origin says what earlier ledgers may have granted of an incarnation.
type origin int

const (
	inherited origin = iota // unknown: they may have granted any part of the limit
	observed                // nothing, but nodes may use the cold parts of grants of earlier incarnations
	fresh                   // nothing, so nothing has to be reserved
)

// NewLedger returns the ledger of a new term. It starts without a record of
// earlier grants: until every node passed to SetNodes has sent a full usage
// under this term or is known to be gone, it grants nothing that an earlier
// ledger may have granted.
func NewLedger(opts LedgerOptions) *Ledger {
	if opts.Homes == 0 {
		opts.Homes = DefaultHomes
	}
	return &Ledger{
		opts: opts, membership: 1,
		byName: map[string]*holder{}, endpoints: map[string]*account{},
	}
}

// SetNodes replaces the set of possible holders. The list must contain every
// entry VM that may be running, live or not, including VMs removed from the
// configuration. Call NodeGone for a VM that is certainly not running. A node
// that is no longer listed is treated as not live, but its share stays counted
// until NodeGone.
func (l *Ledger) SetNodes(now time.Time, nodes []Node) Effects {
	var out Effects
	listed := make(map[string]Node, len(nodes))
	for _, n := range nodes {
		listed[n.Name] = n
		if _, ok := l.byName[n.Name]; !ok {
			out.Announcements = append(out.Announcements, l.addNode(n))
		}
	}
	changed := len(out.Announcements) > 0
	for _, m := range l.members {
		n, ok := listed[m.Name]
		if !ok {
			n = Node{Name: m.Name}
		}
		n.Guest = m.Guest
		if n != m.Node {
			changed = true
			m.Node = n
			m.gone = m.gone && !n.Live
		}
	}
	if changed {
		l.membership++
		out.add(l.balanceAll(now))
	}
	return out
}

// addNode adds a possible holder that has not reported yet.
func (l *Ledger) addNode(n Node) Announcement {
	m := &holder{Node: n, index: len(l.members), nonce: 1, challenged: true}
	l.countUnsynced(m, 1)
	l.byName[n.Name] = m
	at, _ := slices.BinarySearchFunc(l.members, n.Name, func(m *holder, name string) int {
		return strings.Compare(m.Name, name)
	})
	l.members = slices.Insert(l.members, at, m)
	return l.announce(m, n.Name)
}

// NodeGone records that the node's process has certainly ended, which frees its
// shares. It has no effect on a node that SetNodes lists as live: an outdated
// list of VMs that lacks a new VM does not prove that the VM has ended.
func (l *Ledger) NodeGone(now time.Time, name string) Effects {
	m := l.byName[name]
	if m == nil || m.gone || m.Live {
		return Effects{}
	}
	m.gone = true
	m.incarnation = ""
	l.membership++
	l.markSynced(m)
	l.clearHoldings(m)
	return l.balanceAll(now)
}

// SetEndpoint adds or updates an endpoint.
func (l *Ledger) SetEndpoint(now time.Time, e Endpoint) Effects {
	a, ok := l.endpoints[e.Name]
	if !ok {
		a = &account{Endpoint: e, addedAt: now}
		a.incarnation.observe(now, e.Incarnation)
		if e.Fresh {
			a.markFresh()
		}
		l.endpoints[e.Name] = a
		l.order = append(l.order, a)
		return l.balance(now, a)
	}
	before := a.Endpoint
	a.ColdInFlight, a.MaxInFlight, a.WarmAfter = e.ColdInFlight, e.MaxInFlight, e.WarmAfter
	started := a.observeIncarnation(now, e.Incarnation)
	if started && e.Fresh {
		a.markFresh()
	}
	if !started && a.Endpoint == before {
		l.trackUnsettled(now, a)
		return Effects{}
	}
	return l.balance(now, a)
}

// RemoveEndpoint removes an endpoint that no longer exists.
func (l *Ledger) RemoveEndpoint(name string) {
	a, ok := l.endpoints[name]
	if !ok {
		return
	}
	delete(l.endpoints, name)
	isRemoved := func(b *account) bool { return a == b }
	l.order = slices.DeleteFunc(l.order, isRemoved)
	l.pending = slices.DeleteFunc(l.pending, isRemoved)
	l.unsettled = slices.DeleteFunc(l.unsettled, isRemoved)
}

// Observe processes an endpoint's own count of completed requests; name is the
// incarnation that sent it.
func (l *Ledger) Observe(now time.Time, endpoint, name string, completed uint64) Effects {
	a, ok := l.endpoints[endpoint]
	if !ok {
		return Effects{}
	}
	changed := a.observeIncarnation(now, name)
	before := l.limit(a)
	if name == a.incarnation.current {
		a.reportedCompleted = max(a.reportedCompleted, completed)
	}
	if !changed && l.limit(a) == before {
		l.trackUnsettled(now, a)
		return Effects{}
	}
	return l.balance(now, a)
}

// ApplyUsage processes a node's report. It ignores reports from unknown nodes, for
// other ledgers and with an old sequence number. It replies to a report of
// another term with an announcement, and to one of an unconfirmed process with
// a challenge.
func (l *Ledger) ApplyUsage(now time.Time, u Usage) Effects {
	m := l.byName[u.Node]
	if m == nil || u.Source != l.opts.Source {
		return Effects{}
	}
	if u.Term != l.opts.Term {
		return Effects{Announcements: []Announcement{l.announce(m, m.Name)}}
	}
	answered := m.challenged && u.Full && u.Nonce == m.nonce
	switch {
	case answered:
		return l.applyAnnounceReply(now, m, u)
	case u.NodeIncarnation != m.incarnation && l.disabled.challenges:
		return l.applyAnnounceReply(now, m, u)
	case u.NodeIncarnation != m.incarnation || !m.synced:
		return l.challenge(m)
	case u.Sequence <= m.sequence:
		return Effects{}
	}
	m.sequence = u.Sequence
	out := l.markStopping(now, m, u.Stopping)
	out.add(l.applyUsage(now, m, u))
	return out
}

// Tick resends unanswered grants and announcements, and rebalances endpoints
// whose newest incarnation has become certain.
func (l *Ledger) Tick(now time.Time) Effects {
	var out Effects
	for _, m := range l.members {
		if m.challenged && m.Live {
			out.Announcements = append(out.Announcements, l.announce(m, m.Name))
		}
	}
	out.Grants = append(out.Grants, l.resend()...)
	out.add(l.rebalanceSettled(now))
	return out
}

// resend returns the grants that have not been acknowledged.
func (l *Ledger) resend() []Grant {
	var out []Grant
	l.pending = slices.DeleteFunc(l.pending, func(a *account) bool {
		a.pending = false
		for _, h := range a.holdings {
			if h.hasUnackedGrant() {
				out = append(out, h.last)
				a.pending = true
			}
		}
		return !a.pending
	})
	return out
}

// rebalanceSettled rebalances the endpoints whose newest incarnation has
// become certain.
func (l *Ledger) rebalanceSettled(now time.Time) Effects {
	var out Effects
	waiting := l.unsettled[:0]
	for _, a := range l.unsettled {
		if !a.incarnation.isSettled(now) {
			waiting = append(waiting, a)
			continue
		}
		a.unsettled = false
		out.add(l.balance(now, a))
	}
	clear(l.unsettled[len(waiting):])
	l.unsettled = waiting
	return out
}

// Limit returns the endpoint's current limit on concurrent requests, as far as
// the ledger knows, or 0 for an unknown endpoint.
func (l *Ledger) Limit(endpoint string) int {
	if a, ok := l.endpoints[endpoint]; ok {
		return l.limit(a)
	}
	return 0
}

// Synced reports whether every possible holder has reported to this ledger.
func (l *Ledger) Synced() bool { return l.unsynced+l.unsyncedGuests == 0 }
