package updates

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// initialBackoff is how long a node is not asked after a failure; each
	// further failure in a row doubles it, up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Node is an entry VM that can be asked for updates.
type Node struct {
	VM         string
	DataCentre string
	Address    string // IP address and port
}

// Sources selects the node to ask before this node reads from the platform
// itself. Nodes are ordered by data centre and name. Each node asks the
// preceding nodes of its own data centre, and then the first ones of the
// preceding data centres. So the first live node is the reader, which reads from
// the platform for all, one node in each other data centre relays the updates,
// and requests never form a cycle. A node that gets no answer from the platform may ask any other node;
// other nodes don't rely on it meanwhile, unless it got its data from a preceding
// node and there are so many nodes that reads are spread out (see Spread).
type Sources struct {
	self       Node
	preceding  []Node // ordered before this one, asked in this order
	fallbacks  []Node // asked only while the platform is unreachable
	failures   map[string]failure
	listed     []Node
	size       size            // of listed
	requesters map[string]Node // nodes that have asked this one, by VM
	// rounds is the number of rounds in which a third node was asked.
	rounds int
	// fresh is the VM of the node that last answered with fresh data, or empty if its
	// data were old since.
	fresh string
}

type failure struct {
	consecutive int
	until       time.Time
}

// NewSources returns the sources of a node, without any other node yet.
func NewSources(vm, dataCentre string) *Sources {
	return &Sources{self: Node{VM: vm, DataCentre: dataCentre}, failures: make(map[string]failure), requesters: make(map[string]Node)}
}

// Set replaces the list of nodes from the platform.
func (s *Sources) Set(nodes []Node) {
	s.listed = slices.Clone(nodes)
	s.size = s.measure()
	s.rank()
}

// AddRequester adds a node that has asked this one. Until the platform answers,
// it may be the only other known node.
func (s *Sources) AddRequester(n Node) {
	if s.requesters[n.VM] == n || len(s.requesters) >= maxRequesters {
		return
	}
	s.requesters[n.VM] = n
	s.rank()
}

// maxRequesters bounds the number of requesters that are kept.
const maxRequesters = 64

// rank rebuilds the ordered lists of preceding nodes and fallbacks.
func (s *Sources) rank() {
	sorted := slices.Clone(s.listed)
	for _, n := range s.requesters {
		if !slices.ContainsFunc(s.listed, func(l Node) bool { return l.VM == n.VM }) {
			sorted = append(sorted, n)
		}
	}
	slices.SortFunc(sorted, func(a, b Node) int {
		return cmp.Or(strings.Compare(a.DataCentre, b.DataCentre), strings.Compare(a.VM, b.VM))
	})
	var local, remote []Node
	s.fallbacks = nil
	inDataCentre := make(map[string]int)
	for _, n := range sorted {
		if n.Address == "" || n.VM == s.self.VM {
			continue
		}
		inDataCentre[n.DataCentre]++
		rank := inDataCentre[n.DataCentre]
		switch {
		case n.DataCentre == s.self.DataCentre && n.VM < s.self.VM:
			local = append(local, n)
		case n.DataCentre < s.self.DataCentre && rank <= remotePerDataCentre:
			remote = append(remote, n)
		case rank <= fallbacksPerDataCentre:
			s.fallbacks = append(s.fallbacks, n)
		}
	}
	s.preceding = slices.Concat(local, remote)
}

// remotePerDataCentre is the number of nodes that a node may ask in each
// preceding data centre. The second one is asked if the first is gone.
const remotePerDataCentre = 2

// fallbacksPerDataCentre is the number of nodes in each data centre that may be
// asked while the platform is unreachable.
const fallbacksPerDataCentre = 2

// IsReader reports whether this node is the reader, which reads from the
// platform for others: no responding node precedes it. A node whose last request failed counts as not
// responding, since nodes that are gone for good may stay listed.
func (s *Sources) IsReader() bool {
	for _, n := range s.preceding {
		if s.failures[n.VM].consecutive == 0 {
			return false
		}
	}
	return true
}

// Next returns the node to ask instead of the platform. platformUnreachable
// says that the platform does not answer this node; then the fallbacks are
// candidates too. ok is false if there is no candidate.
func (s *Sources) Next(now time.Time, platformUnreachable bool) (n Node, ok bool) {
	if candidates := s.Candidates(now, platformUnreachable); len(candidates) > 0 {
		return candidates[0], true
	}
	return Node{}, false
}

// Answered records that a node gave a usable answer.
func (s *Sources) Answered(vm string) { delete(s.failures, vm) }

// Failed records that a node gave no answer or no usable one.
func (s *Sources) Failed(now time.Time, vm string) {
	if s.fresh == vm {
		s.fresh = ""
	}
	f := s.failures[vm]
	backoff := min(initialBackoff<<min(f.consecutive, 4), maxBackoff)
	s.failures[vm] = failure{consecutive: f.consecutive + 1, until: now.Add(backoff)}
}
