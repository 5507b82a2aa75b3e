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

// Options set up a Table.
type Options struct {
	// DataCentre is the node's own.
	DataCentre string
	// ColdOverage and ColdSlack bound the requests to a cold endpoint in one
	// second, summed over all nodes: its rate times the overage, plus the
	// slack.
	ColdOverage, ColdSlack float64
	// RepeatRatio, RepeatSlack and RepeatWindow bound the repeats to a
	// service, summed over all nodes: in each window, the ratio of its
	// requests plus the slack.
	RepeatRatio, RepeatSlack float64
	RepeatWindow             time.Duration
}

// Table holds the targets of one node.
type Table struct {
	opts    Options
	nodes   int  // live nodes, this one included
	rank    int  // this node's place among them
	counted bool // the nodes are known
	targets map[string]*Target
	pools   map[poolKey][]*Target
	cats    *catalog.Catalog
	vms     *fleet.Table
	budgets map[string]*repeats
	// usuals are the usual times to an answer, by pool.
	usuals map[poolKey]time.Duration
	// broken are the groups that this node found to lack a VM, told those that
	// another node of its data centre did.
	broken, told map[fleet.Formation]bool
	// groups and joining are those of the newest update: the VMs of each group
	// and the VMs that are about to be heads.
	groups  map[fleet.Formation][]*fleet.VM
	joining []string
}

// poolKey names the endpoints among which a request may choose.
type poolKey struct{ service, model string }

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{
		opts: opts, nodes: 1,
		targets: make(map[string]*Target),
		pools:   make(map[poolKey][]*Target),
		budgets: make(map[string]*repeats),
		usuals:  make(map[poolKey]time.Duration),
		broken:  make(map[fleet.Formation]bool),
		told:    make(map[fleet.Formation]bool),
		groups:  make(map[fleet.Formation][]*fleet.VM),
	}
}

// SetNodes says how many nodes share the bounds, and which of them this one
// is, from 0; it is n if it is not listed yet.
func (t *Table) SetNodes(n, rank int) {
	t.nodes, t.rank, t.counted = max(1, n), rank, true
}

// Update follows the VMs, the catalog and the evacuated data centres. It
// returns the tickets whose targets are lost.
func (t *Table) Update(now time.Time, vms *fleet.Table, cat *catalog.Catalog, evacuated map[string]bool) []*Ticket {
	t.vms, t.cats = vms, cat
	groups := t.membersByGroup(vms)
	releases := newestReleases(vms)
	clear(t.pools)
	clear(t.broken)
	t.joining = t.joining[:0]
	var lost []*Ticket
	for _, vm := range vms.All() {
		if joinsAsHead(vm) {
			t.joining = append(t.joining, vm.ID)
		}
		if isMember(vm) && t.targets[vm.ID] == nil {
			continue // requests go to heads alone
		}
		target := t.follow(vm)
		target.observe(vm, t.lag(vm.Service), t.nodes, t.rank)
		works, serves := t.describe(now, vm, target, groups)
		target.predictLoss(now, vm, groups[vm.Formation()], releases[vm.Service])
		if !works || dead(now, vm) {
			lost = target.drop(lost)
			continue
		}
		if serves && vm.Listed && !vm.Departing() && !evacuated[vm.DataCentre] {
			key := poolKey{vm.Service, target.Model}
			t.pools[key] = append(t.pools[key], target)
		}
	}
	for id := range t.targets {
		if vms.Get(id) == nil {
			lost = t.targets[id].drop(lost)
			delete(t.targets, id)
		}
	}
	return lost
}

// lag returns the age of the figures in the reports of a service's VMs.
func (t *Table) lag(service string) time.Duration {
	if svc := t.cats.Service(service); svc != nil && svc.Engine != nil {
		return svc.Engine.ReportLag
	}
	return 0
}

// follow returns the target of a VM. A VM that has started again or serves as
// another group's head is another target.
func (t *Table) follow(vm *fleet.VM) *Target {
	target := t.targets[vm.ID]
	if target == nil {
		target = &Target{ID: vm.ID, tickets: make(map[*Ticket]struct{}), pace: 1}
		t.targets[vm.ID] = target
	}
	if target.Born != vm.Born || target.Address != vm.Address {
		target.Born, target.Address = vm.Born, vm.Address
		target.health, target.others, target.pause = health{}, 0, pause{}
	}
	target.DataCentre, target.Service, target.Slots = vm.DataCentre, vm.Service, vm.Slots
	return target
}

