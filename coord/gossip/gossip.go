// Package gossip spreads small values between entry VMs by pull-based
// anti-entropy. Each node versions its entries with its own counter. A pull
// sends the counters already seen and receives only newer entries. A node is
// considered live while its counter is seen to advance.
//
// A pull covers one View. The view of the own data centre has all of its nodes;
// the view of other data centres has only the nodes that publish global
// entries. One node of each data centre, its representative, publishes the list
// of live nodes there.
package gossip

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Scope is the range within which an entry is spread.
type Scope uint8

// Scopes.
const (
	Local  Scope = iota // the node's data centre
	Global              // all data centres
)

// Entry is a published key and its value. Version is the value of the node's
// counter when the entry was published.
type Entry struct {
	Key     string
	Value   []byte
	Scope   Scope
	Version uint64
}

// Node is the known state of a node.
type Node struct {
	VM          string
	DataCentre  string
	Address     string
	Incarnation string
	// Version is the newest known value of the node's counter, which advances
	// on every tick and every change of an entry.
	Version       uint64
	Configuration uint64
	Stopping      bool
	Entries       []Entry // sorted by key
	// CounterOnly is set in a delta if only the counter of the node has advanced.
	// The other fields except VM and Incarnation may then be omitted.
	CounterOnly bool
	// stateVersion is the version at which this node learned the newest values
	// of Configuration and Stopping.
	stateVersion uint64
}

// Entry returns the value of a key, or nil if the node has not published it.
func (n *Node) Entry(key string) []byte {
	i, ok := findEntry(n.Entries, key)
	if !ok {
		return nil
	}
	return n.Entries[i].Value
}

// findEntry returns the position of a key in sorted entries, or the position at
// which to insert it.
func findEntry(entries []Entry, key string) (position int, found bool) {
	return slices.BinarySearchFunc(entries, key, func(e Entry, k string) int { return strings.Compare(e.Key, k) })
}

// Options configures a Table.
type Options struct {
	VM          string
	DataCentre  string
	Address     string
	Incarnation string // unique among the processes of the VM
	Seed        uint64
	// Fanout is the number of nodes from which the view of the own data centre
	// is pulled per pull interval. Remote is the same for other data centres.
	Fanout int
	Remote int
	// Expiry is how long a node of a small data centre is considered live
	// after its counter was last seen to advance. It is multiplied by the
	// number of ticks between pulls, which grows with the number of nodes.
	Expiry time.Duration
	// EveryNode includes all nodes in every view and pulls at every tick. It
	// exists for comparison.
	EveryNode bool
}

// Table holds the state of all nodes as known to this node. It is not safe for
// concurrent use.
type Table struct {
	opts  Options
	rand  *rand.Rand
	self  *Node
	peers map[string]*peer
	names []string // sorted names of peers
	ticks uint64
	now   time.Time // time of the last tick
	// pullInterval holds the number of ticks between two pulls of each view.
	pullInterval [views]int
}

type peer struct {
	node Node
	// advancedAt is when the counter was last seen to advance.
	advancedAt time.Time
	// replaced holds the incarnations that were replaced by others, oldest
	// first.
	replaced []string
}

// maxReplaced is the largest number of replaced incarnations kept for a node.
const maxReplaced = 8

// New returns a table that contains only this node.
func New(o Options) *Table {
	return &Table{
		opts:         o,
		rand:         rand.New(rand.NewPCG(o.Seed, 0)),
		self:         &Node{VM: o.VM, DataCentre: o.DataCentre, Address: o.Address, Incarnation: o.Incarnation, Version: 1, stateVersion: 1},
		peers:        map[string]*peer{},
		pullInterval: [views]int{1, 1},
	}
}

// Seed adds a node named by the settings or the inventory, or updates its
// address. The node is not live until its counter has been seen.
func (t *Table) Seed(vm, dataCentre, address string) {
	if vm == t.opts.VM {
		return
	}
	if p, ok := t.peers[vm]; ok {
		p.node.Address = address
		return
	}
	t.add(Node{VM: vm, DataCentre: dataCentre, Address: address})
}

func (t *Table) add(n Node) *peer {
	p := &peer{node: n}
	t.peers[n.VM] = p
	i, _ := slices.BinarySearch(t.names, n.VM)
	t.names = slices.Insert(t.names, i, n.VM)
	return p
}

// Publish sets this node's value of a key. An unchanged value is not spread
// again.
func (t *Table) Publish(key string, scope Scope, value []byte) {
	i, ok := findEntry(t.self.Entries, key)
	if ok && t.self.Entries[i].Scope == scope && slices.Equal(t.self.Entries[i].Value, value) {
		return
	}
	t.self.Version++
	e := Entry{Key: key, Value: value, Scope: scope, Version: t.self.Version}
	if ok {
		t.self.Entries[i] = e
		return
	}
	t.self.Entries = slices.Insert(t.self.Entries, i, e)
}

