package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// Options configure a Table.
type Options struct {
	// DataCentre is the data centre of this node.
	DataCentre string
	// ColdOverage and ColdSlack limit the requests that all nodes together
	// send to a cold endpoint in one second: its rate times the overage, plus
	// the slack.
	ColdOverage, ColdSlack float64
	// RepeatRatio, RepeatSlack and RepeatWindow limit the repeats that all
	// nodes together send to a service: in each window, the ratio times the
	// number of its requests, plus the slack.
	RepeatRatio, RepeatSlack float64
	RepeatWindow             time.Duration
	// StartedAt is when this process started, or zero if that was long ago. What a
	// process that ran here before has sent is unknown.
	StartedAt time.Time
}

// Table tracks the targets of one node.
type Table struct {
	opts       Options
	nodes      int // number of live nodes, including this one
	rank       int // index of this node among them
	nodeCounts nodeCounts
	// demandShare is this node's part of all nodes' requests, from 0 to 1. It counts
	// only if demandKnown is set.
	demandShare float64
	demandKnown bool
	targets     map[string]*Target
	pools       map[poolKey][]*Target
	catalog     *catalog.Catalog
	vms         *fleet.Table
	budgets     map[string]*repeatCounter
	// firstByteTimes are the mean times to the first byte, by pool.
	firstByteTimes map[poolKey]time.Duration
	// promptLengths are the mean lengths of prompts, by pool.
	promptLengths map[poolKey]promptLength
	prefixHolders prefixHolders
	// broken contains the groups that this node found to be missing a VM,
	// reportedBroken those that another node of its data centre found.
	broken, reportedBroken map[fleet.Formation]bool
	returnedAt             func(dataCentre string) time.Time // nil until SetReturnedAt
	// groups and joiningHeads are derived by the last Update: the VMs of each
	// group and the IDs of the VMs that are about to become heads.
	groups       map[fleet.Formation][]*fleet.VM
	joiningHeads []string
	ranks        []int // reused by listMembers
	// heldSince is since when requests of a rank have been held back.
	heldSince map[rankKey]time.Time
}

// poolKey identifies the pool of endpoints from which a request's target is
// chosen.
type poolKey struct{ service, model string }

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{
		opts: opts, nodes: 1,
		targets:        make(map[string]*Target),
		pools:          make(map[poolKey][]*Target),
		budgets:        make(map[string]*repeatCounter),
		firstByteTimes: make(map[poolKey]time.Duration),
		promptLengths:  make(map[poolKey]promptLength),
		prefixHolders:  make(prefixHolders),
		broken:         make(map[fleet.Formation]bool),
		reportedBroken: make(map[fleet.Formation]bool),
		groups:         make(map[fleet.Formation][]*fleet.VM),
		heldSince:      make(map[rankKey]time.Time),
	}
}

// SetNodes sets the number of nodes that share the limits and the index of this
// node among them, from 0. The index is n if this node is not listed yet. It
// returns the number before, 0 if that was unknown.
func (t *Table) SetNodes(now time.Time, n, rank int) (before int) {
	before = t.nodeCounts.newest()
	t.nodes, t.rank = max(1, n), rank
	t.nodeCounts.set(now, t.nodes)
	return before
}

// Update rebuilds the targets and pools from the VMs, the catalog and the
// evacuated data centres. It returns the requests whose answers may not go on.
func (t *Table) Update(now time.Time, vms *fleet.Table, cat *catalog.Catalog, evacuated map[string]bool) []Loss {
	t.vms, t.catalog = vms, cat
	groups := t.membersByGroup(vms)
	releases := newestReleases(vms)
	clear(t.pools)
	clear(t.broken)
	t.joiningHeads = t.joiningHeads[:0]
	var losses []Loss
	for _, vm := range vms.All() {
		if isJoiningHead(vm) {
			t.joiningHeads = append(t.joiningHeads, vm.ID)
		}
		if isMember(vm) && t.targets[vm.ID] == nil {
			continue // only heads receive requests
		}
		target := t.ensureTarget(vm)
		target.unknownWarmthUntil = t.unknownWarmthUntil(vm)
		target.applyReport(vm, t.reportLag(vm.Service), t.nodes, t.rank)
		lossReason, accepting := t.updateGroup(now, vm, target, groups)
		target.predictLoss(now, vm, groups[vm.Formation()], releases[vm.Service])
		if lossReason == "" && isDead(now, vm) {
			lossReason = Unanswered
			if hasEnded(now, vm) {
				lossReason = Ended
			}
		}
		if lossReason != "" {
			losses = target.appendLosses(losses, lossReason)
			continue
		}
		if accepting && vm.Listed && !vm.Departing() && !evacuated[vm.DataCentre] {
			key := poolKey{vm.Service, target.Model}
			t.pools[key] = append(t.pools[key], target)
		}
	}
	for id := range t.targets {
		if vms.Get(id) == nil {
			losses = t.targets[id].appendLosses(losses, Gone)
			delete(t.targets, id)
		}
	}
	return losses
}

