package budget

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// Shares contains a node's parts of endpoints' limits. The zero value is not
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

// source is a node's state for one ledger.
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
	// earlierInFlight counts requests in flight at earlierIncarnation, the
	// previous one. They do not use up the share, but are reported until it is
	// certain that they have ended.
	earlierIncarnation string
	earlierInFlight    int
	waiting            int
	completed          uint64
	suspected          bool
	scarce             bool
	changed            bool
	reported           Entry
}

// Ticket is one unit of a share, taken by Acquire and returned by Release.
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

// ApplyAnnouncement processes a ledger's announcement. It reports whether the node must
// answer with a full usage, which it need not for an announcement to another
// node or of an earlier term.
func (s *Shares) ApplyAnnouncement(a Announcement) bool {
	src := s.ensureSource(a.Source)
	if a.Node != s.node || a.Term < src.term {
		return false
	}
	src.advanceTerm(a.Term)
	src.nonce = max(src.nonce, a.Nonce)
	return true
}

// ApplyGrant processes a grant. It reports whether the grant is in force. A grant for
// another process, of an earlier term or with an earlier fence is refused.
func (s *Shares) ApplyGrant(now time.Time, g Grant) bool {
	if g.Node != s.node || g.NodeIncarnation != s.incarnation {
		return false
	}
	src := s.ensureSource(g.Source)
	if g.Fence.Term < src.term {
		return false
	}
	sh := s.ensureShare(src, g.Endpoint)
	if sh.source != src || !sh.fence.Before(g.Fence) {
		return sh.source == src && sh.fence == g.Fence
	}
	src.advanceTerm(g.Fence.Term)
	sh.fence = g.Fence
	sh.observeIncarnation(now, g.Incarnation)
	sh.cold = g.Cold
	sh.limit = g.Cold
	if g.Incarnation == sh.incarnation.current {
		sh.limit = g.Limit
	}
	if src.stopped {
		sh.limit, sh.cold = 0, 0
	}
	sh.scarce = g.Scarce
	s.markChanged(sh)
	return true
}

// Observe processes the incarnation named in an endpoint's report or answer. A
// new incarnation makes the endpoint cold: the share drops at once to its cold
// part, and requests in flight at the old incarnation no longer use it up.
func (s *Shares) Observe(now time.Time, endpoint, name string) {
	sh, ok := s.table[endpoint]
	if !ok {
		return
	}
	if sh.observeIncarnation(now, name) {
		s.markChanged(sh)
	}
}

// SuspectRestart marks an endpoint that may have restarted, for instance after a broken
// connection. Its share is limited to the cold part until its incarnation is
// observed again.
func (s *Shares) SuspectRestart(endpoint string) {
	if sh, ok := s.table[endpoint]; ok && !sh.suspected {
		sh.suspected = true
		s.markChanged(sh)
	}
}

// Acquire takes one unit of the endpoint's share. It returns false if none is
// free.
func (s *Shares) Acquire(endpoint string) (Ticket, bool) {
	sh, ok := s.table[endpoint]
	if !ok || sh.free() <= 0 {
		return Ticket{}, false
	}
	sh.inFlight++
	s.markChanged(sh)
	return Ticket{Endpoint: endpoint, Incarnation: sh.incarnation.current}, true
}

// Release returns a unit. completed says whether a complete answer was received,
// which counts towards the warm-up.
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
	case t.Incarnation == sh.earlierIncarnation && sh.earlierInFlight > 0:
		sh.earlierInFlight--
	default:
		return
	}
	s.markChanged(sh)
}

// SetWaiting sets the number of requests that wait for a larger share of the endpoint.
// It does not block.
func (s *Shares) SetWaiting(endpoint string, waiting int) {
	sh, ok := s.table[endpoint]
	if !ok || sh.waiting == waiting {
		return
	}
	sh.waiting = waiting
	s.markChanged(sh)
}

// SetWaitingAtSource does the same as SetWaiting, also for an endpoint of which
// the node holds no share yet; sourceName is the ledger that grants it.
func (s *Shares) SetWaitingAtSource(sourceName, endpoint string, waiting int) {
	s.ensureShare(s.ensureSource(sourceName), endpoint)
	s.SetWaiting(endpoint, waiting)
}

// Free returns how many more requests the node may start at the endpoint.
func (s *Shares) Free(endpoint string) int {
	if sh, ok := s.table[endpoint]; ok {
		return max(0, sh.free())
	}
	return 0
}

