package daemon

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/gossip"
	"github.com/pimentoshore/pimentoshore/coord/group"
	"github.com/pimentoshore/pimentoshore/coord/table"
	"github.com/pimentoshore/pimentoshore/internal/platform"
)

const (
	vmListInterval = 5 * time.Second
	// groupEntry is the prefix of the gossip keys of groups.
	groupEntry = "group/"
)

// publishedGroup is a group as its coordinator publishes it.
type publishedGroup struct {
	Term  uint64      `json:"term"`
	Group group.Group `json:"group"`
}

// groupView holds the known groups of all data centres.
type groupView struct {
	byID map[string]publishedGroup
}

// stepManager passes an event to the group manager and runs the effects. n.mu
// must be held.
func (n *Node) stepManager(now time.Time, ev group.Event) {
	effects := n.manager.Step(now, ev)
	for _, effect := range effects {
		n.runManager(effect)
	}
	if len(effects) > 0 {
		n.publishGroups(now)
	}
}

func (n *Node) runManager(effect group.Effect) {
	switch e := effect.(type) {
	case group.ReadRow:
		n.spawn(n.readGroups)
	case group.WriteRow:
		n.spawn(func(ctx context.Context) { n.writeGroups(ctx, e) })
	case group.SendOrder:
		n.spawn(func(ctx context.Context) { n.sendOrder(ctx, e) })
	case group.Progress:
		n.log.Info("group "+string(e.Notice), "group", e.Group, "generation", e.Generation, "member", e.VM)
	}
}

func (n *Node) readGroups(ctx context.Context) {
	rows, err := n.platform.Get(ctx, group.RowKey(n.settings.DataCentre))
	n.locked(func(now time.Time) {
		if err != nil {
			n.stepManager(now, group.RowReadFailed{})
			return
		}
		n.stepManager(now, group.RowRead{Value: rows[0].Value, Revision: rows[0].Revision})
	})
}

func (n *Node) writeGroups(ctx context.Context, e group.WriteRow) {
	key := group.RowKey(n.settings.DataCentre)
	revision, err := n.platform.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: e.Revision}},
		Writes:     []platform.Write{{Key: key, Value: e.Value}},
	})
	n.locked(func(now time.Time) {
		n.stepManager(now, group.RowWritten{Token: e.Token, Outcome: groupOutcome(err), Revision: revision})
	})
}

func groupOutcome(err error) group.WriteOutcome {
	switch platform.OutcomeOf(err) {
	case table.Applied:
		return group.WriteApplied
	case table.Conflict:
		return group.WriteConflict
	case table.NotWritten:
		return group.WriteNotWritten
	}
	return group.WriteUnknown
}

