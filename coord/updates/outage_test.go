package updates

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// outageSim runs the decisions of many nodes against a store that can be down. It
// carries them out as internal/relay, internal/entry and internal/watch do.
type outageSim struct {
	rng      *rand.Rand
	now      time.Time
	storeUp  bool
	nodes    []*simNode
	byVM     map[string]*simNode
	calls    []simCall
	unspread bool // no node knows the number of nodes
}

type simCall struct {
	at     time.Time
	list   List
	failed bool
	vm     string
}

type simNode struct {
	Node
	sources  *Sources
	schedule *Schedule
	asOf     [lists]time.Time // of the node's data
	// readAt and failedAt are of VMs. answeredAt, freshAt and peerAt are when a peer
	// answered at all, with fresh data, and with data that were used.
	readAt, failedAt, answeredAt, freshAt, peerAt time.Time
	relays                                        bool
	nextRead                                      [lists]time.Time
	nextPoll                                      time.Time
	round                                         *Round
	old                                           *simNode
	oldAsOf                                       [lists]time.Time
	dead, cutFromStore, cutFromPeers              bool
}

const (
	simStep       = 10 * time.Millisecond
	simPoll       = 200 * time.Millisecond
	simTimeout    = 250 * time.Millisecond
	simAnswerTTL  = 700 * time.Millisecond
	simMaxAge     = time.Second
	simReadWait   = 350 * time.Millisecond
	simStaleRead  = 800 * time.Millisecond
	simOwnReadTTL = 1500 * time.Millisecond
)

var simPauses = Pauses{Reader: 350 * time.Millisecond, Follower: 1200 * time.Millisecond, Quarantine: 2 * time.Second}

// newOutageSim returns nodes in eight data centres, or fewer if there are few nodes,
// after 15 s of normal operation.
func newOutageSim(n int, seed uint64) *outageSim {
	s := &outageSim{rng: rand.New(rand.NewPCG(seed, 7)), now: start, storeUp: true, byVM: map[string]*simNode{}}
	places := min(8, max(1, n/3))
	var list []Node
	for i := range n {
		dc := fmt.Sprintf("dc%02d", i%places)
		list = append(list, Node{VM: fmt.Sprintf("%s-e%03d", dc, i/places), DataCentre: dc, Address: "10.0.0.1:1"})
	}
	for _, l := range list {
		node := &simNode{Node: l, sources: NewSources(l.VM, l.DataCentre), schedule: NewSchedule(simPauses, s.rng.Float64)}
		node.sources.Set(list)
		node.nextPoll = s.now.Add(time.Duration(s.rng.Int64N(int64(simPoll))))
		s.nodes = append(s.nodes, node)
		s.byVM[l.VM] = node
	}
	s.run(15 * time.Second)
	s.calls = nil
	return s
}

func (s *outageSim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		for _, n := range s.nodes {
			if n.dead {
				continue
			}
			if !s.now.Before(n.nextPoll) {
				s.poll(n)
			}
			for l := range lists {
				if !s.now.Before(n.nextRead[l]) {
					s.read(n, l)
				}
			}
		}
	}
}

func within(at, now time.Time, d time.Duration) bool { return !at.IsZero() && now.Sub(at) < d }

func (s *outageSim) spread(n *simNode) Spread {
	if s.unspread {
		return Spread{}
	}
	return n.sources.Spread(within(n.answeredAt, s.now, simAnswerTTL), within(n.freshAt, s.now, simAnswerTTL))
}

func (s *outageSim) isUnreachable(n *simNode) bool {
	return !n.failedAt.IsZero() && s.now.Sub(n.readAt) > simStaleRead
}

func (s *outageSim) hasPeerUpdates(n *simNode) bool {
	if !n.failedAt.IsZero() && s.now.Sub(n.failedAt) >= 2*time.Second {
		return false
	}
	return within(n.peerAt, s.now, simAnswerTTL)
}

// isFresh reports whether the answer of a node can replace own reads.
func (s *outageSim) isFresh(n *simNode, anyAge bool) bool {
	borrowed := s.isUnreachable(n) && within(n.peerAt, s.now, simAnswerTTL) && !n.relays
	age := max(s.now.Sub(n.asOf[ListOperators]), s.now.Sub(n.asOf[ListVMs]))
	return !borrowed && (anyAge || age <= simMaxAge)
}

func (s *outageSim) isReachable(from, to *simNode) bool {
	return !to.dead && !from.cutFromPeers && !to.cutFromPeers && !to.asOf[ListVMs].IsZero()
}

