package replica

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// Action is what an order tells a VM to do.
type Action string

// Actions of orders.
const (
	Join  Action = "join"  // become a member of a group
	Open  Action = "open"  // serve as the head of a group
	Close Action = "close" // stop serving once all requests have finished
	Leave Action = "leave" // leave a group at once
	Stage Action = "stage" // load a model's weights onto the host
)

// Order is one command to a VM.
type Order struct {
	// ID identifies the order when its outcome is recorded.
	ID      uint64
	VM      string
	Address string
	// Born identifies the start of the VM for which the order is meant.
	Born   int64
	Action Action
	Group  string
	Epoch  uint64
	Model  string
	// Members lists the group's VM IDs, starting with the head.
	Members []string
	// Expected is the number of orders that the VM is believed to have
	// accepted. The VM refuses the order if the number differs.
	Expected uint64
}

// Outcome is the known result of an order.
type Outcome int

// Outcomes of orders.
const (
	// Accepted means that the VM has started to carry out the order.
	Accepted Outcome = iota + 1
	// AlreadyInEffect means that the requested state was already in effect, so nothing
	// was started.
	AlreadyInEffect
	// Refused means that the order did not take effect and never will.
	Refused
	// Unknown means that the answer was lost. The order may still take effect.
	Unknown
)

func (o Outcome) String() string {
	return [...]string{"invalid", "accepted", "holds", "refused", "unknown"}[o]
}

// pending is the last order sent to a VM while its answer is outstanding.
type pending struct {
	order   Order
	sentAt  time.Time
	outcome Outcome // 0 until the answer arrives
}

// send queues an order to a VM unless the VM cannot take one now.
func (p *Planner) send(now time.Time, vm *member, o Order) {
	if !vm.canTakeOrder(now) {
		return
	}
	p.lastOrder++
	o.ID = p.lastOrder
	o.VM, o.Address, o.Born = vm.ID, vm.Address, vm.VM.Born
	o.Expected = vm.acceptedOrderCount()
	vm.pending = &pending{order: o, sentAt: now}
	p.out = append(p.out, o)
}

// RecordOutcome records the outcome of an order.
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
		vm.acceptedAt = now
	}
	p.trackOpen(now, o, outcome)
	if g := p.groups[groupKey{o.Group, o.Epoch}]; g != nil && g.Phase == Dissolving && outcome != Refused {
		g.dissolveOrdered = true
	}
	if outcome == Refused {
		p.countRefusal(o)
	}
	vm.pending = nil
}

// trackOpen records whether a head may still start to serve.
func (p *Planner) trackOpen(now time.Time, o Order, outcome Outcome) {
	g := p.groups[groupKey{o.Group, o.Epoch}]
	switch {
	case g != nil && o.Action == Open && outcome == Unknown:
		g.openOutcomeUnknown = true
	case g != nil && o.Action == Open && outcome != Refused:
		g.openedAt = now
		g.openOutcomeUnknown = false
	case g != nil && o.VM == g.Members[0] && outcome == Accepted:
		g.openOutcomeUnknown = false
	}
}

// countRefusal counts refused Join and Open orders, so that a group that cannot
// form is dissolved.
func (p *Planner) countRefusal(o Order) {
	if g := p.groups[groupKey{o.Group, o.Epoch}]; g != nil && (o.Action == Join || o.Action == Open) {
		g.refusals++
	}
}

// PauseOrders suspends orders to a VM for the duration d that it asked for, at most
// fleet.MaxPause.
func (p *Planner) PauseOrders(now time.Time, vmID string, d time.Duration) {
	if m := p.members[vmID]; m != nil {
		m.retryAt = now.Add(min(d, fleet.MaxPause))
	}
}
