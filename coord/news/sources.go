package news

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// failedPause is how long a node that did not answer is not asked again;
	// it doubles up to failedMost.
	failedPause = 500 * time.Millisecond
	failedMost  = 2 * time.Second
)

// Node is an entry VM that may be asked.
type Node struct {
	VM         string
	DataCentre string
	Address    string // IP address and port
}

// Sources decides whom a node asks before it reads from the platform itself.
// Nodes are ranked by data centre and name. Each asks those of its own data
// centre before it, and then the first ones of the data centres before its
// own: so the first that lives reads, one more in each data centre carries the
// news, and nobody asks in a circle. Nodes that the platform does not answer
// ask any others; nobody relies on them meanwhile.
type Sources struct {
	self     Node
	before   []Node
	others   []Node // asked only while the platform can't be read
	failures map[string]failure
	listed   []Node
	met      map[string]Node // those that have asked this node, by VM
}

type failure struct {
	inRow int
	until time.Time
}

// NewSources returns the sources of a node that knows no other yet.
func NewSources(vm, dataCentre string) *Sources {
	return &Sources{self: Node{VM: vm, DataCentre: dataCentre}, failures: make(map[string]failure), met: make(map[string]Node)}
}

// Set replaces the nodes that the platform lists.
func (s *Sources) Set(nodes []Node) {
	s.listed = slices.Clone(nodes)
	s.rank()
}

// AddRequester takes in a node that has asked this one: it may be the only other one
// that is known if the platform has not answered since.
func (s *Sources) AddRequester(n Node) {
	if s.met[n.VM] == n || len(s.met) >= metMost {
		return
	}
	s.met[n.VM] = n
	s.rank()
}

// metMost bounds the nodes that are kept beside the listed ones.
const metMost = 64

// rank sorts the nodes by whether and when they are asked.
func (s *Sources) rank() {
	sorted := slices.Clone(s.listed)
	for _, n := range s.met {
		if !slices.ContainsFunc(s.listed, func(l Node) bool { return l.VM == n.VM }) {
			sorted = append(sorted, n)
		}
	}
	slices.SortFunc(sorted, func(a, b Node) int {
		return cmp.Or(strings.Compare(a.DataCentre, b.DataCentre), strings.Compare(a.VM, b.VM))
	})
	var home, away []Node
	s.others = nil
	inDataCentre := make(map[string]int)
	for _, n := range sorted {
		if n.Address == "" || n.VM == s.self.VM {
			continue
		}
		inDataCentre[n.DataCentre]++
		rank := inDataCentre[n.DataCentre]
		switch {
		case n.DataCentre == s.self.DataCentre && n.VM < s.self.VM:
			home = append(home, n)
		case n.DataCentre < s.self.DataCentre && rank <= awayAsked:
			away = append(away, n)
		case rank <= othersAsked:
			s.others = append(s.others, n)
		}
	}
	s.before = slices.Concat(home, away)
}

// awayAsked is how many nodes of each data centre before its own a node asks,
// the second one where the first has gone.
const awayAsked = 2

// othersAsked is how many nodes of each data centre are asked while the
// platform can't be read.
const othersAsked = 2

// IsReader reports whether no node that answers goes before this one, so that it
// reads for others. Nodes that have gone for good may stay listed.
func (s *Sources) IsReader() bool {
	for _, n := range s.before {
		if s.failures[n.VM].inRow == 0 {
			return false
		}
	}
	return true
}

// Next returns the node to ask instead of the platform. unreadable says that
// the platform does not answer this node: then nodes of other data centres are
// asked, too. ok is false if nobody is left.
func (s *Sources) Next(now time.Time, unreadable bool) (n Node, ok bool) {
	candidates := s.before
	if unreadable {
		candidates = slices.Concat(s.before, s.others)
	}
	for _, n := range candidates {
		if !now.Before(s.failures[n.VM].until) {
			return n, true
		}
	}
	return Node{}, false
}

// Answered notes that a node knows enough.
func (s *Sources) Answered(vm string) { delete(s.failures, vm) }

// Failed notes that a node did not answer, or knows too little.
func (s *Sources) Failed(now time.Time, vm string) {
	f := s.failures[vm]
	pause := min(failedPause<<min(f.inRow, 4), failedMost)
	s.failures[vm] = failure{inRow: f.inRow + 1, until: now.Add(pause)}
}
