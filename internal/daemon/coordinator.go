package daemon

import (
	"strconv"
	"strings"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/budget"
	"github.com/pimentoshore/pimentoshore/coord/gossip"
	"github.com/pimentoshore/pimentoshore/coord/group"
	"github.com/pimentoshore/pimentoshore/internal/settings"
)

// coordination is the part of a Node that holds leases, or tracks the nodes
// that hold them.
type coordination struct {
	lease    *candidacy // for coordinating the data centre
	accounts *candidacy // for dividing the client accounts' limits
	manager  *group.Manager
	// ledger is nil unless this node coordinates its data centre, and
	// accountLedger unless it divides the client accounts' limits.
	ledger              *budget.Ledger
	accountLedger       *budget.Ledger
	isAccountsCandidate bool
	// ledgerLocations holds the newest known ledger of each source.
	ledgerLocations map[string]ledgerLocation
	exchangeCount   int
	// shareHolders holds the names of all nodes that may hold shares of this
	// node's ledgers.
	shareHolders map[string]bool
	// leavingVMs holds the names of the VMs that the platform is about to
	// remove.
	leavingVMs map[string]bool
}

func newCoordination(set settings.Settings) coordination {
	return coordination{
		manager: group.New(group.Options{
			DataCentre: set.DataCentre, ReportTTL: set.Intervals.ReportTTL, OrderTimeout: orderTimeout(set),
		}),
		ledgerLocations: map[string]ledgerLocation{},
		shareHolders:    map[string]bool{},
		leavingVMs:      map[string]bool{},
	}
}

// coordinatorEntry is the gossip key under which a coordinator publishes its
// term. It distinguishes a coordinator without groups from a node that does not
// coordinate.
const coordinatorEntry = "coordinator"

// ledgerEntry is the prefix of the gossip keys under which nodes publish the
// terms of their ledgers.
const ledgerEntry = "ledger/"

// publishTerm publishes the term in which this node coordinates its data
// centre. n.mu must be held.
func (n *Node) publishTerm(term uint64) {
	n.gossip.Publish(coordinatorEntry, gossip.Global, strconv.AppendUint(nil, term, 10))
}

// publishedTerm returns the term in which a node coordinates its data centre,
// or 0 if it is not a coordinator.
func publishedTerm(node *gossip.Node) uint64 {
	term, err := strconv.ParseUint(string(node.Entry(coordinatorEntry)), 10, 64)
	if err != nil {
		return 0
	}
	return term
}

// publishLedgers publishes the ledgers that this node runs, so that restarted
// nodes find them. n.mu must be held.
func (n *Node) publishLedgers(now time.Time) {
	candidacies := []*candidacy{n.lease, n.accounts}
	for _, c := range candidacies {
		key := ledgerEntry + c.name
		if g, held := c.Held(now); held {
			n.gossip.Publish(key, gossip.Global, strconv.AppendUint(nil, g.Term, 10))
			continue
		}
		n.gossip.Withdraw(key)
	}
}

// updateLedgerLocations records the ledgers that a node runs, and reports this
// node's shares to each newer one. n.mu must be held.
func (n *Node) updateLedgerLocations(node gossip.Node) {
	for _, e := range node.Entries {
		source, isLedger := strings.CutPrefix(e.Key, ledgerEntry)
		term, err := strconv.ParseUint(string(e.Value), 10, 64)
		if !isLedger || err != nil || !n.canHoldShares(source) {
			continue
		}
		if seen := n.ledgerLocations[source]; term > seen.term {
			n.recordLedger(source, node.VM, term)
			n.sendTo(node.VM, kindUsage, n.shares.Report(source, true), nil)
		}
	}
}

// canHoldShares reports whether this node may hold shares of a source's ledger.
func (n *Node) canHoldShares(source string) bool {
	if _, known := n.ledgerLocations[source]; known {
		return true
	}
	return source == accountsLease || source == n.settings.DataCentre
}

// coordinatorOf returns the coordinator of a data centre and its term as far as
// this node knows, or an empty name. n.mu must be held.
func (n *Node) coordinatorOf(now time.Time, dataCentre string) (vm string, term uint64) {
	if dataCentre == n.settings.DataCentre {
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