// Withdraw replaces a published value with an empty one of global scope.
func (t *Table) Withdraw(key string) {
	if len(t.self.Entry(key)) > 0 {
		t.Publish(key, Global, []byte{})
	}
}

// allNodes returns every node including this one, sorted by VM.
func (t *Table) allNodes() []*Node {
	nodes := make([]*Node, 0, len(t.names)+1)
	i, _ := slices.BinarySearch(t.names, t.self.VM)
	for _, vm := range t.names[:i] {
		nodes = append(nodes, &t.peers[vm].node)
	}
	nodes = append(nodes, t.self)
	for _, vm := range t.names[i:] {
		nodes = append(nodes, &t.peers[vm].node)
	}
	return nodes
}

// Merge applies a delta that a node sent and returns the VMs whose incarnation,
// entries or state changed.
func (t *Table) Merge(now time.Time, from string, delta []Node) []string {
	var changed []string
	for _, n := range delta {
		if n.VM != t.opts.VM && t.merge(now, from, n) {
			changed = append(changed, n.VM)
		}
	}
	return changed
}

// merge applies the delta of one node and reports whether its incarnation, entries
// or state changed.
func (t *Table) merge(now time.Time, from string, n Node) bool {
	p, ok := t.peers[n.VM]
	if !ok {
		p = t.add(Node{VM: n.VM})
	}
	if n.Incarnation != p.node.Incarnation {
		if n.CounterOnly || n.DataCentre == "" {
			return false // abbreviated for an incarnation that was replaced meanwhile
		}
		return t.replace(now, from, p, n)
	}
	old := p.node
	if n.Version <= old.Version {
		return false
	}
	n = restoreOmitted(n, old)
	stateChanged := n.Stopping != old.Stopping || n.Configuration != old.Configuration
	changed := len(n.Entries) > 0 || stateChanged
	n.stateVersion = old.stateVersion
	if stateChanged {
		n.stateVersion = n.Version
	}
	n.Entries = mergeEntries(old.Entries, n.Entries)
	p.node = n
	p.advancedAt = now
	return changed
}

// replace applies another incarnation of a node, and reports whether it did. An
// incarnation reported by the node itself is always accepted. Other nodes may be
// out of date, so what they report is accepted only if the counter of the known
// incarnation no longer advances, and never for an incarnation that was replaced.
func (t *Table) replace(now time.Time, from string, p *peer, n Node) bool {
	direct := from == n.VM
	if !direct && (t.isAdvancing(now, n.VM) || slices.Contains(p.replaced, n.Incarnation)) {
		return false
	}
	if p.node.Incarnation != "" {
		p.replaced = append(p.replaced, p.node.Incarnation)
		p.replaced = p.replaced[max(0, len(p.replaced)-maxReplaced):]
	}
	n.stateVersion = n.Version
	p.node = n
	p.advancedAt = now
	return true
}

// restoreOmitted fills in the fields that a delta omits for a known process.
func restoreOmitted(n, old Node) Node {
	n.DataCentre, n.Address = old.DataCentre, old.Address
	if n.CounterOnly {
		n.Configuration, n.Stopping, n.CounterOnly = old.Configuration, old.Stopping, false
	}
	return n
}

// mergeEntries returns a copy of the old entries with newer ones added or
// replaced.
func mergeEntries(old, newer []Entry) []Entry {
	merged := slices.Clone(old)
	for _, e := range newer {
		i, ok := findEntry(merged, e.Key)
		if !ok {
			merged = slices.Insert(merged, i, e)
		} else if e.Version > merged[i].Version {
			merged[i] = e
		}
	}
	return merged
}

// Get returns the known state of a node, and false if the node is unknown.
func (t *Table) Get(vm string) (Node, bool) {
	if vm == t.opts.VM {
		return *t.self, true
	}
	p, ok := t.peers[vm]
	if !ok {
		return Node{}, false
	}
	return p.node, true
}

// Names returns the sorted VM names of the other nodes.
func (t *Table) Names() []string { return t.names }

// Forget removes a node that is no longer named by the settings or the inventory.
func (t *Table) Forget(vm string) {
	if _, ok := t.peers[vm]; !ok {
		return
	}
	delete(t.peers, vm)
	i, _ := slices.BinarySearch(t.names, vm)
	t.names = slices.Delete(t.names, i, i+1)
}

// Silence returns the time since a node's counter was last seen to advance. It
// is 0 for this node, and the longest duration for nodes that are unknown or were
// never heard.
func (t *Table) Silence(now time.Time, vm string) time.Duration {
	if vm == t.opts.VM {
		return 0
	}
	p, ok := t.peers[vm]
	if !ok || p.advancedAt.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(p.advancedAt)
}
