package daemon

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/pimentoshore/pimentoshore/internal/peers/peerspb"
)

// loadChangeDivisor sets the change of the requests in flight after which a
// load is published again, as a fraction of the limit: 8 means one eighth.
const loadChangeDivisor = 8

// load is the limit and the requests in flight of a node or a data centre for
// one target.
type load struct {
	Limit    int
	InFlight int
	// Node is the entry VM to which other data centres send requests.
	Node string
}

// loads maps the names of targets to their loads.
type loads map[string]load

// encode returns the loads as peerspb.Loads, sorted by target. Loads without
// targets are encoded differently from a withdrawn entry, which is empty.
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

// decodeLoads decodes loads. It returns nil if raw does not contain loads, as
// in a withdrawn entry.
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

// differsFrom reports whether the loads differ from others by enough to be
// published again.
func (l loads) differsFrom(other loads) bool {
	if len(l) != len(other) {
		return true
	}
	for target, a := range l {
		b, ok := other[target]
		step := max(1, a.Limit/loadChangeDivisor)
		if !ok || a.Limit != b.Limit || max(a.InFlight-b.InFlight, b.InFlight-a.InFlight) >= step {
			return true
		}
	}
	return false
}