// reportLag returns the age of the figures in the reports of a service's VMs.
func (t *Table) reportLag(service string) time.Duration {
	if svc := t.catalog.Service(service); svc != nil && svc.Engine != nil {
		return svc.Engine.ReportLag
	}
	return 0
}

// ensureTarget returns the target of a VM, creating it if necessary. The state
// of the target is reset if the VM has restarted or changed its address.
func (t *Table) ensureTarget(vm *fleet.VM) *Target {
	target := t.targets[vm.ID]
	if target == nil {
		target = &Target{ID: vm.ID, tickets: make(map[*Ticket]struct{}), pace: 1}
		t.targets[vm.ID] = target
	}
	if target.Born != vm.Born || target.Address != vm.Address {
		target.Born, target.Address = vm.Born, vm.Address
		target.health, target.otherRequests, target.pause, target.limiter = health{}, 0, pause{}, limiter{}
	}
	target.DataCentre, target.Service, target.Slots = vm.DataCentre, vm.Service, max(0, vm.Slots)
	return target
}

// updateGroup updates the group of a target. loss is why requests already at the VM
// may not succeed, or "", and accepting whether it accepts new ones.
// The target's health and quota are reset when it becomes the head of another
// group.
func (t *Table) updateGroup(now time.Time, vm *fleet.VM, target *Target, groups map[fleet.Formation][]*fleet.VM) (loss LossReason, accepting bool) {
	if !vm.Engine {
		return "", true
	}
	if vm.Rank != 0 || vm.Stage != fleet.Open && vm.Stage != fleet.Closing {
		target.Group, target.Model = "", ""
		return LeftGroup, false
	}
	if target.Group != vm.Group || target.Epoch != vm.Epoch {
		target.Group, target.Epoch = vm.Group, vm.Epoch
		target.health = health{}
		target.groupSize = 0
		target.quota = target.roundRandomly(float64(vm.Slots)/float64(t.nodes), vm.Epoch, t.rank)
	}
	target.Model = vm.Model
	required := t.requiredSize(vm)
	members := t.listMembers(vm, target, groups, max(required, target.groupSize))
	complete := required > 0 && members >= required
	if complete {
		target.groupSize = max(target.groupSize, required)
	}
	loss = t.groupLoss(now, target, members)
	return loss, loss == "" && complete && vm.Stage == fleet.Open
}

// groupLoss returns why requests at a group, of which the given number of members is
// known, may not succeed, or "".
func (t *Table) groupLoss(now time.Time, target *Target, members int) LossReason {
	formation := fleet.Formation{Group: target.Group, Epoch: target.Epoch}
	switch {
	case t.broken[formation] && t.hasEndedMember(now, target):
		return Ended
	case target.groupSize == 0 || members < target.groupSize:
		return Incomplete
	case t.broken[formation]:
		return MemberUnanswered
	case t.reportedBroken[formation] && !target.hasRecentProgress(now):
		return ReportedBroken
	}
	return ""
}

// hasEndedMember reports whether a VM of the target's group has certainly ended.
func (t *Table) hasEndedMember(now time.Time, target *Target) bool {
	return slices.ContainsFunc(target.Members, func(id string) bool {
		m := t.vms.Get(id)
		return m != nil && m.FailedProbes >= deadProbes && hasEnded(now, m)
	})
}

// listMembers lists the members of a head's group of the given size, and records
// whether one of them is dead. VMs with a rank beyond the size name the group without
// belonging to it, and are dropped from groups. listMembers returns the number of
// different ranks.
func (t *Table) listMembers(head *fleet.VM, target *Target, groups map[fleet.Formation][]*fleet.VM, size int) int {
	formation := head.Formation()
	members := groups[formation]
	if size > 0 {
		members = slices.DeleteFunc(members, func(m *fleet.VM) bool { return m.Rank < 0 || m.Rank >= size })
		groups[formation] = members
	}
	target.Members = target.Members[:0]
	ranks := t.ranks[:0]
	for _, m := range members {
		target.Members = append(target.Members, m.ID)
		if m.FailedProbes >= deadProbes {
			t.broken[formation] = true
		}
		if !slices.Contains(ranks, m.Rank) {
			ranks = append(ranks, m.Rank)
		}
	}
	t.ranks = ranks
	return len(ranks)
}

