package daemon

import (
	"cmp"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoshore/pimentoshore/coord/admit"
	"github.com/pimentoshore/pimentoshore/coord/budget"
	"github.com/pimentoshore/pimentoshore/coord/group"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/lease"
	"github.com/pimentoshore/pimentoshore/coord/member"
)

// accountsLease names the lease and the ledger by which the client accounts'
// limits are divided over all entry VMs.
const accountsLease = "accounts"

const (
	// usageEvery is the number of exchanges between a node's reports of what
	// changed in its shares. A request that waits for a share, a grant and a
	// shutdown are reported at once.
	usageEvery = 4
	// fullUsageEvery is the number of exchanges after which a node reports
	// all that it holds, to make up for lost messages.
	fullUsageEvery = 20
)

// ledgerSeen is the newest ledger heard of from one source.
type ledgerSeen struct {
	vm   string
	term uint64
}

func (n *Node) newLedger(source string, term uint64, d budget.Division) *budget.Ledger {
	return budget.NewLedger(budget.LedgerOptions{Source: source, Term: term, Division: d})
}

// divideAccounts starts the work of the accounts' lease holder. mu is held.
func (n *Node) divideAccounts(_ time.Time, g lease.Grant) {
	n.accountLedger = n.newLedger(accountsLease, g.Term, budget.ByDemand)
}

// stopDividingAccounts ends it. mu is held.
func (n *Node) stopDividingAccounts(time.Time) { n.accountLedger = nil }

// tickLedgers keeps the ledgers' nodes and limits up to date and repeats
// unanswered grants. mu is held.
func (n *Node) tickLedgers(now time.Time) {
	timeout := messageTimeout
	if n.index.doc == nil {
		return
	}
	if n.ledger != nil && n.lease.MayOrder(now, timeout) {
		n.tickEndpoints(now)
	}
	if n.accountLedger != nil && n.accounts.MayOrder(now, timeout) {
		n.tickAccounts(now)
	}
}

func (n *Node) tickAccounts(now time.Time) {
	l := n.accountLedger
	n.sendBudget(l, l.SetNodes(now, n.accountNodes(now)))
	for i := range n.index.doc.ClientAccounts {
		a := &n.index.doc.ClientAccounts[i]
		n.sendBudget(l, l.SetEndpoint(now, budget.Endpoint{
			Name: admit.ShareName(a.Name), Incarnation: accountsLease,
			ColdInFlight: a.MaxInFlight, MaxInFlight: a.MaxInFlight,
		}))
	}
	n.sendBudget(l, l.Tick(now))
}

func (n *Node) tickEndpoints(now time.Time) {
	l := n.ledger
	n.sendBudget(l, l.SetNodes(now, n.budgetNodes(now)))
	for id, p := range n.groups.byID {
		m, ok := n.index.models[p.Group.Model]
		if !ok || n.vmDataCentre(p.Group.Members) != n.set.DataCentre {
			continue
		}
		if incarnation, whole := n.groupIncarnation(now, &p.Group); whole {
			n.setEndpoint(now, budget.Endpoint{
				Name: id, Incarnation: incarnation, ColdInFlight: m.ColdInFlight, MaxInFlight: m.MaxInFlight,
				WarmAfter: cmp.Or(m.WarmAfter, inventory.DefaultWarmAfter),
			})
		}
	}
	for _, vm := range n.index.serviceVMs {
		if vm.DataCentre == n.set.DataCentre {
			n.setServiceEndpoint(now, vm)
		}
	}
	n.sendBudget(l, l.Tick(now))
}

// setEndpoint tells the ledger about an endpoint. mu is held.
func (n *Node) setEndpoint(now time.Time, e budget.Endpoint) {
	n.known[e.Name] = true
	n.sendBudget(n.ledger, n.ledger.SetEndpoint(now, e))
}

func (n *Node) setServiceEndpoint(now time.Time, vm *inventory.VM) {
	s, ok := n.index.services[vm.Service]
	if !ok || !n.fresh(now, vm.Name) {
		return
	}
	r, _, _ := n.reports.Report(vm.Name)
	n.setEndpoint(now, budget.Endpoint{
		Name: vm.Name, Incarnation: r.Incarnation, ColdInFlight: s.ColdInFlight, MaxInFlight: s.MaxInFlight,
		WarmAfter: cmp.Or(s.WarmAfter, inventory.DefaultWarmAfter),
	})
}

// budgetNodes lists every node that may hold shares of this data centre's
// endpoints: its own entry VMs, and one of another data centre as a guest.
// Nodes that are cut off are listed too, since they keep what they hold. mu is
// held.
func (n *Node) budgetNodes(now time.Time) []budget.Node {
	var nodes []budget.Node
	var foreign []string
	for _, vm := range n.index.entries {
		if vm.DataCentre == n.set.DataCentre {
			nodes = append(nodes, n.holder(now, vm.Name))
		} else {
			foreign = append(foreign, vm.Name)
		}
	}
	for _, name := range budget.Homes(n.set.DataCentre, foreign, 1) {
		guest := n.holder(now, name)
		guest.Guest = true
		nodes = append(nodes, guest)
	}
	return nodes
}

