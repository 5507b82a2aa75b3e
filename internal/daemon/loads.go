package daemon

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/pimentoshore/pimentoshore/internal/peers/peerspb"
)

// loadStep is the part of a limit by which the requests in flight must change
// to be spread again.
const loadStep = 8

// load is what a node or a data centre holds of one target.
type load struct {
	Limit    int
	InFlight int
	// Node is the entry VM to which other data centres send requests.
	Node string
}

// loads holds the load of each target by name.
type loads map[string]load

// encode returns the loads as peerspb.Loads, sorted by target. A set without
// targets differs from a withdrawn entry.
func (l loads) encode() []byte {
	m := &peerspb.Loads{}
	for _, target := range slices.Sorted(maps.Keys(l)) {
		m.Loads = append(m.Loads, &peerspb.Load{
			Target: target, Limit: uint32(l[target].Limit), InFlight: uint32(l[target].InFlight), Node: l[target].Node,
		})
	}
	if len(m.Loads) == 0 {
		m.Loads = append(m.Loads, &peerspb.Load{})
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		return nil
	}
	return raw
}

// decodeLoads returns nil for what does not hold loads, such as a withdrawn
// entry.
func decodeLoads(raw []byte) loads {
	var m peerspb.Loads
	if len(raw) == 0 || proto.Unmarshal(raw, &m) != nil {
		return nil
	}
	l := make(loads, len(m.Loads))
	for _, t := range m.Loads {
		if t.Target != "" {
			l[t.Target] = load{Limit: int(t.Limit), InFlight: int(t.InFlight), Node: t.Node}
		}
	}
	return l
}

// differ reports whether other loads are different enough to be spread.
func (l loads) differ(other loads) bool {
	if len(l) != len(other) {
		return true
	}
	for target, a := range l {
		b, ok := other[target]
		step := max(1, a.Limit/loadStep)
		if !ok || a.Limit != b.Limit || max(a.InFlight-b.InFlight, b.InFlight-a.InFlight) >= step {
			return true
		}
	}
	return false
}
