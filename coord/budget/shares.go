package budget

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// Shares holds a node's parts of endpoints' limits. The zero value is not
// usable; see NewShares.
type Shares struct {
	node        string
	incarnation string
	sources     map[string]*source
	sourceOrder []string
	table       map[string]*share
	watch       func(endpoint string)
	stopped     bool
}

// source is what a node knows of one ledger.
type source struct {
	term     uint64
	nonce    uint64
	sequence uint64
	stopped  bool
	shares   []*share
	changed  []*share
}

// share is the node's part of one endpoint's limit.
type share struct {
	endpoint    string
	source      *source
	incarnation incarnation
	fence       member.Fence
	limit       int
	cold        int
	inFlight    int
	// earlierInFlight counts requests at the incarnation before. They do not
	// use up the share, but are reported until it is certain that they ended.
	earlier         string
	earlierInFlight int
	waiting         int
	completed       uint64
	doubted         bool
	scarce          bool
	changed         bool
	reported        Entry
}

// Ticket is one unit of a share, taken by Acquire and given back by Release.
type Ticket struct {
	Endpoint    string
	Incarnation string
}

// NewShares returns the empty shares of a node's process.
func NewShares(node, nodeIncarnation string) *Shares {
	return &Shares{
		node:        node,
		incarnation: nodeIncarnation,
		sources:     map[string]*source{},
		table:       map[string]*share{},
	}
}

// Watch registers a function that is called with the name of each endpoint
// whose free share may have changed.
func (s *Shares) Watch(f func(endpoint string)) { s.watch = f }

// ApplyAnnouncement takes in which ledger is in force. It reports whether the node
// owes the ledger a full usage.
func (s *Shares) ApplyAnnouncement(a Announcement) bool {
	src := s.source(a.Source)
	if a.Node != s.node || a.Term < src.term {
		return false
	}
	src.follow(a.Term)
	src.nonce = max(src.nonce, a.Nonce)
	return true
}

// ApplyGrant takes in a grant. It reports whether the grant is in force, which a
// grant for another process, an earlier term or an earlier fence is not.
func (s *Shares) ApplyGrant(now time.Time, g Grant) bool {
	if g.Node != s.node || g.NodeIncarnation != s.incarnation {
		return false
	}
	src := s.source(g.Source)
	if g.Fence.Term < src.term {
		return false
	}
	sh := s.share(src, g.Endpoint)
	if sh.source != src || !sh.fence.Before(g.Fence) {
		return sh.source == src && sh.fence == g.Fence
	}
	src.follow(g.Fence.Term)
	sh.fence = g.Fence
	sh.see(now, g.Incarnation)
	sh.cold = g.Cold
	sh.limit = g.Cold
	if g.Incarnation == sh.incarnation.current {
		sh.limit = g.Limit
	}
	if src.stopped {
		sh.limit, sh.cold = 0, 0
	}
	sh.scarce = g.Scarce
	s.touch(sh)
	return true
}

// Observe takes in the incarnation named in an endpoint's report or answer.
// A new one makes the endpoint cold: the share falls at once and requests in
// flight at the old one no longer count.
func (s *Shares) Observe(now time.Time, endpoint, name string) {
	sh, ok := s.table[endpoint]
	if !ok {
		return
	}
	if sh.see(now, name) {
		s.touch(sh)
	}
}

// SuspectRestart marks an endpoint that may have restarted, as after a broken
// connection. Its share is held to the cold part until its incarnation is
// observed again.
func (s *Shares) SuspectRestart(endpoint string) {
	if sh, ok := s.table[endpoint]; ok && !sh.doubted {
		sh.doubted = true
		s.touch(sh)
	}
}

// Acquire takes one unit of the endpoint's share.
func (s *Shares) Acquire(endpoint string) (Ticket, bool) {
	sh, ok := s.table[endpoint]
	if !ok || sh.free() <= 0 {
		return Ticket{}, false
	}
	sh.inFlight++
	s.touch(sh)
	return Ticket{Endpoint: endpoint, Incarnation: sh.incarnation.current}, true
}

// Release gives a unit back. Completed says that a whole answer came, which
// counts towards the warm-up.
func (s *Shares) Release(t Ticket, completed bool) {
	sh, ok := s.table[t.Endpoint]
	if !ok {
		return
	}
	switch {
	case t.Incarnation == sh.incarnation.current && sh.inFlight > 0:
		sh.inFlight--
		if completed {
			sh.completed++
		}
	case t.Incarnation == sh.earlier && sh.earlierInFlight > 0:
		sh.earlierInFlight--
	default:
		return
	}
	s.touch(sh)
}

// SetWaiting sets the number of requests that wait for a larger share.
func (s *Shares) SetWaiting(endpoint string, waiting int) {
	sh, ok := s.table[endpoint]
	if !ok || sh.waiting == waiting {
		return
	}
	sh.waiting = waiting
	s.touch(sh)
}

