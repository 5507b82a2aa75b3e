package updates

import (
	"slices"
	"time"
)

// Role is a node's part in finding out whether the platform can be read again.
type Role int

// Roles, from the node that reads most often to those that read least.
const (
	// RoleReader is the node before which no other one responds.
	RoleReader Role = iota
	// RoleNext is the node that becomes the reader if the present one is lost.
	RoleNext
	// RoleFirst is the first responding node of its data centre.
	RoleFirst
	// RoleOther is any other node.
	RoleOther
)

// String returns the role's name in log lines.
func (r Role) String() string { return [...]string{"reader", "next", "first", "other"}[r] }

// Spread is what a node's pauses between reads depend on while its peers have no
// fresh data of the platform. The zero value stands for a node that knows no others.
type Spread struct {
	// Nodes is the number of entry VMs, including this one, and DataCentres the
	// number of their data centres. Both are zero before the list is known.
	Nodes, DataCentres int
	Role               Role
	// Slot is the node's place among those of its role, in [0, 1). It keeps their
	// first reads in an outage apart. SlotWidth is the distance to the next one.
	Slot, SlotWidth float64
	// Answering is whether another node has answered lately, with data of any age,
	// and Fresh whether one has answered with fresh data.
	Answering, Fresh bool
}

const (
	// unspreadNodes is the number of nodes up to which each one reads by itself in
	// an outage.
	unspreadNodes = 12
	// nextPause is the pause of RoleNext. With the reader's own pause of 350 ms, the
	// return of the platform is noticed within 350 ms on average if either is lost.
	nextPause = 700 * time.Millisecond
	// firstReadsPerSecond and otherReadsPerSecond are the reads of all nodes of
	// RoleFirst and RoleOther together. The reader adds 4.0 reads a second and the
	// next one 1.4, so that 9.4 of the 20 allowed are used on average. The rest is for
	// peaks, and for a second reader and next one where nodes disagree about who responds.
	firstReadsPerSecond = 2
	otherReadsPerSecond = 2
)

// IsLarge reports whether there are so many nodes that they don't each read by
// themselves in an outage.
func (s Spread) IsLarge() bool { return s.Nodes > unspreadNodes }

// IsActive reports whether reads are spread out when fresh data are missing. A node
// that no other node answers reads on its own schedule.
func (s Spread) IsActive() bool { return s.IsLarge() && s.Answering }

// Pause returns the mean pause between this node's reads while they fail, or base
// if that is longer.
func (s Spread) Pause(base time.Duration) time.Duration {
	switch s.Role {
	case RoleNext:
		return nextPause
	case RoleFirst:
		return max(base, time.Second*time.Duration(s.DataCentres)/firstReadsPerSecond)
	case RoleOther:
		return max(base, time.Second*time.Duration(s.Nodes)/otherReadsPerSecond)
	}
	return base
}

// FirstPause returns the pause before the first read of a node whose peers no longer
// have fresh data, for a random number in [0, 1). The next reader reads at once, in
// case only the reader has lost the platform.
func (s Spread) FirstPause(base time.Duration, random float64) time.Duration {
	if s.Role == RoleReader || s.Role == RoleNext {
		return 0
	}
	return time.Duration(float64(s.Pause(base)) * (s.Slot + s.SlotWidth*random))
}

// Jitter returns a pause around a mean for a random number in [0, 1).
func Jitter(mean time.Duration, random float64) time.Duration {
	return time.Duration(float64(mean) * (1 - jitterShare/2 + jitterShare*random))
}

// jitterShare is the width of the range of jittered pauses, as a part of their mean.
const jitterShare = 0.5

// Spread returns the node's situation; answering and fresh are as in Spread.
func (s *Sources) Spread(answering, fresh bool) Spread {
	out := Spread{Nodes: s.size.nodes, DataCentres: s.size.dataCentres, Role: s.role(), Answering: answering, Fresh: fresh}
	before, of := s.size.nodesBefore, out.Nodes
	switch out.Role {
	case RoleFirst:
		before, of = s.size.dataCentresBefore, out.DataCentres
	case RoleOther:
		before = max(0, before-2) // the reader and the next one have no slots
	}
	if of > 0 {
		out.Slot, out.SlotWidth = float64(before)/float64(of), 1/float64(of)
	}
	return out
}

// size is the number of nodes and data centres, including this node's, and of those
// ordered before. It is zero while no nodes are listed.
type size struct {
	nodes, dataCentres, nodesBefore, dataCentresBefore int
}

// measure returns the size of the list of nodes.
func (s *Sources) measure() size {
	if len(s.listed) == 0 {
		return size{}
	}
	out := size{nodes: 1, dataCentres: 1}
	seen := map[string]bool{s.self.DataCentre: true}
	for _, n := range s.listed {
		if n.VM == s.self.VM {
			continue
		}
		out.nodes++
		if n.DataCentre < s.self.DataCentre || n.DataCentre == s.self.DataCentre && n.VM < s.self.VM {
			out.nodesBefore++
		}
		if seen[n.DataCentre] {
			continue
		}
		seen[n.DataCentre] = true
		out.dataCentres++
		if n.DataCentre < s.self.DataCentre {
			out.dataCentresBefore++
		}
	}
	return out
}

// role returns the node's role, by which nodes before it respond.
func (s *Sources) role() Role {
	responding, local := 0, 0
	for _, n := range s.preceding {
		if s.failures[n.VM].consecutive > 0 {
			continue
		}
		responding++
		if n.DataCentre == s.self.DataCentre {
			local++
		}
	}
	switch {
	case responding == 0:
		return RoleReader
	case responding == 1:
		return RoleNext
	case local == 0:
		return RoleFirst
	}
	return RoleOther
}

// Candidates returns the nodes that may be asked now, in order. They are those that
// Next would return if each one failed in turn.
func (s *Sources) Candidates(now time.Time, platformUnreachable bool) []Node {
	candidates := s.preceding
	if platformUnreachable {
		candidates = slices.Concat(s.preceding, s.fallbacks)
	}
	var out []Node
	for _, n := range candidates {
		if !now.Before(s.failures[n.VM].until) {
			out = append(out, n)
		}
	}
	return out
}

// Precedes reports whether this node may ask n at any time. Answers of such nodes
// can be passed on, because requests to them never form a cycle.
func (s *Sources) Precedes(n Node) bool {
	return slices.ContainsFunc(s.preceding, func(p Node) bool { return p.VM == n.VM })
}