// describe fills in a target's group. works is whether requests that are at
// the VM may end well, and serves whether it takes more.
func (t *Table) describe(now time.Time, vm *fleet.VM, target *Target, groups map[fleet.Formation][]*fleet.VM) (works, serves bool) {
	if !vm.Engine {
		return true, true
	}
	if vm.Rank != 0 || vm.Stage != fleet.Open && vm.Stage != fleet.Closing {
		target.Group, target.Model = "", ""
		return false, false
	}
	if target.Group != vm.Group || target.Epoch != vm.Epoch {
		target.Group, target.Epoch = vm.Group, vm.Epoch
		target.health = health{}
		target.allowed = target.round(float64(vm.Slots)/float64(t.nodes), vm.Epoch, t.rank)
	}
	target.Model = vm.Model
	members := groups[vm.Formation()]
	target.Members = target.Members[:0]
	for _, m := range members {
		target.Members = append(target.Members, m.ID)
		if m.FailedProbes >= deadProbes {
			t.broken[vm.Formation()] = true
		}
	}
	if t.broken[vm.Formation()] || t.told[vm.Formation()] && !target.progressed(now) {
		return false, false
	}
	works = t.complete(vm, len(members))
	return works, works && vm.Stage == fleet.Open
}

// Broken returns the groups that this node or one that tells it found to lack a
// VM.
func (t *Table) Broken() []fleet.Formation {
	all := maps.Clone(t.broken)
	maps.Copy(all, t.told)
	out := slices.Collect(maps.Keys(all))
	slices.SortFunc(out, func(a, b fleet.Formation) int {
		return cmp.Or(strings.Compare(a.Group, b.Group), cmp.Compare(a.Epoch, b.Epoch))
	})
	return out
}

// SetReportedBroken replaces the groups that another node of the data centre found to
// lack a VM. Requests that make progress there show this node the opposite.
func (t *Table) SetReportedBroken(broken []fleet.Formation) {
	clear(t.told)
	for _, f := range broken {
		t.told[f] = true
	}
}

// Members returns the VMs of the group whose head is the VM, if requests may
// go there.
func (t *Table) Members(head string) []string {
	if target := t.targets[head]; target != nil && target.Group != "" {
		return target.Members
	}
	return nil
}

// complete reports whether a group has as many members as its model needs.
func (t *Table) complete(head *fleet.VM, members int) bool {
	svc := t.cats.Service(head.Service)
	if svc == nil || svc.Engine == nil {
		return false
	}
	model := svc.Engine.Model(head.Model)
	return model != nil && members >= model.GroupSize
}

const (
	// deadProbes and deadFor are what a VM's silence must last to end the
	// requests at it.
	deadProbes = 2
	deadFor    = 300 * time.Millisecond
)

func dead(now time.Time, vm *fleet.VM) bool {
	return vm.FailedProbes >= deadProbes && now.Sub(vm.FailedSince) >= deadFor
}

// drop appends the target's tickets to lost.
func (t *Target) drop(lost []*Ticket) []*Ticket {
	for ticket := range t.tickets {
		lost = append(lost, ticket)
	}
	return lost
}

// isMember reports whether a VM is in a group whose head is another one.
func isMember(vm *fleet.VM) bool { return vm.Engine && vm.Group != "" && vm.Rank != 0 }

// joinsAsHead reports whether a VM is about to be the head of a group.
func joinsAsHead(vm *fleet.VM) bool {
	return vm.Listed && vm.Group != "" && vm.Rank == 0 && (vm.Stage == fleet.Joining || vm.Stage == fleet.Ready)
}

// membersByGroup returns the VMs of each group. Its slices are used again by
// the next call.
func (t *Table) membersByGroup(vms *fleet.Table) map[fleet.Formation][]*fleet.VM {
	for key, members := range t.groups {
		if len(members) == 0 {
			delete(t.groups, key) // it was empty the last time
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

// Heads returns the IDs of the VMs that requests may go to now or soon, to be
// probed.
func (t *Table) Heads() []string {
	out := slices.Clone(t.joining)
	for _, pool := range t.pools {
		for _, target := range pool {
			if target.Group != "" {
				out = append(out, target.ID)
			}
		}
	}
	return out
}

// Stalled returns the heads at which no request of this node has made progress
// for d, though one has begun or has waited for first. Others that have just
// been sent show nothing.
func (t *Table) Stalled(now time.Time, d, first time.Duration) []string {
	var out []string
	for id, target := range t.targets {
		if target.Group != "" && target.stalled(now, d, first) {
			out = append(out, id)
		}
	}
	return out
}

func (t *Target) stalled(now time.Time, d, first time.Duration) bool {
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

// Silent returns the tickets at groups that have made no progress for d, or for
// first if they never made any.
func (t *Table) Silent(now time.Time, d, first time.Duration) []*Ticket {
	var out []*Ticket
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
				out = append(out, ticket)
			}
		}
	}
	return out
}