// sendOrder sends an order unless the remaining lease time is too short for it.
func (n *Node) sendOrder(ctx context.Context, e group.SendOrder) {
	timeout := orderTimeout(n.settings)
	var address string
	allowed := false
	sent := time.Now()
	n.locked(func(now time.Time) {
		sent = now
		allowed = n.lease.MayOrder(now, timeout)
		if vm, ok := n.index.vms[e.Order.VM]; ok {
			address = vm.Address
		}
	})
	done := group.OrderDone{VM: e.Order.VM, Fence: e.Order.Fence, Failed: true}
	if !allowed || address == "" {
		n.locked(func(now time.Time) { n.stepManager(now, done) })
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	report, err := n.orders.Order(ctx, address, e.Order)
	if err != nil {
		n.log.Warn("order failed", "to", e.Order.VM, "action", e.Order.Action, "error", err)
	}
	n.locked(func(now time.Time) {
		done.Failed = err != nil
		n.stepManager(now, done)
		if err == nil {
			n.recordReport(now, sent, report)
		}
	})
}

// publishGroups publishes this coordinator's groups once it has reconciled
// them. Until then the groups published by its predecessor stay in force. n.mu
// must be held.
func (n *Node) publishGroups(now time.Time) {
	g, held := n.lease.Held(now)
	if !held {
		return
	}
	groups := n.manager.Groups()
	if groups == nil {
		return
	}
	n.publishTerm(g.Term)
	current := map[string]bool{}
	for _, grp := range groups {
		p := publishedGroup{Term: g.Term, Group: grp}
		current[grp.ID] = true
		n.groups.put(p)
		if value, err := json.Marshal(p); err == nil {
			n.gossip.Publish(groupEntry+grp.ID, gossip.Global, value)
		}
	}
	for _, id := range n.groups.inDataCentre(n.settings.DataCentre) {
		if !current[id] {
			n.groups.remove(id)
			n.gossip.Withdraw(groupEntry + id)
		}
	}
	n.removeUnknownEndpoints(now)
}

// withdrawGroups withdraws this node's published groups after it has lost the
// lease, because another coordinator now decides on the groups. n.mu must be
// held.
func (n *Node) withdrawGroups() {
	n.gossip.Withdraw(coordinatorEntry)
	self, _ := n.gossip.Get(n.settings.VM)
	for _, e := range self.Entries {
		if strings.HasPrefix(e.Key, groupEntry) {
			n.gossip.Withdraw(e.Key)
		}
	}
}

// updateGroupsFrom updates the known groups with those that a node publishes.
// n.mu must be held.
func (n *Node) updateGroupsFrom(now time.Time, node gossip.Node) {
	known := map[string]bool{}
	term := publishedTerm(&node)
	for _, e := range node.Entries {
		if !strings.HasPrefix(e.Key, groupEntry) || len(e.Value) == 0 {
			continue
		}
		var p publishedGroup
		if json.Unmarshal(e.Value, &p) != nil {
			continue
		}
		term = max(term, p.Term)
		known[p.Group.ID] = true
		n.groups.put(p)
	}
	for _, id := range n.groups.inDataCentre(node.DataCentre) {
		if !known[id] && term > 0 && n.groups.byID[id].Term <= term {
			n.groups.remove(id)
		}
	}
	n.removeUnknownEndpoints(now)
}

// put stores a group unless a newer version is known. Versions are ordered by
// term, then by generation.
func (v *groupView) put(p publishedGroup) {
	old, ok := v.byID[p.Group.ID]
	if ok && (p.Term < old.Term || p.Term == old.Term && p.Group.Generation < old.Group.Generation) {
		return
	}
	if v.byID == nil {
		v.byID = map[string]publishedGroup{}
	}
	v.byID[p.Group.ID] = p
}

func (v *groupView) remove(id string) { delete(v.byID, id) }

// inDataCentre lists the IDs of a data centre's groups.
func (v *groupView) inDataCentre(dataCentre string) []string {
	var ids []string
	for id := range v.byID {
		if strings.HasPrefix(id, dataCentre+"/") {
			ids = append(ids, id)
		}
	}
	return ids
}

// readVMList reads the platform's list of VMs if this node holds a lease.
func (n *Node) readVMList(ctx context.Context) {
	wanted := false
	n.locked(func(now time.Time) {
		_, coordinating := n.lease.Held(now)
		_, dividing := n.accounts.Held(now)
		wanted = coordinating || dividing
	})
	if !wanted {
		return
	}
	vms, err := n.platform.VMs(ctx)
	if err != nil {
		n.log.Debug("reading the VM list failed", "error", err)
		return
	}
	var names []string
	listed := map[string]bool{}
	leaving := map[string]bool{}
	for _, vm := range vms {
		listed[vm.Name] = true
		if vm.Leaving {
			leaving[vm.Name] = true
			names = append(names, vm.Name)
		}
	}
	n.locked(func(now time.Time) {
		n.leavingVMs = leaving
		n.stepManager(now, group.LeavingVMs{Names: names})
		n.releaseUnlistedNodes(now, listed)
	})
}
