package gossip

import (
	"strings"
	"time"
)

// membersEntry is the key under which the representative of a data centre
// publishes the names of the live nodes there, so that nodes elsewhere need not
// follow the counter of each of them.
const membersEntry = "members"

// publishMembers publishes the list of live nodes of the own data centre if this
// node is its representative, and withdraws the list otherwise.
func (t *Table) publishMembers(now time.Time) {
	if t.ticks < settleTicks {
		return
	}
	if t.localRank(now) > 0 {
		t.Withdraw(membersEntry)
		return
	}
	var names []string
	for _, n := range t.Live(now, t.opts.DataCentre) {
		if !n.Stopping {
			names = append(names, n.VM)
		}
	}
	t.Publish(membersEntry, Global, []byte(strings.Join(names, "\n")))
}

// localRank returns the position of this node, from 0, among the live nodes of
// its data centre sorted by name. The first node is the representative.
func (t *Table) localRank(now time.Time) int {
	rank := 0
	for _, vm := range t.names {
		if vm > t.opts.VM {
			break
		}
		if t.peers[vm].node.DataCentre == t.opts.DataCentre && t.isAdvancing(now, vm) {
			rank++
		}
	}
	return rank
}

// Live returns the live nodes of a data centre sorted by name, including this
// node. An empty data centre means all data centres.
func (t *Table) Live(now time.Time, dataCentre string) []Node {
	var listed map[string]bool
	if dataCentre != t.opts.DataCentre {
		listed = t.listedNodes(now)
	}
	var live []Node
	for _, n := range t.allNodes() {
		if dataCentre != "" && n.DataCentre != dataCentre {
			continue
		}
		if n == t.self || t.isAdvancing(now, n.VM) || listed[n.VM] {
			live = append(live, *n)
		}
	}
	return live
}

// listedNodes returns the names of the nodes of other data centres that are
// listed by a representative whose counter advances.
func (t *Table) listedNodes(now time.Time) map[string]bool {
	listed := map[string]bool{}
	for _, vm := range t.names {
		n := &t.peers[vm].node
		list := n.Entry(membersEntry)
		if len(list) == 0 || n.DataCentre == t.opts.DataCentre || !t.isAdvancing(now, vm) {
			continue
		}
		for name := range strings.SplitSeq(string(list), "\n") {
			listed[name] = true
		}
	}
	return listed
}

// isAdvancing reports whether the counter of another node was seen to advance
// within its expiry.
func (t *Table) isAdvancing(now time.Time, vm string) bool {
	p := t.peers[vm]
	if p.advancedAt.IsZero() {
		return false
	}
	return now.Sub(p.advancedAt) <= t.expiry(&p.node)
}

// expiry returns how long after the last advance of its counter a node is
// considered live. It grows with the time between pulls of the node's view.
func (t *Table) expiry(n *Node) time.Duration {
	view := OwnDataCentre
	if n.DataCentre != t.opts.DataCentre {
		view = OtherDataCentres
	}
	return t.opts.Expiry * time.Duration(t.pullInterval[view])
}

// IsLive reports whether the counter of another node was seen to advance within
// its expiry, or the node is listed by the representative of its data centre.
func (t *Table) IsLive(now time.Time, vm string) bool {
	_, known := t.peers[vm]
	return known && (t.isAdvancing(now, vm) || t.listedNodes(now)[vm])
}
