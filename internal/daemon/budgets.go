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

// accountsLease is the name of the lease and the ledger for dividing the client
// accounts' limits among all entry VMs.
const accountsLease = "accounts"

const (
	// exchangesPerUsageReport is the number of gossip exchanges between reports
	// of changed shares. Changes caused by a waiting request, a grant or a
	// shutdown are reported immediately.
	exchangesPerUsageReport = 4
	// exchangesPerFullReport is the number of gossip exchanges between reports
	// of all shares, which make up for lost messages.
	exchangesPerFullReport = 20
)

// ledgerLocation is the VM that runs the newest known ledger of a source, and
// that ledger's term.
type ledgerLocation struct {
	vm   string
	term uint64
}

func (n *Node) newLedger(source string, term uint64, d budget.Division) *budget.Ledger {
	return budget.NewLedger(budget.LedgerOptions{Source: source, Term: term, Division: d})
}

// startAccountLedger creates the ledger of the client accounts' limits when
// this node gains their lease. n.mu must be held.
func (n *Node) startAccountLedger(_ time.Time, g lease.Grant) {
	n.accountLedger = n.newLedger(accountsLease, g.Term, budget.ByDemand)
}

// stopAccountLedger discards the ledger of the client accounts' limits when
// this node loses their lease. n.mu must be held.
func (n *Node) stopAccountLedger(time.Time) { n.accountLedger = nil }

// tickLedgers updates the nodes and limits in this node's ledgers and resends
// unanswered grants. n.mu must be held.
func (n *Node) tickLedgers(now time.Time) {
	timeout := messageTimeout
	if n.index.doc == nil {
		return
	}
	if n.ledger != nil && n.lease.MayOrder(now, timeout) {
		n.tickEndpointLedger(now)
	}
	if n.accountLedger != nil && n.accounts.MayOrder(now, timeout) {
		n.tickAccountLedger(now)
	}
}

func (n *Node) tickAccountLedger(now time.Time) {
	l := n.accountLedger
	n.sendBudgetEffects(l, l.SetNodes(now, n.accountNodes(now)))
	for i := range n.index.doc.ClientAccounts {
		a := &n.index.doc.ClientAccounts[i]
		n.sendBudgetEffects(l, l.SetEndpoint(now, budget.Endpoint{
			Name: admit.ShareName(a.Name), Incarnation: accountsLease,
			ColdInFlight: a.MaxInFlight, MaxInFlight: a.MaxInFlight,
		}))
	}
	n.sendBudgetEffects(l, l.Tick(now))
}

