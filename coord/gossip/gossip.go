// Package gossip spreads small values between entry VMs by pull-based
// anti-entropy. Each node publishes entries under a counter of its own; a
// pull names the counters already seen and gets only newer entries. A node
// counts as live while its counter is seen to advance.
package gossip

import (
	"math/rand/v2"
	"slices"
	"sort"
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
}

// Entry returns the node's value of a key, or nil.
func (n *Node) Entry(key string) []byte {
	i, ok := slices.BinarySearchFunc(n.Entries, key, func(e Entry, k string) int {
		return compareStrings(e.Key, k)
	})
	if !ok {
		return nil
	}
	return n.Entries[i].Value
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
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
	// Expiry is how long a node stays live after its counter was last seen
	// to advance.
	Expiry time.Duration
}

// Table holds what this node knows of all nodes. It is not safe for
// concurrent use.
type Table struct {
	opts  Options
	rand  *rand.Rand
	self  *Node
	peers map[string]*peer
	names []string // sorted names of peers
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

// Seen is the newest counter known of a node's process.
type Seen struct {
	Incarnation string
	Version     uint64
}

// New returns a table that knows only this node.
func New(o Options) *Table {
	return &Table{
		opts:  o,
		rand:  rand.New(rand.NewPCG(o.Seed, 0)),
		self:  &Node{VM: o.VM, DataCentre: o.DataCentre, Address: o.Address, Incarnation: o.Incarnation, Version: 1},
		peers: map[string]*peer{},
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
	i, ok := slices.BinarySearchFunc(t.self.Entries, key, func(e Entry, k string) int { return compareStrings(e.Key, k) })
	if ok && slices.Equal(t.self.Entries[i].Value, value) {
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

// Tick advances this node's counter and returns the nodes to pull from.
func (t *Table) Tick(configuration uint64, stopping bool) []Node {
	t.self.Version++
	t.self.Configuration = configuration
	t.self.Stopping = stopping
	var local, remote []string
	for _, vm := range t.names {
		if t.peers[vm].node.DataCentre == t.opts.DataCentre {
			local = append(local, vm)
		} else {
			remote = append(remote, vm)
		}
	}
	chosen := append(t.sample(local, t.opts.Fanout), t.sample(remote, t.opts.Remote)...)
	nodes := make([]Node, len(chosen))
	for i, vm := range chosen {
		nodes[i] = t.peers[vm].node
	}
	return nodes
}

func (t *Table) sample(names []string, n int) []string {
	n = min(n, len(names))
	for i := range n {
		j := i + t.rand.IntN(len(names)-i)
		names[i], names[j] = names[j], names[i]
	}
	return names[:n]
}

// Known returns the newest counter seen of each node, this one's included.
func (t *Table) Known() map[string]Seen {
	known := make(map[string]Seen, len(t.peers)+1)
	for _, n := range t.all() {
		known[n.VM] = Seen{Incarnation: n.Incarnation, Version: n.Version}
	}
	return known
}

// Delta returns what a node of the data centre lacks, sorted by VM. Entries
// of scope Local stay within their own data centre.
func (t *Table) Delta(dataCentre string, known map[string]Seen) []Node {
	var delta []Node
	for _, n := range t.all() {
		seen := known[n.VM]
		if seen.Incarnation != n.Incarnation {
			seen.Version = 0
		}
		if n.Version > seen.Version {
			delta = append(delta, newer(n, dataCentre, seen.Version))
		}
	}
	return delta
}

func newer(n *Node, dataCentre string, version uint64) Node {
	c := *n
	c.Entries = nil
	for _, e := range n.Entries {
		if e.Version > version && (e.Scope == Global || n.DataCentre == dataCentre) {
			c.Entries = append(c.Entries, e)
		}
	}
	return c
}

func (t *Table) all() []*Node {
	nodes := make([]*Node, 0, len(t.names)+1)
	nodes = append(nodes, t.self)
	for _, vm := range t.names {
		nodes = append(nodes, &t.peers[vm].node)
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].VM < nodes[j].VM })
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
		return t.replace(now, from, p, n)
	}
	old := p.node
	if n.Version <= old.Version {
		return false
	}
	changed := len(n.Entries) > 0 || n.Stopping != old.Stopping || n.Configuration != old.Configuration
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
	if !direct && (t.isLive(now, n.VM) || slices.Contains(p.past, n.Incarnation)) {
		return false
	}
	if p.node.Incarnation != "" {
		p.past = append(p.past, p.node.Incarnation)
		p.past = p.past[max(0, len(p.past)-maxPast):]
	}
	p.node = n
	p.heard = now
	return true
}

func mergeEntries(old, newer []Entry) []Entry {
	merged := slices.Clone(old)
	for _, e := range newer {
		i, ok := slices.BinarySearchFunc(merged, e.Key, func(m Entry, k string) int { return compareStrings(m.Key, k) })
		if !ok {
			merged = slices.Insert(merged, i, e)
		} else if e.Version > merged[i].Version {
			merged[i] = e
		}
	}
	return merged
}

// Live returns the live nodes of a data centre, this one included, by name.
// An empty data centre means all of them.
func (t *Table) Live(now time.Time, dataCentre string) []Node {
	var live []Node
	for _, n := range t.all() {
		if dataCentre != "" && n.DataCentre != dataCentre {
			continue
		}
		if n == t.self || t.isLive(now, n.VM) {
			live = append(live, *n)
		}
	}
	return live
}

func (t *Table) isLive(now time.Time, vm string) bool {
	p := t.peers[vm]
	return !p.heard.IsZero() && now.Sub(p.heard) <= t.opts.Expiry
}

// IsLive reports whether another node's counter was lately seen to advance.
func (t *Table) IsLive(now time.Time, vm string) bool {
	_, known := t.peers[vm]
	return known && t.isLive(now, vm)
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
