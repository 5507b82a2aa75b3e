package replica

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// Action is what an order asks for.
type Action string

// Actions of orders.
const (
	Join  Action = "join"  // become a member of a group
	Open  Action = "open"  // serve as the head of a group
	Close Action = "close" // stop serving once the work is done
	Leave Action = "leave" // leave a group at once
	Stage Action = "stage" // load a model's weights onto the host
)

// Order is one command to a VM.
type Order struct {
	// ID matches the answer to its order.
	ID      uint64
	VM      string
	Address string
	// Born is the VM's start that the order is meant for.
	Born   int64
	Action Action
	Group  string
	Epoch  uint64
	Model  string
	// Members lists a group's VMs, its head first.
	Members []string
	// Expected is the number of orders that the VM has accepted so far; the
	// VM refuses the order if it differs.
	Expected uint64
}

// Outcome is what is known of an order.
type Outcome int

// Outcomes of orders.
const (
	// Accepted means that the order has begun.
	Accepted Outcome = iota + 1
	// AlreadyInEffect means that its effect held already, so that nothing has begun.
	AlreadyInEffect
	// Refused means that it didn't and won't take effect.
	Refused
	// Unknown means that the answer was lost: it may yet take effect.
	Unknown
)

// String names the outcome.
func (o Outcome) String() string {
	return [...]string{"invalid", "accepted", "holds", "refused", "unknown"}[o]
}

// pending is the newest order to a VM whose effect no report has shown.
type pending struct {
	order   Order
	sentAt  time.Time
	outcome Outcome // 0 until answered
}

// send emits an order to a VM unless one is under way.
func (p *Planner) send(now time.Time, vm *member, o Order) {
	if !vm.idle(now) {
		return
	}
	p.lastOrder++
	o.ID = p.lastOrder
	o.VM, o.Address, o.Born = vm.ID, vm.Address, vm.VM.Born
	o.Expected = vm.accepted()
	vm.pending = &pending{order: o, sentAt: now}
	p.out = append(p.out, o)
}

// RecordOutcome takes in the outcome of an order.
func (p *Planner) RecordOutcome(now time.Time, id uint64, vmID string, outcome Outcome) {
	vm := p.members[vmID]
	if vm == nil || vm.pending == nil || vm.pending.order.ID != id {
		return
	}
	o := vm.pending.order
	vm.pending.outcome = outcome
	vm.retryAt = now.Add(retryPause)
	if outcome == Accepted {
		vm.acceptedOrders = max(vm.acceptedOrders, o.Expected+1)
		vm.acceptedBorn = o.Born
	}
	if outcome == Accepted || outcome == AlreadyInEffect {
		vm.settleAt = now
	}
	p.noteOpen(now, o, outcome)
	if g := p.groups[groupKey{o.Group, o.Epoch}]; g != nil && g.Phase == Dissolving && outcome != Refused {
		g.ordered = true
	}
	if outcome == Refused {
		p.refused(o)
	}
	vm.pending = nil
}

// noteOpen remembers heads that may yet begin to serve.
func (p *Planner) noteOpen(now time.Time, o Order, outcome Outcome) {
	g := p.groups[groupKey{o.Group, o.Epoch}]
	switch {
	case g != nil && o.Action == Open && outcome == Unknown:
		g.openUnsettled = true
	case g != nil && o.Action == Open && outcome != Refused:
		g.openedAt = now
		g.openUnsettled = false
	case g != nil && o.VM == g.Members[0] && outcome == Accepted:
		g.openUnsettled = false
	}
}

// refused counts refusals, so that a group that can't be formed is given up.
func (p *Planner) refused(o Order) {
	if g := p.groups[groupKey{o.Group, o.Epoch}]; g != nil && (o.Action == Join || o.Action == Open) {
		g.refusals++
	}
}

// PauseOrders keeps orders from a VM that wants none for d.
func (p *Planner) PauseOrders(now time.Time, vmID string, d time.Duration) {
	if m := p.members[vmID]; m != nil {
		m.retryAt = now.Add(min(d, fleet.MaxPause))
	}
}
