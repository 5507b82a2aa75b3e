package daemon

import (
	"strconv"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/gossip"
)

// coordinatorEntry is the gossip entry of a coordinator with its term. It
// lets others tell a coordinator without groups from a node that decides none.
const coordinatorEntry = "coordinator"

// publishTerm says that this node coordinates its data centre. mu is held.
func (n *Node) publishTerm(term uint64) {
	n.gossip.Publish(coordinatorEntry, gossip.Global, strconv.AppendUint(nil, term, 10))
}

// publishedTerm is the term that a node coordinates in; 0 if it does not.
func publishedTerm(node *gossip.Node) uint64 {
	term, err := strconv.ParseUint(string(node.Entry(coordinatorEntry)), 10, 64)
	if err != nil {
		return 0
	}
	return term
}

// coordinatorOf returns the holder of a data centre's lease and its term as
// this node knows them. mu is held.
func (n *Node) coordinatorOf(now time.Time, dataCentre string) (vm string, term uint64) {
	if dataCentre == n.set.DataCentre {
		holder, term := n.lease.Holder()
		return holder.VM, term
	}
	for _, node := range n.gossip.Live(now, dataCentre) {
		if t := publishedTerm(&node); t > term {
			vm, term = node.VM, t
		}
	}
	return vm, term
}
