package gossip

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is the set of nodes that a pull covers.
type View uint8

// Views.
const (
	OwnDataCentre    View = iota // every node of the puller's data centre
	OtherDataCentres             // nodes elsewhere that publish global entries
	views                        // the number of views
)

const (
	// nodesPerInterval is the number of nodes in a view for which the interval
	// between two pulls of it grows by one tick. It keeps a node's traffic
	// nearly independent of the size of the system.
	nodesPerInterval = 24
	// remotePullers is the number of nodes of a data centre that pull from
	// other data centres. The others pull the same view from nodes of their
	// own data centre.
	remotePullers = 2
	// A withdrawn entry is spread until withdrawnExpiries times the expiry has
	// passed without an advance of the node's counter, or until the counter has
	// advanced by withdrawnTicks since the withdrawal.
	withdrawnExpiries = 20
	withdrawnTicks    = 120
	// settleTicks is the number of ticks for which a new process learns of the
	// nodes of its data centre before it may act as their representative.
	settleTicks = 12
)

// ProcessVersion is the newest known counter of a node's process.
type ProcessVersion struct {
	VM          string
	Incarnation string
	Version     uint64
}

// ProcessID returns a hash that identifies the node's process in the system.
func (s ProcessVersion) ProcessID() uint64 { return processHash(s.VM, s.Incarnation) }

// processHash returns a hash of a VM and an incarnation.
func processHash(vm, incarnation string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(vm)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(incarnation)
	return d.Sum64()
}

// HashProcesses returns a hash of the list of processes, regardless of their
// counters. Two nodes that have the same list can refer to its processes by position.
func HashProcesses(versions []ProcessVersion) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range versions {
		var id [8]byte
		binary.LittleEndian.PutUint64(id[:], s.ProcessID())
		_, _ = d.Write(id[:])
	}
	return d.Sum64()
}

// Counters maps the hash of each process to its newest known counter.
type Counters map[uint64]uint64

// CountersOf returns the counters in versions, indexed by process.
func CountersOf(versions []ProcessVersion) Counters {
	c := make(Counters, len(versions))
	for _, s := range versions {
		c[s.ProcessID()] = s.Version
	}
	return c
}

// Pull is a node to pull from and the view to request.
type Pull struct {
	Node
	View View
}

// Tick advances this node's counter, sets its configuration number and whether it
// is stopping, and returns the pulls that are due.
func (t *Table) Tick(now time.Time, configuration uint64, stopping bool) []Pull {
	t.self.Version++
	t.ticks++
	t.now = now
	if t.self.Configuration != configuration || t.self.Stopping != stopping {
		t.self.stateVersion = t.self.Version
	}
	t.self.Configuration = configuration
	t.self.Stopping = stopping
	t.updateIntervals()
	t.publishMembers(now)
	var pulls []Pull
	if n := t.pullsDue(OwnDataCentre, t.opts.Fanout); n > 0 {
		pulls = t.pulls(t.localNames(), n, OwnDataCentre)
	}
	if n := t.pullsDue(OtherDataCentres, t.opts.Remote); n > 0 {
		pulls = append(pulls, t.remotePulls(now, n)...)
	}
	return pulls
}

// remotePulls chooses up to n nodes from which to pull the view of other data
// centres.
func (t *Table) remotePulls(now time.Time, n int) []Pull {
	if t.opts.EveryNode || t.localRank(now) < remotePullers {
		return t.pulls(t.remoteNames(), n, OtherDataCentres)
	}
	return t.pulls(t.localNames(), n, OtherDataCentres)
}

// pulls chooses up to n of the named nodes at random to pull a view from.
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

func (t *Table) namesWhere(matches func(*Node) bool) []string {
	var names []string
	for _, vm := range t.names {
		if matches(&t.peers[vm].node) {
			names = append(names, vm)
		}
	}
	return names
}

// sample returns up to n of the names, chosen at random. It reorders names.
func (t *Table) sample(names []string, n int) []string {
	n = min(n, len(names))
	for i := range n {
		j := i + t.rand.IntN(len(names)-i)
		names[i], names[j] = names[j], names[i]
	}
	return names[:n]
}

// pullsDue returns the number of nodes to pull a view from at this tick. Over one
// pull interval the numbers add up to the fanout.
func (t *Table) pullsDue(view View, fanout int) int {
	interval := uint64(t.pullInterval[view])
	n := uint64(fanout)
	return int((t.ticks*n)/interval - ((t.ticks-1)*n)/interval)
}

// updateIntervals sets the pull interval of each view according to its size.
func (t *Table) updateIntervals() {
	for view := range views {
		nodes := 0
		for _, vm := range t.names {
			if t.covers(view, t.opts.DataCentre, &t.peers[vm].node, 0) {
				nodes++
			}
		}
		t.pullInterval[view] = 1 + nodes/nodesPerInterval
		if t.opts.EveryNode {
			t.pullInterval[view] = 1
		}
	}
}

// covers reports whether a view, as requested from the data centre, includes a
// node whose counter was seen at a version. A node that has withdrawn its global
// entries is included until the withdrawal has been seen or has expired.
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
		if e.Scope == Global && (len(e.Value) > 0 || t.isWithdrawalSpreading(n, e, seen)) {
			return true
		}
	}
	return false
}

// isWithdrawalSpreading reports whether an entry was withdrawn after the seen
// version, and recently enough that the withdrawal is still spread.
func (t *Table) isWithdrawalSpreading(n *Node, e *Entry, seen uint64) bool {
	if e.Version <= seen || e.Version+withdrawnTicks <= n.Version {
		return false
	}
	p, ok := t.peers[n.VM]
	return !ok || t.now.Sub(p.advancedAt) <= withdrawnExpiries*t.opts.Expiry
}

// KnownVersions returns the newest known counter of each node of a view, sorted
// by VM. The view of the own data centre includes this node.
func (t *Table) KnownVersions(view View) []ProcessVersion {
	return t.KnownVersionsFrom(t.opts.DataCentre, view)
}

// KnownVersionsFrom does the same for a view as requested from the given data
// centre.
func (t *Table) KnownVersionsFrom(dataCentre string, view View) []ProcessVersion {
	var known []ProcessVersion
	for _, n := range t.allNodes() {
		if n.Incarnation != "" && t.covers(view, dataCentre, n, 0) {
			known = append(known, ProcessVersion{VM: n.VM, Incarnation: n.Incarnation, Version: n.Version})
		}
	}
	return known
}

// Delta returns the nodes of a view, sorted by VM, whose counters are newer than
// those known to a node of the given data centre, with their newer entries.
// Entries of scope Local are not sent to other data centres.
func (t *Table) Delta(dataCentre string, view View, known Counters) []Node {
	var delta []Node
	for _, n := range t.allNodes() {
		if n.Incarnation == "" {
			continue
		}
		seen := known[processHash(n.VM, n.Incarnation)]
		if n.Version > seen && t.covers(view, dataCentre, n, seen) {
			delta = append(delta, nodeDelta(n, dataCentre, seen))
		}
	}
	return delta
}

// nodeDelta returns a copy of the node with only the entries that are newer than
// the version and may be sent to the data centre.
func nodeDelta(n *Node, dataCentre string, version uint64) Node {
	delta := *n
	delta.Entries = nil
	for _, e := range n.Entries {
		if e.Version > version && (e.Scope == Global || n.DataCentre == dataCentre) {
			delta.Entries = append(delta.Entries, e)
		}
	}
	delta.CounterOnly = n.stateVersion <= version && len(delta.Entries) == 0
	return delta
}