func (n *Node) tickEndpointLedger(now time.Time) {
	l := n.ledger
	n.sendBudgetEffects(l, l.SetNodes(now, n.budgetNodes(now)))
	for id, p := range n.groups.byID {
		m, ok := n.index.models[p.Group.Model]
		if !ok || n.vmDataCentre(p.Group.Members) != n.settings.DataCentre {
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
		if vm.DataCentre == n.settings.DataCentre {
			n.setServiceEndpoint(now, vm)
		}
	}
	n.sendBudgetEffects(l, l.Tick(now))
}

// setEndpoint adds or updates an endpoint in the ledger. n.mu must be held.
func (n *Node) setEndpoint(now time.Time, e budget.Endpoint) {
	n.knownEndpoints[e.Name] = true
	n.sendBudgetEffects(n.ledger, n.ledger.SetEndpoint(now, e))
}

func (n *Node) setServiceEndpoint(now time.Time, vm *inventory.VM) {
	s, ok := n.index.services[vm.Service]
	if !ok || !n.hasFreshReport(now, vm.Name) {
		return
	}
	r, _, _ := n.reports.Report(vm.Name)
	n.setEndpoint(now, budget.Endpoint{
		Name: vm.Name, Incarnation: r.Incarnation, ColdInFlight: s.ColdInFlight, MaxInFlight: s.MaxInFlight,
		WarmAfter: cmp.Or(s.WarmAfter, inventory.DefaultWarmAfter),
	})
}

// budgetNodes lists the nodes that may hold shares of this data centre's
// endpoints: its own entry VMs, and one of another data centre as a guest.
// Unreachable nodes are included because they keep their shares. n.mu must be
// held.
func (n *Node) budgetNodes(now time.Time) []budget.Node {
	var nodes []budget.Node
	var foreign []string
	for _, vm := range n.index.entries {
		if vm.DataCentre == n.settings.DataCentre {
			nodes = append(nodes, n.shareHolder(now, vm.Name))
		} else {
			foreign = append(foreign, vm.Name)
		}
	}
	for _, name := range budget.Homes(n.settings.DataCentre, foreign, 1) {
		guest := n.shareHolder(now, name)
		guest.Guest = true
		nodes = append(nodes, guest)
	}
	return nodes
}

// accountNodes lists the nodes that may hold shares of the client accounts'
// limits. n.mu must be held.
func (n *Node) accountNodes(now time.Time) []budget.Node {
	var nodes []budget.Node
	for _, vm := range n.index.entries {
		nodes = append(nodes, n.shareHolder(now, vm.Name))
	}
	return nodes
}

// shareHolder describes an entry VM to a ledger and records that it may hold
// shares. n.mu must be held.
func (n *Node) shareHolder(now time.Time, vm string) budget.Node {
	n.shareHolders[vm] = true
	node, _ := n.gossip.Get(vm)
	live := vm == n.settings.VM || n.gossip.IsLive(now, vm)
	return budget.Node{Name: vm, Live: live && !node.Stopping && !n.leavingVMs[vm]}
}

// releaseUnlistedNodes releases the shares of entry VMs that the platform no
// longer lists. An empty list is ignored. n.mu must be held.
func (n *Node) releaseUnlistedNodes(now time.Time, listed map[string]bool) {
	if len(listed) == 0 {
		return
	}
	for vm := range n.shareHolders {
		if listed[vm] {
			continue
		}
		for _, l := range []*budget.Ledger{n.ledger, n.accountLedger} {
			if l != nil {
				n.sendBudgetEffects(l, l.NodeGone(now, vm))
			}
		}
	}
}

// groupIncarnation identifies the engine processes of a whole group. It changes
// when a member restarts or the group is formed again.
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

// sendBudgetEffects sends a ledger's announcements and grants. n.mu must be
// held.
func (n *Node) sendBudgetEffects(l *budget.Ledger, e budget.Effects) {
	for _, a := range e.Announcements {
		n.sendBudgetMessage(l, a.Node, kindAnnouncement, a)
	}
	byNode := map[string][]budget.Grant{}
	for _, g := range e.Grants {
		byNode[g.Node] = append(byNode[g.Node], g)
	}
	for node, grants := range byNode {
		n.sendBudgetMessage(l, node, kindGrants, grants)
	}
}

// sendBudgetMessage sends a ledger's message and passes the usage in the reply
// to the ledger.
func (n *Node) sendBudgetMessage(l *budget.Ledger, node, kind string, message any) {
	n.sendTo(node, kind, message, func(now time.Time, body []byte) {
		var u budget.Usage
		if json.Unmarshal(body, &u) == nil {
			n.handleUsage(now, l, u)
		}
	})
}

// handleUsage passes a node's usage to the ledger if the ledger is still in
// force. n.mu must be held.
func (n *Node) handleUsage(now time.Time, l *budget.Ledger, u budget.Usage) {
	switch {
	case l == nil:
	case l == n.ledger && n.lease.MayOrder(now, messageTimeout),
		l == n.accountLedger && n.accounts.MayOrder(now, messageTimeout):
		n.sendBudgetEffects(l, l.ApplyUsage(now, u))
	}
}

// ledgerFor returns the ledger of a source if this node runs it, and nil
// otherwise. n.mu must be held.
func (n *Node) ledgerFor(source string) *budget.Ledger {
	switch source {
	case accountsLease:
		return n.accountLedger
	case n.settings.DataCentre:
		return n.ledger
	}
	return nil
}

// recordLedger records which node runs the newest ledger of a source.
func (n *Node) recordLedger(source, vm string, term uint64) {
	if term >= n.ledgerLocations[source].term {
		n.ledgerLocations[source] = ledgerLocation{vm: vm, term: term}
	}
}

// handleAnnouncement handles a ledger's announcement and returns all shares that
// this node holds from it. n.mu must be held.
func (n *Node) handleAnnouncement(from string, a budget.Announcement) (budget.Usage, bool) {
	n.recordLedger(a.Source, from, a.Term)
	if !n.shares.ApplyAnnouncement(a) {
		return budget.Usage{}, false
	}
	return n.shares.Report(a.Source, true), true
}

// handleGrants applies grants to this node's shares and returns the changed
// shares. n.mu must be held.
func (n *Node) handleGrants(now time.Time, grants []budget.Grant) (budget.Usage, bool) {
	if len(grants) == 0 {
		return budget.Usage{}, false
	}
	for _, g := range grants {
		n.shares.ApplyGrant(now, g)
	}
	n.applyAdmissionEffects(now, n.admission.Tick(now))
	return n.shares.Report(grants[0].Source, false), true
}

// reportUsage reports this node's changed shares, or all of them if full is
// set, to each ledger. n.mu must be held.
func (n *Node) reportUsage(full bool) {
	for source, seen := range n.ledgerLocations {
		u := n.shares.Report(source, full)
		if len(u.Entries) > 0 || u.Stopping {
			n.sendTo(seen.vm, kindUsage, u, nil)
		}
	}
}

// observeIncarnation updates the shares with the incarnation of the endpoint
// that a report comes from. n.mu must be held.
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