// SetWaitingAtSource is Wait for an endpoint of which the node may hold no share yet.
func (s *Shares) SetWaitingAtSource(sourceName, endpoint string, waiting int) {
	s.share(s.source(sourceName), endpoint)
	s.SetWaiting(endpoint, waiting)
}

// Free returns how many more requests the node may start at the endpoint.
func (s *Shares) Free(endpoint string) int {
	if sh, ok := s.table[endpoint]; ok {
		return max(0, sh.free())
	}
	return 0
}

// State is what a node holds of one endpoint.
type State struct {
	Incarnation string
	Limit       int
	InFlight    int
	// Scarce says that all nodes together want more than the whole limit.
	Scarce bool
}

// State returns what the node holds of the endpoint.
func (s *Shares) State(endpoint string) State {
	sh, ok := s.table[endpoint]
	if !ok {
		return State{}
	}
	return State{
		Incarnation: sh.incarnation.current,
		Limit:       sh.effective(),
		InFlight:    sh.inFlight,
		Scarce:      sh.scarce,
	}
}

// Stop gives up every share and refuses later growth. Requests in flight
// stay counted until they are released.
func (s *Shares) Stop() {
	s.stopped = true
	for _, name := range s.sourceOrder {
		src := s.sources[name]
		src.stopped = true
		for _, sh := range src.shares {
			sh.limit, sh.cold, sh.waiting = 0, 0, 0
			s.touch(sh)
		}
	}
}

// Report returns what a ledger has to know of what changed since the last
// report to the source, or everything held from it. A usage without entries
// that is not full need not be sent.
func (s *Shares) Report(sourceName string, full bool) Usage {
	src := s.source(sourceName)
	src.sequence++
	u := Usage{
		Source: sourceName, Term: src.term, Nonce: src.nonce,
		Node: s.node, NodeIncarnation: s.incarnation,
		Sequence: src.sequence, Full: full, Stopping: src.stopped,
	}
	listed := src.changed
	if full {
		listed = src.shares
	}
	for _, sh := range listed {
		e := sh.entry()
		if full || e.news(sh.reported) {
			u.Entries = append(u.Entries, e)
			sh.reported = e
		}
	}
	for _, sh := range src.changed {
		sh.changed = false
	}
	src.changed = src.changed[:0]
	return u
}

// follow moves the source to a later term.
func (src *source) follow(term uint64) {
	if term > src.term {
		src.term = term
		src.nonce = 0
	}
}

func (s *Shares) source(name string) *source {
	src, ok := s.sources[name]
	if !ok {
		src = &source{stopped: s.stopped}
		s.sources[name] = src
		s.sourceOrder = append(s.sourceOrder, name)
	}
	return src
}

func (s *Shares) share(src *source, endpoint string) *share {
	sh, ok := s.table[endpoint]
	if !ok {
		sh = &share{endpoint: endpoint, source: src}
		s.table[endpoint] = sh
		src.shares = append(src.shares, sh)
	}
	return sh
}

// touch marks a share for the next report and tells the watcher.
func (s *Shares) touch(sh *share) {
	if !sh.changed {
		sh.changed = true
		sh.source.changed = append(sh.source.changed, sh)
	}
	if s.watch != nil {
		s.watch(sh.endpoint)
	}
}

// see takes in the incarnation named in a message and reports whether the
// share has changed by it.
func (sh *share) see(now time.Time, name string) bool {
	before := sh.incarnation.current
	if sh.incarnation.see(now, name) == changed {
		sh.restart(before)
		return true
	}
	if name != sh.incarnation.current {
		return false
	}
	changed := sh.doubted || sh.earlier != "" && sh.incarnation.settled(now)
	sh.doubted = false
	if sh.incarnation.settled(now) {
		sh.earlier, sh.earlierInFlight = "", 0
	}
	return changed
}

// restart makes the share that of a newly started endpoint.
func (sh *share) restart(before string) {
	inFlight := 0
	if sh.earlier == sh.incarnation.current {
		inFlight = sh.earlierInFlight
	}
	sh.earlier, sh.earlierInFlight = before, sh.inFlight
	sh.inFlight = inFlight
	sh.limit = sh.cold
	sh.completed = 0
	sh.doubted = false
}

// effective is the limit in force.
func (sh *share) effective() int {
	if sh.doubted {
		return min(sh.limit, sh.cold)
	}
	return sh.limit
}

func (sh *share) free() int { return sh.effective() - sh.inFlight }

func (sh *share) entry() Entry {
	return Entry{
		Endpoint: sh.endpoint, Incarnation: sh.incarnation.current,
		Fence: sh.fence, Held: max(sh.limit, sh.inFlight), Cold: sh.cold,
		Earlier: sh.earlierInFlight,
		Demand:  sh.inFlight + sh.waiting, Completed: sh.completed,
	}
}
