package gossip

import (
	"strings"
	"time"
)

// membersEntry is the key under which the representative of a data centre
// lists the live nodes there, so that the others need not be heard of.
const membersEntry = "members"

// publishMembers lists the live nodes of the own data centre if this node
// represents it.
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

// localRank returns the position of this node among the live ones of its data
// centre by name. The first one is the representative.
func (t *Table) localRank(now time.Time) int {
	rank := 0
	for _, vm := range t.names {
		if vm > t.opts.VM {
			break
		}
		if t.peers[vm].node.DataCentre == t.opts.DataCentre && t.heardOf(now, vm) {
			rank++
		}
	}
	return rank
}

// Live returns the live nodes of a data centre, this one included, by name.
// An empty data centre means all of them.
func (t *Table) Live(now time.Time, dataCentre string) []Node {
	var listed map[string]bool
	if dataCentre != t.opts.DataCentre {
		listed = t.listed(now)
	}
	var live []Node
	for _, n := range t.all() {
		if dataCentre != "" && n.DataCentre != dataCentre {
			continue
		}
		if n == t.self || t.heardOf(now, n.VM) || listed[n.VM] {
			live = append(live, *n)
		}
	}
	return live
}

// listed names the nodes of other data centres that a representative which is
// heard of lists.
func (t *Table) listed(now time.Time) map[string]bool {
	listed := map[string]bool{}
	for _, vm := range t.names {
		n := &t.peers[vm].node
		list := n.Entry(membersEntry)
		if len(list) == 0 || n.DataCentre == t.opts.DataCentre || !t.heardOf(now, vm) {
			continue
		}
		for name := range strings.SplitSeq(string(list), "\n") {
			listed[name] = true
		}
	}
	return listed
}

// heardOf reports whether the node's own counter was lately seen to advance.
func (t *Table) heardOf(now time.Time, vm string) bool {
	p := t.peers[vm]
	if p.heard.IsZero() {
		return false
	}
	return now.Sub(p.heard) <= t.expiry(&p.node)
}

// expiry grows with the time between pulls of the node's view.
func (t *Table) expiry(n *Node) time.Duration {
	view := OwnDataCentre
	if n.DataCentre != t.opts.DataCentre {
		view = OtherDataCentres
	}
	return t.opts.Expiry * time.Duration(t.every[view])
}

// IsLive reports whether another node's counter was lately seen to advance,
// or its data centre's representative lists it.
func (t *Table) IsLive(now time.Time, vm string) bool {
	_, known := t.peers[vm]
	return known && (t.heardOf(now, vm) || t.listed(now)[vm])
}
