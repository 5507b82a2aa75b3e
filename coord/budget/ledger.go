package budget

import (
	"slices"
	"strings"
	"time"
)

// Division says how a ledger divides limits.
type Division int

// Divisions of a limit.
const (
	// ByHomes divides each limit evenly over the endpoint's home nodes.
	ByHomes Division = iota
	// ByDemand divides each limit over all nodes as they ask for it.
	ByDemand
)

// LedgerOptions configure a Ledger.
type LedgerOptions struct {
	// Source names the ledger in its messages.
	Source string
	// Term orders successive ledgers of the source. The caller must hold the
	// coordinator lease of that term, with margin for a message in transit,
	// whenever it sends the ledger's effects.
	Term     uint64
	Division Division
	// Homes is the number of home nodes per endpoint; 0 means DefaultHomes.
	Homes  int
	Warmup Warmup
}

// Node is a process that may hold shares.
type Node struct {
	Name string
	// Live says that the node may be granted shares.
	Live bool
	// Guest marks a node of another data centre, which gets a share only
	// where too few of the data centre's own are live. It does not change.
	Guest bool
}

// Endpoint is what a ledger has to know of a group or a service VM.
type Endpoint struct {
	Name        string
	Incarnation string
	// ColdInFlight and MaxInFlight bound concurrent requests right after a
	// start and when warm.
	ColdInFlight int
	MaxInFlight  int
	// WarmAfter is the number of completed requests before the limit first
	// rises above ColdInFlight.
	WarmAfter int
	// Fresh says that this incarnation was created under the ledger's own
	// term, so that no earlier ledger can have granted shares of it.
	Fresh bool
}

// Ledger divides the limits of one data centre's endpoints.
type Ledger struct {
	opts     LedgerOptions
	sequence uint64
	members  []*holder // by name
	byName   map[string]*holder
	// unsynced and unsyncedGuests count nodes that have not reported yet, the
	// data centre's own and others.
	unsynced, unsyncedGuests int
	// membership changes with the set of nodes that may be granted shares.
	membership uint64
	endpoints  map[string]*account
	order      []*account
	pending    []*account
	unsettled  []*account
	without    mechanisms
}

