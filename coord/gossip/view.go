package gossip

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is the part of the nodes that a pull covers.
type View uint8

// Views of a node.
const (
	OwnDataCentre    View = iota // every node of the puller's data centre
	OtherDataCentres             // nodes elsewhere that publish global entries
	views                        // the number of views
)

const (
	// nodesPerInterval is the number of nodes of a view for each tick between
	// two pulls of it, so that a node's traffic hardly grows with the system.
	nodesPerInterval = 24
	// remotePullers is the number of nodes of a data centre that pull from
	// other data centres; the others pull from those nearby.
	remotePullers = 2
	// The withdrawal of a node's last global entry is spread for this number
	// of expiries, and of ticks of that node.
	withdrawnExpiries = 20
	withdrawnTicks    = 120
	// settleTicks is the number of ticks in which a new process hears of its
	// neighbours before it may represent them.
	settleTicks = 12
)

// ProcessVersion is the newest counter known of a node's process.
type ProcessVersion struct {
	VM          string
	Incarnation string
	Version     uint64
}

// ProcessID identifies a node's process among those of a system.
func (s ProcessVersion) ProcessID() uint64 { return process(s.VM, s.Incarnation) }

func process(vm, incarnation string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(vm)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(incarnation)
	return d.Sum64()
}

// HashProcesses returns a hash of the processes, whatever their counters. Two nodes
// with the same list can name its processes by position.
func HashProcesses(seen []ProcessVersion) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range seen {
		var id [8]byte
		binary.LittleEndian.PutUint64(id[:], s.ProcessID())
		_, _ = d.Write(id[:])
	}
	return d.Sum64()
}

// Counters holds the newest counter known of each process.
type Counters map[uint64]uint64

// CountersOf indexes what a node has seen by process.
func CountersOf(seen []ProcessVersion) Counters {
	c := make(Counters, len(seen))
	for _, s := range seen {
		c[s.ProcessID()] = s.Version
	}
	return c
}

// Pull names a node to ask and the view to ask it for.
type Pull struct {
	Node
	View View
}

// Tick advances this node's counter and returns the pulls that are due.
func (t *Table) Tick(now time.Time, configuration uint64, stopping bool) []Pull {
	t.self.Version++
	t.ticks++
	t.now = now
	if t.self.Configuration != configuration || t.self.Stopping != stopping {
		t.self.moved = t.self.Version
	}
	t.self.Configuration = configuration
	t.self.Stopping = stopping
	t.pace()
	t.publishMembers(now)
	var pulls []Pull
	if n := t.due(OwnDataCentre, t.opts.Fanout); n > 0 {
		pulls = t.pulls(t.localNames(), n, OwnDataCentre)
	}
	if n := t.due(OtherDataCentres, t.opts.Remote); n > 0 {
		pulls = append(pulls, t.remotePulls(now, n)...)
	}
	return pulls
}

// remotePulls chooses the nodes to hear of other data centres from.
func (t *Table) remotePulls(now time.Time, n int) []Pull {
	if t.opts.EveryNode || t.localRank(now) < remotePullers {
		return t.pulls(t.remoteNames(), n, OtherDataCentres)
	}
	return t.pulls(t.localNames(), n, OtherDataCentres)
}

func (t *Table) pulls(names []string, n int, view View) []Pull {
	chosen := t.sample(names, n)
	pulls := make([]Pull, len(chosen))
	for i, vm := range chosen {
		pulls[i] = Pull{Node: t.peers[vm].node, View: view}
	}
	return pulls
}

func (t *Table) localNames() []string {
	return t.namesWhere(func(n *Node) bool { return n.DataCentre == t.opts.DataCentre })
}

func (t *Table) remoteNames() []string {
	return t.namesWhere(func(n *Node) bool { return n.DataCentre != t.opts.DataCentre })
}

func (t *Table) namesWhere(f func(*Node) bool) []string {
	var names []string
	for _, vm := range t.names {
		if f(&t.peers[vm].node) {
			names = append(names, vm)
		}
	}
	return names
}

func (t *Table) sample(names []string, n int) []string {
	n = min(n, len(names))
	for i := range n {
		j := i + t.rand.IntN(len(names)-i)
		names[i], names[j] = names[j], names[i]
	}
	return names[:n]
}

// due returns the number of nodes to pull a view from at this tick. Over the
// ticks of a pace it is the fanout.
func (t *Table) due(view View, fanout int) int {
	every := uint64(t.every[view])
	n := uint64(fanout)
	return int((t.ticks*n)/every - ((t.ticks-1)*n)/every)
}

// pace stretches the time between two pulls of a view with its size.
func (t *Table) pace() {
	for view := range views {
		nodes := 0
		for _, vm := range t.names {
			if t.covers(view, t.opts.DataCentre, &t.peers[vm].node, 0) {
				nodes++
			}
		}
		t.every[view] = 1 + nodes/nodesPerInterval
		if t.opts.EveryNode {
			t.every[view] = 1
		}
	}
}

// covers reports whether a view from the data centre includes a node of which
// a version was seen. A node that withdrew its global entries is included
// until that's known, or is old.
func (t *Table) covers(view View, dataCentre string, n *Node, seen uint64) bool {
	switch {
	case t.opts.EveryNode:
		return true
	case view == OwnDataCentre:
		return n.DataCentre == dataCentre
	case n.DataCentre == dataCentre:
		return false
	}
	for i := range n.Entries {
		e := &n.Entries[i]
		if e.Scope == Global && (len(e.Value) > 0 || t.withdrawalSpreads(n, e, seen)) {
			return true
		}
	}
	return false
}

// withdrawalSpreads reports whether an entry was withdrawn after a version was
// seen, and lately enough to be news to others.
func (t *Table) withdrawalSpreads(n *Node, e *Entry, seen uint64) bool {
	if e.Version <= seen || e.Version+withdrawnTicks <= n.Version {
		return false
	}
	p, ok := t.peers[n.VM]
	return !ok || t.now.Sub(p.heard) <= withdrawnExpiries*t.opts.Expiry
}

// KnownVersions returns the newest counter seen of each node of a view, by VM. The
// view of the own data centre includes this node.
func (t *Table) KnownVersions(view View) []ProcessVersion {
	return t.KnownVersionsFrom(t.opts.DataCentre, view)
}

// KnownVersionsFrom returns the same of a view from another data centre.
func (t *Table) KnownVersionsFrom(dataCentre string, view View) []ProcessVersion {
	var known []ProcessVersion
	for _, n := range t.all() {
		if n.Incarnation != "" && t.covers(view, dataCentre, n, 0) {
			known = append(known, ProcessVersion{VM: n.VM, Incarnation: n.Incarnation, Version: n.Version})
		}
	}
	return known
}

// Delta returns what a node of the data centre lacks of a view, sorted by VM.
// Entries of scope Local stay within their own data centre.
func (t *Table) Delta(dataCentre string, view View, known Counters) []Node {
	var delta []Node
	for _, n := range t.all() {
		if n.Incarnation == "" {
			continue
		}
		seen := known[process(n.VM, n.Incarnation)]
		if n.Version > seen && t.covers(view, dataCentre, n, seen) {
			delta = append(delta, newer(n, dataCentre, seen))
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
	c.CounterOnly = n.moved <= version && len(c.Entries) == 0
	return c
}