// Broken returns the groups that this node, or another node that reports to it,
// found to be missing a VM. They are sorted by name and epoch.
func (t *Table) Broken() []fleet.Formation {
	all := maps.Clone(t.broken)
	maps.Copy(all, t.reportedBroken)
	out := slices.Collect(maps.Keys(all))
	slices.SortFunc(out, func(a, b fleet.Formation) int {
		return cmp.Or(strings.Compare(a.Group, b.Group), cmp.Compare(a.Epoch, b.Epoch))
	})
	return out
}

// SetReportedBroken replaces the set of groups that another node of the data
// centre found to be missing a VM. Such a group is still used while requests of
// this node make progress there.
func (t *Table) SetReportedBroken(broken []fleet.Formation) {
	clear(t.reportedBroken)
	for _, f := range broken {
		t.reportedBroken[f] = true
	}
}

// Members returns the IDs of the VMs of the group that has the given head, or nil
// if the VM is not the head of a serving group.
func (t *Table) Members(head string) []string {
	if target := t.targets[head]; target != nil && target.Group != "" {
		return target.Members
	}
	return nil
}

// requiredSize returns the number of VMs that the configuration in force requires
// of a head's group, or 0 if it doesn't name the group's service or model.
func (t *Table) requiredSize(head *fleet.VM) int {
	svc := t.catalog.Service(head.Service)
	if svc == nil || svc.Engine == nil {
		return 0
	}
	model := svc.Engine.Model(head.Model)
	if model == nil {
		return 0
	}
	return model.GroupSize
}

const (
	// deadProbes is the number of failed probes, and deadAfter the time since
	// the first of them, after which the requests at a VM are lost.
	deadProbes = 2
	deadAfter  = 300 * time.Millisecond
)

func isDead(now time.Time, vm *fleet.VM) bool {
	return vm.FailedProbes >= deadProbes && now.Sub(vm.FailedSince) >= deadAfter
}

// isMember reports whether a VM belongs to a group but is not its head.
func isMember(vm *fleet.VM) bool { return vm.Engine && vm.Group != "" && vm.Rank != 0 }

// isJoiningHead reports whether a VM is about to become the head of a group.
func isJoiningHead(vm *fleet.VM) bool {
	return vm.Listed && vm.Group != "" && !vm.IsStandby() && vm.Rank == 0 && (vm.Stage == fleet.Joining || vm.Stage == fleet.Ready)
}

// membersByGroup returns the VMs of each group. The next call reuses the map and
// its slices.
func (t *Table) membersByGroup(vms *fleet.Table) map[fleet.Formation][]*fleet.VM {
	for key, members := range t.groups {
		if len(members) == 0 {
			delete(t.groups, key) // it was already empty after the previous call
			continue
		}
		t.groups[key] = members[:0]
	}
	for _, vm := range vms.All() {
		if vm.Group != "" {
			key := vm.Formation()
			t.groups[key] = append(t.groups[key], vm)
		}
	}
	return t.groups
}

// Heads returns the IDs of the heads that receive requests now or may soon, so
// that they can be probed.
func (t *Table) Heads() []string {
	out := slices.Clone(t.joiningHeads)
	for _, pool := range t.pools {
		for _, target := range pool {
			if target.Group != "" {
				out = append(out, target.ID)
			}
		}
	}
	return out
}

// Stalled returns the IDs of the heads at which no request of this node has made
// progress for d, although the answer of one has begun or one was sent at least
// first ago. Requests sent more recently are no evidence of a stall.
func (t *Table) Stalled(now time.Time, d, first time.Duration) []string {
	var out []string
	for id, target := range t.targets {
		if target.Group != "" && target.isStalled(now, d, first) {
			out = append(out, id)
		}
	}
	return out
}

func (t *Target) isStalled(now time.Time, d, first time.Duration) bool {
	if now.Sub(t.progressAt) < d {
		return false
	}
	for ticket := range t.tickets {
		if ticket.Begun || now.Sub(ticket.sentAt) >= first {
			return true
		}
	}
	return false
}

// Silent returns the requests at groups that have made no progress for d, or for
// first if their answer has not begun.
func (t *Table) Silent(now time.Time, d, first time.Duration) []Loss {
	var out []Loss
	for _, target := range t.targets {
		if target.Group == "" {
			continue
		}
		for ticket := range target.tickets {
			limit := first
			if ticket.Begun {
				limit = d
			}
			if now.Sub(ticket.ProgressAt) >= limit {
				out = append(out, Loss{ticket, NoProgress})
			}
		}
	}
	return out
}
