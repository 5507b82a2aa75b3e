package group

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// fenceRetry is the pause before another attempt when the lease expires too
// soon for an order.
const fenceRetry = time.Second

// sentOrder describes the last order to a VM and its last join order.
type sentOrder struct {
	fence    member.Fence
	action   member.Action
	key      groupKey
	at       time.Time
	answered bool
	joinKey  groupKey
	joinAt   time.Time
}

// orderVM sends the order that moves a VM towards its assigned place, if one
// is needed and allowed by now. A silent VM gets no order until its next
// report.
func (m *Manager) orderVM(v *vm, now time.Time) {
	if !v.isPresent() || v.removed {
		return
	}
	order, wanted := m.nextOrder(v, now)
	if !wanted {
		return
	}
	if at := m.earliestSend(v, &order); at.After(now) {
		m.wakeVMAt(v, at)
		return
	}
	fence, ok := m.fencer.Fence(now)
	if !ok {
		m.wakeVMAt(v, now.Add(fenceRetry))
		return
	}
	order.Fence = fence
	m.sendOrder(v, order, now)
}

// nextOrder returns the order that the VM's report and its assigned place
// require.
func (m *Manager) nextOrder(v *vm, now time.Time) (member.Order, bool) {
	r := &v.report
	g := v.group
	if reportMatchesPlace(v) {
		return member.Order{}, false
	}
	mayJoin := r.Group == "" || !m.opts.enabled(LeaveBeforeJoin)
	if g != nil && mayJoin {
		if !m.earlierJoinsExpired(v, now) {
			return member.Order{VM: v.name, Action: member.Leave}, true
		}
		return joinOrder(v), g.loading && !g.Draining && m.rowPermitsJoin(g)
	}
	if r.Group == "" {
		return member.Order{}, false
	}
	if v.stray != nil {
		if until := m.leaveNotBefore(v.stray); until.After(now) {
			m.wakeVMAt(v, until)
			return member.Order{}, false
		}
	}
	return member.Order{VM: v.name, Action: member.Leave, Group: r.Group, Generation: r.Generation}, true
}

// earlierJoinsExpired reports whether no earlier order to join another place
// can still take effect on a VM that checks fencing: the VM has reported a
// newer fence, or OrderMaxDelay has passed. Until then the VM is ordered to
// leave, which raises its fence.
func (m *Manager) earlierJoinsExpired(v *vm, now time.Time) bool {
	if !v.checksFencing || !m.opts.enabled(FenceWait) {
		return true
	}
	reported, last := v.report.Fence, &v.lastOrder
	if reported.Term < m.term && now.Before(m.unfencedFrom) {
		return false
	}
	key := groupKey{v.group.ID, v.group.Generation}
	mayArrive := last.joinKey != key && now.Before(last.joinAt.Add(m.opts.OrderMaxDelay))
	return !mayArrive || !reported.Before(last.fence)
}

func joinOrder(v *vm) member.Order {
	g := v.group
	return member.Order{
		VM: v.name, Action: member.Join,
		Group: g.ID, Generation: g.Generation, Model: g.Model,
		Rank: v.rank, Members: g.Members,
	}
}

// earliestSend returns the earliest time at which the order may be sent.
func (m *Manager) earliestSend(v *vm, o *member.Order) time.Time {
	key := groupKey{o.Group, o.Generation}
	last := &v.lastOrder
	var at time.Time
	same := last.action == o.Action && last.key == key
	if same || (!last.answered && !v.checksFencing) {
		at = last.at.Add(m.opts.OrderTimeout)
	}
	if o.Action == member.Join && m.opts.enabled(RejoinWait) {
		at = later(at, v.leftAt.Add(m.opts.ReportTTL))
	}
	if v.checksFencing || !m.opts.enabled(FenceWait) {
		return at
	}
	at = later(at, m.unfencedFrom)
	if o.Action == member.Join && last.joinKey != key {
		at = later(at, last.joinAt.Add(m.opts.OrderMaxDelay))
	}
	return at
}

func (m *Manager) sendOrder(v *vm, o member.Order, now time.Time) {
	key := groupKey{o.Group, o.Generation}
	last := &v.lastOrder
	last.fence, last.action, last.key = o.Fence, o.Action, key
	last.at, last.answered = now, false
	if o.Action == member.Join {
		last.joinKey, last.joinAt = key, now
	}
	m.wakeVMAt(v, now.Add(m.opts.OrderTimeout))
	m.emit(SendOrder{Order: o})
}

// handleOrderDone records the answer to an order. The order's effect is taken
// from the VM's reports only.
func (m *Manager) handleOrderDone(now time.Time, ev OrderDone) {
	v := m.vms[ev.VM]
	if v == nil || v.lastOrder.fence != ev.Fence {
		return
	}
	v.lastOrder.answered = !ev.Failed
	if m.stage == stageActive {
		m.updateDerived(v, now)
		m.markVM(v)
	}
}
