// Package gossip spreads small values between entry VMs by pull-based
// anti-entropy. Each node publishes entries under a counter of its own; a
// pull names the counters already seen and gets only newer entries. A node
// counts as live while its counter is seen to advance.
//
// A pull covers one View. Within a data centre every node is exchanged; of
// other data centres only the nodes that publish global entries are. One node
// of each data centre, its representative, lists the live ones there.
package gossip

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Scope says how far an entry travels.
type Scope uint8

// Scopes of entries.
const (
	Local  Scope = iota // within the node's data centre
	Global              // to every data centre
)

// Entry is one published value.
type Entry struct {
	Key     string
	Value   []byte
	Scope   Scope
	Version uint64
}

// Node is what is known of one node.
type Node struct {
	VM          string
	DataCentre  string
	Address     string
	Incarnation string
	// Version is the newest value of the node's counter; it advances on
	// every tick of the node.
	Version       uint64
	Configuration uint64
	Stopping      bool
	Entries       []Entry // sorted by key
	// CounterOnly is set in a delta on a node of which nothing but the counter is
	// new. Its other fields may be left out but for VM and Incarnation.
	CounterOnly bool
	// moved is the version at which this node learned of the newest values of
	// Configuration and Stopping.
	moved uint64
}

// Entry returns the node's value of a key, or nil.
func (n *Node) Entry(key string) []byte {
	i, ok := findEntry(n.Entries, key)
	if !ok {
		return nil
	}
	return n.Entries[i].Value
}

// findEntry returns where a key is, or belongs, among sorted entries.
func findEntry(entries []Entry, key string) (at int, found bool) {
	return slices.BinarySearchFunc(entries, key, func(e Entry, k string) int { return strings.Compare(e.Key, k) })
}

// Options configures a Table.
type Options struct {
	VM          string
	DataCentre  string
	Address     string
	Incarnation string // differs from those of earlier processes of the VM
	Seed        uint64
	// Fanout is the number of nodes of the own data centre pulled from at
	// each tick. Remote is the number of nodes elsewhere.
	Fanout int
	Remote int
	// Expiry is how long a node of a small data centre stays live after its
	// counter was last seen to advance. It is stretched with the time between
	// pulls.
	Expiry time.Duration
	// EveryNode exchanges all nodes in every view at every tick. It exists
	// for comparison.
	EveryNode bool
}

// Table holds what this node knows of all nodes. It is not safe for
// concurrent use.
type Table struct {
	opts  Options
	rand  *rand.Rand
	self  *Node
	peers map[string]*peer
	names []string // sorted names of peers
	ticks uint64
	now   time.Time // of the last tick
	// every holds the number of ticks between two pulls of each view.
	every [views]int
}

type peer struct {
	node Node
	// heard is when the counter was last seen to advance.
	heard time.Time
	// past holds incarnations that a newer one has replaced, oldest first.
	past []string
}

// maxPast bounds the replaced incarnations remembered of a node.
const maxPast = 8

// New returns a table that knows only this node.
func New(o Options) *Table {
	return &Table{
		opts:  o,
		rand:  rand.New(rand.NewPCG(o.Seed, 0)),
		self:  &Node{VM: o.VM, DataCentre: o.DataCentre, Address: o.Address, Incarnation: o.Incarnation, Version: 1, moved: 1},
		peers: map[string]*peer{},
		every: [views]int{1, 1},
	}
}

// Seed adds a node that settings or the inventory name. It's not live until
// it has been heard of.
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

// Publish sets this node's value of a key. An unchanged value costs nothing.
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

// Withdraw replaces the value of a key with an empty one.
func (t *Table) Withdraw(key string) {
	if len(t.self.Entry(key)) > 0 {
		t.Publish(key, Global, []byte{})
	}
}

// all returns every node, this one included, by VM.
func (t *Table) all() []*Node {
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

// Merge takes in a delta that a node sent and returns the VMs of which
// something changed.
func (t *Table) Merge(now time.Time, from string, delta []Node) []string {
	var changed []string
	for _, n := range delta {
		if n.VM != t.opts.VM && t.merge(now, from, n) {
			changed = append(changed, n.VM)
		}
	}
	return changed
}

func (t *Table) merge(now time.Time, from string, n Node) bool {
	p, ok := t.peers[n.VM]
	if !ok {
		p = t.add(Node{VM: n.VM})
	}
	if n.Incarnation != p.node.Incarnation {
		if n.CounterOnly || n.DataCentre == "" {
			return false // abridged for a process that was replaced meanwhile
		}
		return t.replace(now, from, p, n)
	}
	old := p.node
	if n.Version <= old.Version {
		return false
	}
	n = abridged(n, old)
	moved := n.Stopping != old.Stopping || n.Configuration != old.Configuration
	changed := len(n.Entries) > 0 || moved
	n.moved = old.moved
	if moved {
		n.moved = n.Version
	}
	n.Entries = mergeEntries(old.Entries, n.Entries)
	p.node = n
	p.heard = now
	return changed
}

// replace takes in another incarnation of a node. The node itself is always
// believed. Others may lag behind, so that their word counts only while the
// known incarnation is silent, and never for one that was replaced.
func (t *Table) replace(now time.Time, from string, p *peer, n Node) bool {
	direct := from == n.VM
	if !direct && (t.heardOf(now, n.VM) || slices.Contains(p.past, n.Incarnation)) {
		return false
	}
	if p.node.Incarnation != "" {
		p.past = append(p.past, p.node.Incarnation)
		p.past = p.past[max(0, len(p.past)-maxPast):]
	}
	n.moved = n.Version
	p.node = n
	p.heard = now
	return true
}

// abridged fills in what a delta leaves out of a process known already.
func abridged(n, old Node) Node {
	n.DataCentre, n.Address = old.DataCentre, old.Address
	if n.CounterOnly {
		n.Configuration, n.Stopping, n.CounterOnly = old.Configuration, old.Stopping, false
	}
	return n
}

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

// Get returns what is known of a node.
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

// Names lists the other nodes by name.
func (t *Table) Names() []string { return t.names }

// Forget drops a node that neither settings nor the inventory name any more.
func (t *Table) Forget(vm string) {
	if _, ok := t.peers[vm]; !ok {
		return
	}
	delete(t.peers, vm)
	i, _ := slices.BinarySearch(t.names, vm)
	t.names = slices.Delete(t.names, i, i+1)
}

// Silence returns how long ago a node's counter was last seen to advance; 0
// for this node itself.
func (t *Table) Silence(now time.Time, vm string) time.Duration {
	p, ok := t.peers[vm]
	if !ok {
		return 0
	}
	return now.Sub(p.heard)
}