// State describes a node's share of one endpoint.
type State struct {
	Incarnation string
	Limit       int
	InFlight    int
	// Scarce is set if the nodes together ask for more than the limit and this
	// node asks for more than an equal part.
	Scarce bool
}

// State returns the state of the node's share of the endpoint.
func (s *Shares) State(endpoint string) State {
	sh, ok := s.table[endpoint]
	if !ok {
		return State{}
	}
	return State{
		Incarnation: sh.incarnation.current,
		Limit:       sh.effectiveLimit(),
		InFlight:    sh.inFlight,
		Scarce:      sh.scarce,
	}
}

// Stop gives up all shares; later grants have no effect. Requests in flight stay
// counted until they are released.
func (s *Shares) Stop() {
	s.stopped = true
	for _, name := range s.sourceOrder {
		src := s.sources[name]
		src.stopped = true
		for _, sh := range src.shares {
			sh.limit, sh.cold, sh.waiting = 0, 0, 0
			s.markChanged(sh)
		}
	}
}

// Report returns the usage to send to a ledger: all shares from the source if
// full is set, otherwise only those with relevant changes since the last
// report. A usage that is not full and has no entries need not be sent.
func (s *Shares) Report(sourceName string, full bool) Usage {
	src := s.ensureSource(sourceName)
	src.sequence++
	u := Usage{
		Source: sourceName, Term: src.term, Nonce: src.nonce,
		Node: s.node, NodeIncarnation: s.incarnation,
		Sequence: src.sequence, Full: full, Stopping: src.stopped,
	}
	shares := src.changed
	if full {
		shares = src.shares
	}
	for _, sh := range shares {
		e := sh.entry()
		if full || e.needsReport(sh.reported) {
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

// advanceTerm adopts the term if it is later, and resets the nonce.
func (src *source) advanceTerm(term uint64) {
	if term > src.term {
		src.term = term
		src.nonce = 0
	}
}

func (s *Shares) ensureSource(name string) *source {
	src, ok := s.sources[name]
	if !ok {
		src = &source{stopped: s.stopped}
		s.sources[name] = src
		s.sourceOrder = append(s.sourceOrder, name)
	}
	return src
}

func (s *Shares) ensureShare(src *source, endpoint string) *share {
	sh, ok := s.table[endpoint]
	if !ok {
		sh = &share{endpoint: endpoint, source: src}
		s.table[endpoint] = sh
		src.shares = append(src.shares, sh)
	}
	return sh
}

// markChanged marks a share for the next report and notifies the watcher.
func (s *Shares) markChanged(sh *share) {
	if !sh.changed {
		sh.changed = true
		sh.source.changed = append(sh.source.changed, sh)
	}
	if s.watch != nil {
		s.watch(sh.endpoint)
	}
}

// observeIncarnation processes the incarnation named in a message. It reports
// whether this changed the share.
func (sh *share) observeIncarnation(now time.Time, name string) bool {
	before := sh.incarnation.current
	if sh.incarnation.observe(now, name) == nameNew {
		sh.restart(before)
		return true
	}
	if name != sh.incarnation.current {
		return false
	}
	changed := sh.suspected || sh.earlierIncarnation != "" && sh.incarnation.isSettled(now)
	sh.suspected = false
	if sh.incarnation.isSettled(now) {
		sh.earlierIncarnation, sh.earlierInFlight = "", 0
	}
	return changed
}

// restart resets the share for a newly started endpoint; before is the previous
// incarnation.
func (sh *share) restart(before string) {
	inFlight := 0
	if sh.earlierIncarnation == sh.incarnation.current {
		inFlight = sh.earlierInFlight
	}
	sh.earlierIncarnation, sh.earlierInFlight = before, sh.inFlight
	sh.inFlight = inFlight
	sh.limit = sh.cold
	sh.completed = 0
	sh.suspected = false
}

// effectiveLimit returns the limit in force.
func (sh *share) effectiveLimit() int {
	if sh.suspected {
		return min(sh.limit, sh.cold)
	}
	return sh.limit
}

func (sh *share) free() int { return sh.effectiveLimit() - sh.inFlight }

func (sh *share) entry() Entry {
	return Entry{
		Endpoint: sh.endpoint, Incarnation: sh.incarnation.current,
		Fence: sh.fence, Held: max(sh.limit, sh.inFlight), Cold: sh.cold,
		Earlier: sh.earlierInFlight,
		Demand:  sh.inFlight + sh.waiting, Completed: sh.completed,
	}
}