// poll asks peers for updates. A request to a node that doesn't answer takes
// simTimeout, after which the round goes on.
func (s *outageSim) poll(n *simNode) {
	down := s.isUnreachable(n)
	spreads := s.spread(n).IsLarge() && !(n.failedAt.IsZero() && within(n.readAt, s.now, simOwnReadTTL))
	if n.round == nil {
		n.round, n.old = n.sources.NewRound(s.now, down), nil
	}
	for {
		next, ok := n.round.Next()
		if !ok {
			break
		}
		peer := s.byVM[next.VM]
		if !s.isReachable(n, peer) {
			n.sources.Failed(s.now, next.VM)
			n.nextPoll = s.now.Add(simTimeout)
			return
		}
		n.answeredAt = s.now
		if s.isFresh(peer, down && !spreads) {
			s.apply(n, peer, peer.asOf)
			return
		}
		if !spreads {
			n.sources.Failed(s.now, next.VM)
			continue
		}
		n.round.RecordOld()
		if n.old == nil {
			n.old, n.oldAsOf = peer, peer.asOf
		}
	}
	if n.old != nil {
		s.apply(n, n.old, n.oldAsOf)
		return
	}
	n.round, n.nextPoll, n.peerAt = nil, s.now.Add(simPoll), time.Time{}
}

func (s *outageSim) apply(n, peer *simNode, asOf [lists]time.Time) {
	fresh := s.isFresh(peer, false)
	for _, l := range []List{ListOperators, ListVMs} {
		if asOf[l].After(n.asOf[l]) {
			n.asOf[l] = asOf[l]
		}
	}
	n.relays = s.spread(n).IsLarge() && n.sources.Precedes(peer.Node)
	n.peerAt = s.now
	if fresh {
		n.freshAt = s.now
	}
	n.sources.Answered(peer.VM)
	n.round, n.nextPoll = nil, s.now.Add(simPoll)
}

// read reads a list if the schedule says so.
func (s *outageSim) read(n *simNode, l List) {
	spread := s.spread(n)
	if wait := n.schedule.Until(s.now, l, spread, s.hasPeerUpdates(n)); wait > 0 {
		n.nextRead[l] = s.now.Add(min(wait, CheckInterval))
		return
	}
	failed := !s.storeUp || n.cutFromStore
	s.calls = append(s.calls, simCall{s.now, l, failed, n.VM})
	n.schedule.Record(s.now, l, failed)
	isReader := n.sources.IsReader()
	switch {
	case failed && l == ListVMs:
		n.failedAt = s.now
	case !failed && l == ListVMs:
		n.readAt, n.failedAt = s.now, time.Time{}
	}
	switch {
	case failed && spread.IsActive():
	case failed && l == ListQuarantine:
		n.nextRead[l] = s.now.Add(simPauses.Quarantine)
	case failed && isReader:
		n.nextRead[l] = s.now.Add(simPauses.Reader)
	case failed:
		n.nextRead[l] = s.now.Add(simPauses.Follower)
	case l == ListQuarantine:
		n.nextRead[l] = s.now.Add(10 * time.Second)
	case isReader:
		n.asOf[l], n.nextRead[l] = s.now, s.now.Add(simReadWait)
	default:
		n.asOf[l], n.nextRead[l] = s.now, s.now.Add(2*simReadWait)
	}
}

// count returns the calls from a time on for d, and the most in one second.
func (s *outageSim) count(from time.Time, d time.Duration) (total, most int) {
	for i, c := range s.calls {
		if c.at.Before(from) || !c.at.Before(from.Add(d)) {
			continue
		}
		total++
		second := 0
		for _, o := range s.calls[i:] {
			if o.at.Sub(c.at) < time.Second && o.at.Before(from.Add(d)) {
				second++
			}
		}
		most = max(most, second)
	}
	return total, most
}

// since returns how long after t all live nodes with peers have data as of t or later.
func (s *outageSim) knownAfter(t time.Time, limit time.Duration) (time.Duration, bool) {
	for end := s.now.Add(limit); s.now.Before(end); s.run(simStep) {
		known := true
		for _, n := range s.nodes {
			known = known && (n.dead || n.cutFromPeers || !n.asOf[ListOperators].Before(t) && !n.asOf[ListVMs].Before(t))
		}
		if known {
			return s.now.Sub(t), true
		}
	}
	return 0, false
}

func TestTrialOutage(t *testing.T) {
	for _, n := range []int{13, 30, 94, 300} {
		for seed := range uint64(5) {
			s := newOutageSim(n, seed)
			from := s.now
			s.run(3 * time.Second)
			normal, _ := s.count(from, 3*time.Second)
			s.storeUp = false
			from = s.now
			s.run(10*time.Second + time.Duration(seed)*110*time.Millisecond)
			total, most := s.count(from, 10*time.Second)
			first, _ := s.count(from, 3*time.Second)
			s.storeUp = true
			back := s.now
			known, ok := s.knownAfter(back, 5*time.Second)
			var firstOK time.Time
			for _, c := range s.calls {
				if firstOK.IsZero() && !c.failed && !c.at.Before(back) {
					firstOK = c.at
				}
			}
			s.run(5 * time.Second)
			after, mostAfter := s.count(back, 5*time.Second)
			t.Logf("n=%d seed %d: normal 3s %d; outage %d most %d (first 3 s %d); detected %v known %v %v; after 5 s %d most %d", n, seed, normal, total, most, first, firstOK.Sub(back), back.Add(known).Sub(firstOK), ok, after, mostAfter)
		}
	}
	assert.Assert(t, true)
}
