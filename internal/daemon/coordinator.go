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

// coordination is the part of a node that holds leases or follows those of
// others.
type coordination struct {
	lease    *candidacy // coordinates the data centre
	accounts *candidacy // divides the client accounts' limits
	manager  *group.Manager
	// ledger is nil unless this node coordinates, accountLedger unless it
	// divides the accounts' limits.
	ledger            *budget.Ledger
	accountLedger     *budget.Ledger
	accountsCandidate bool
	// ledgers holds the newest ledger heard of by source.
	ledgers     map[string]ledgerSeen
	usageRounds int
	// holders names every node that may hold shares of a ledger of this node.
	holders map[string]bool
	// leaving names the VMs that the platform is about to take away.
	leaving map[string]bool
}

func newCoordination(set settings.Settings) coordination {
	return coordination{
		manager: group.New(group.Options{
			DataCentre: set.DataCentre, ReportTTL: set.Intervals.ReportTTL, OrderTimeout: orderTimeout(set),
		}),
		ledgers: map[string]ledgerSeen{},
		holders: map[string]bool{},
		leaving: map[string]bool{},
	}
}

// coordinatorEntry is the gossip entry of a coordinator with its term. It
// lets others tell a coordinator without groups from a node that decides none.
const coordinatorEntry = "coordinator"

// ledgerEntry prefixes the gossip entries of ledgers, which hold their terms.
const ledgerEntry = "ledger/"

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

// publishLedgers says which ledgers this node runs, so that a node that has
// started anew finds them. mu is held.
func (n *Node) publishLedgers(now time.Time) {
	candidacies := []*candidacy{n.lease, n.accounts}
	for _, o := range candidacies {
		key := ledgerEntry + o.name
		if g, held := o.Held(now); held {
			n.gossip.Publish(key, gossip.Global, strconv.AppendUint(nil, g.Term, 10))
			continue
		}
		n.gossip.Withdraw(key)
	}
}

// learnLedgers takes in which ledgers a node runs, and tells one that is news
// what this node holds of it. mu is held.
func (n *Node) learnLedgers(node gossip.Node) {
	for _, e := range node.Entries {
		source, isLedger := strings.CutPrefix(e.Key, ledgerEntry)
		term, err := strconv.ParseUint(string(e.Value), 10, 64)
		if !isLedger || err != nil || !n.concerns(source) {
			continue
		}
		if seen := n.ledgers[source]; term > seen.term {
			n.sawLedger(source, node.VM, term)
			n.sendTo(node.VM, kindUsage, n.shares.Report(source, true), nil)
		}
	}
}

// concerns reports whether this node may hold shares of a ledger.
func (n *Node) concerns(source string) bool {
	if _, known := n.ledgers[source]; known {
		return true
	}
	return source == accountsLease || source == n.set.DataCentre
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