// mechanisms are switched off in tests to show that they matter.
type mechanisms struct {
	releases   bool // growth waits for releases
	sync       bool // a new ledger waits for every possible holder
	challenges bool // a restart is believed only after a challenge
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

// eligible reports whether the node may be granted shares.
func (m *holder) eligible() bool { return m.Live && !m.stopping }

// grantable reports whether a grant can be addressed to the node's process.
func (m *holder) grantable() bool { return m.synced && m.incarnation != "" }

// origin says what earlier ledgers may have granted of an incarnation.
type origin int

const (
	inherited origin = iota // anything
	witnessed               // nothing, but nodes fall to their cold parts
	fresh                   // nothing
)

// NewLedger returns the ledger of a new term. It knows of no grants: until
// every node passed to SetNodes has sent a full usage under this term or is
// known to be gone, it grants nothing that an earlier ledger may have granted.
func NewLedger(opts LedgerOptions) *Ledger {
	if opts.Homes == 0 {
		opts.Homes = DefaultHomes
	}
	return &Ledger{
		opts: opts, membership: 1,
		byName: map[string]*holder{}, endpoints: map[string]*account{},
	}
}

// SetNodes replaces the set of possible holders. It has to list every entry VM
// that may run, live or not, also one that was removed from the configuration;
// for those that certainly do not run, call NodeGone. A node that is no longer
// listed is not live but counts with what it holds until then.
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

// NodeGone takes in that the node's process has certainly ended, which frees
// everything it held. It has no effect on a node that SetNodes lists as live:
// a lagging list that lacks a new VM is no proof of its end.
func (l *Ledger) NodeGone(now time.Time, name string) Effects {
	m := l.byName[name]
	if m == nil || m.gone || m.Live {
		return Effects{}
	}
	m.gone = true
	m.incarnation = ""
	l.membership++
	l.synced(m)
	l.forget(m)
	return l.balanceAll(now)
}

// SetEndpoint adds an endpoint or takes in a change of it.
func (l *Ledger) SetEndpoint(now time.Time, e Endpoint) Effects {
	a, ok := l.endpoints[e.Name]
	if !ok {
		a = &account{Endpoint: e, since: now}
		a.incarnation.see(now, e.Incarnation)
		if e.Fresh {
			a.replace()
		}
		l.endpoints[e.Name] = a
		l.order = append(l.order, a)
		return l.balance(now, a)
	}
	before := a.Endpoint
	a.ColdInFlight, a.MaxInFlight, a.WarmAfter = e.ColdInFlight, e.MaxInFlight, e.WarmAfter
	started := a.see(now, e.Incarnation)
	if started && e.Fresh {
		a.replace()
	}
	if !started && a.Endpoint == before {
		l.watch(now, a)
		return Effects{}
	}
	return l.balance(now, a)
}

// RemoveEndpoint forgets an endpoint that no longer exists.
func (l *Ledger) RemoveEndpoint(name string) {
	a, ok := l.endpoints[name]
	if !ok {
		return
	}
	delete(l.endpoints, name)
	same := func(b *account) bool { return a == b }
	l.order = slices.DeleteFunc(l.order, same)
	l.pending = slices.DeleteFunc(l.pending, same)
	l.unsettled = slices.DeleteFunc(l.unsettled, same)
}

// Observe takes in an endpoint's own count of completed requests.
func (l *Ledger) Observe(now time.Time, endpoint, name string, completed uint64) Effects {
	a, ok := l.endpoints[endpoint]
	if !ok {
		return Effects{}
	}
	changed := a.see(now, name)
	before := l.limit(a)
	if name == a.incarnation.current {
		a.reported = max(a.reported, completed)
	}
	if !changed && l.limit(a) == before {
		l.watch(now, a)
		return Effects{}
	}
	return l.balance(now, a)
}

// ApplyUsage takes in a node's report.
func (l *Ledger) ApplyUsage(now time.Time, u Usage) Effects {
	m := l.byName[u.Node]
	if m == nil || u.Source != l.opts.Source {
		return Effects{}
	}
	if u.Term != l.opts.Term {
		return Effects{Announcements: []Announcement{l.announce(m, m.Name)}}
	}
	answers := m.challenged && u.Full && u.Nonce == m.nonce
	switch {
	case answers:
		return l.sync(now, m, u)
	case u.NodeIncarnation != m.incarnation && l.without.challenges:
		return l.sync(now, m, u)
	case u.NodeIncarnation != m.incarnation || !m.synced:
		return l.challenge(m)
	case u.Sequence <= m.sequence:
		return Effects{}
	}
	m.sequence = u.Sequence
	out := l.stop(now, m, u.Stopping)
	out.add(l.read(now, m, u))
	return out
}

// Tick repeats grants and announcements that have not been answered.
func (l *Ledger) Tick(now time.Time) Effects {
	var out Effects
	for _, m := range l.members {
		if m.challenged && m.Live {
			out.Announcements = append(out.Announcements, l.announce(m, m.Name))
		}
	}
	out.Grants = append(out.Grants, l.resend()...)
	out.add(l.settle(now))
	return out
}

// resend returns the grants that have not been acknowledged.
func (l *Ledger) resend() []Grant {
	var out []Grant
	l.pending = slices.DeleteFunc(l.pending, func(a *account) bool {
		a.pending = false
		for _, h := range a.holdings {
			if h.unanswered() {
				out = append(out, h.last)
				a.pending = true
			}
		}
		return !a.pending
	})
	return out
}

// settle rebalances endpoints of which it has become certain which
// incarnation is the newest.
func (l *Ledger) settle(now time.Time) Effects {
	var out Effects
	waiting := l.unsettled[:0]
	for _, a := range l.unsettled {
		if !a.incarnation.settled(now) {
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

// Limit returns the number of concurrent requests that the endpoint bears
// now, as far as the ledger knows.
func (l *Ledger) Limit(endpoint string) int {
	if a, ok := l.endpoints[endpoint]; ok {
		return l.limit(a)
	}
	return 0
}

// Synced reports whether every possible holder has reported to this ledger.
func (l *Ledger) Synced() bool { return l.unsynced+l.unsyncedGuests == 0 }