// accountNodes lists every node that may hold shares of accounts' limits. mu
// is held.
func (n *Node) accountNodes(now time.Time) []budget.Node {
	var nodes []budget.Node
	for _, vm := range n.index.entries {
		nodes = append(nodes, n.holder(now, vm.Name))
	}
	return nodes
}

// holder describes an entry VM to a ledger and remembers that it may hold
// shares. mu is held.
func (n *Node) holder(now time.Time, vm string) budget.Node {
	n.holders[vm] = true
	node, _ := n.gossip.Get(vm)
	live := vm == n.set.VM || n.gossip.IsLive(now, vm)
	return budget.Node{Name: vm, Live: live && !node.Stopping && !n.leaving[vm]}
}

// releaseGone frees what entry VMs held that the platform no longer lists.
// mu is held.
func (n *Node) releaseGone(now time.Time, listed map[string]bool) {
	if len(listed) == 0 {
		return
	}
	for vm := range n.holders {
		if listed[vm] {
			continue
		}
		for _, l := range []*budget.Ledger{n.ledger, n.accountLedger} {
			if l != nil {
				n.sendBudget(l, l.NodeGone(now, vm))
			}
		}
	}
}

// groupIncarnation identifies the engines of a whole group: it changes when
// any member starts anew or the group is formed again.
func (n *Node) groupIncarnation(now time.Time, g *group.Group) (incarnation string, whole bool) {
	if !n.reports.IsWhole(g, now) {
		return "", false
	}
	d := xxhash.New()
	_, _ = d.WriteString(strconv.FormatUint(g.Generation, 10))
	for _, vm := range g.Members {
		r, _, _ := n.reports.Report(vm)
		_, _ = d.WriteString("/" + r.Incarnation)
	}
	return strconv.FormatUint(d.Sum64(), 36), true
}

// sendBudget delivers a ledger's messages. mu is held.
func (n *Node) sendBudget(l *budget.Ledger, e budget.Effects) {
	for _, a := range e.Announcements {
		n.deliver(l, a.Node, kindAnnounce, a)
	}
	byNode := map[string][]budget.Grant{}
	for _, g := range e.Grants {
		byNode[g.Node] = append(byNode[g.Node], g)
	}
	for node, grants := range byNode {
		n.deliver(l, node, kindGrants, grants)
	}
}

// deliver sends a ledger's message and feeds the answering usage back.
func (n *Node) deliver(l *budget.Ledger, node, kind string, message any) {
	n.sendTo(node, kind, message, func(now time.Time, body []byte) {
		var u budget.Usage
		if json.Unmarshal(body, &u) == nil {
			n.takeUsage(now, l, u)
		}
	})
}

// takeUsage feeds a node's usage to the ledger if that's still in force. mu
// is held.
func (n *Node) takeUsage(now time.Time, l *budget.Ledger, u budget.Usage) {
	switch {
	case l == nil:
	case l == n.ledger && n.lease.MayOrder(now, messageTimeout),
		l == n.accountLedger && n.accounts.MayOrder(now, messageTimeout):
		n.sendBudget(l, l.ApplyUsage(now, u))
	}
}

// ledgerOf returns this node's ledger of a source, or nil. mu is held.
func (n *Node) ledgerOf(source string) *budget.Ledger {
	switch source {
	case accountsLease:
		return n.accountLedger
	case n.set.DataCentre:
		return n.ledger
	}
	return nil
}

// sawLedger remembers which node runs the newest ledger of a source.
func (n *Node) sawLedger(source, vm string, term uint64) {
	if term >= n.ledgers[source].term {
		n.ledgers[source] = ledgerSeen{vm: vm, term: term}
	}
}

// takeAnnounce answers a ledger's announcement. mu is held.
func (n *Node) takeAnnounce(from string, a budget.Announcement) (budget.Usage, bool) {
	n.sawLedger(a.Source, from, a.Term)
	if !n.shares.ApplyAnnouncement(a) {
		return budget.Usage{}, false
	}
	return n.shares.Report(a.Source, true), true
}

// takeGrants puts grants in force. mu is held.
func (n *Node) takeGrants(now time.Time, grants []budget.Grant) (budget.Usage, bool) {
	if len(grants) == 0 {
		return budget.Usage{}, false
	}
	for _, g := range grants {
		n.shares.ApplyGrant(now, g)
	}
	n.settle(now, n.admission.Tick(now))
	return n.shares.Report(grants[0].Source, false), true
}

// reportUsage tells each ledger what changed in this node's shares. mu is
// held.
func (n *Node) reportUsage(full bool) {
	for source, seen := range n.ledgers {
		u := n.shares.Report(source, full)
		if len(u.Entries) > 0 || u.Stopping {
			n.sendTo(seen.vm, kindUsage, u, nil)
		}
	}
}

// observeIncarnation tells the shares which process answers behind an
// endpoint. mu is held.
func (n *Node) observeIncarnation(now time.Time, r member.Report) {
	if vm, ok := n.index.vms[r.VM]; ok && vm.Role == inventory.RoleService {
		n.shares.Observe(now, r.VM, r.Incarnation)
		return
	}
	p, ok := n.groups.byID[r.Group]
	if !ok {
		return
	}
	if incarnation, whole := n.groupIncarnation(now, &p.Group); whole {
		n.shares.Observe(now, r.Group, incarnation)
	}
}
