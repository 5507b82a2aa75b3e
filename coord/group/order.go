package group

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// fenceRetry is the pause after the lease was too short for an order.
const fenceRetry = time.Second

// sentOrder is the last order to a VM and the last one to join.
type sentOrder struct {
	fence    member.Fence
	action   member.Action
	key      strayKey
	at       time.Time
	answered bool
	joinKey  strayKey
	joinAt   time.Time
}

// drive sends the VM the order that brings its report nearer to its place.
// A silent VM gets none; its next report drives it again.
func (m *Manager) drive(v *vm, now time.Time) {
	if !v.present() || v.gone {
		return
	}
	order, wanted := m.wanted(v, now)
	if !wanted {
		return
	}
	if at := m.notBefore(v, &order); at.After(now) {
		m.wakeVM(v, at)
		return
	}
	fence, ok := m.fencer.Fence(now)
	if !ok {
		m.wakeVM(v, now.Add(fenceRetry))
		return
	}
	order.Fence = fence
	m.send(v, order, now)
}

// wanted returns the order that the VM's report and its place call for.
func (m *Manager) wanted(v *vm, now time.Time) (member.Order, bool) {
	r := &v.report
	g := v.group
	if placedBy(v) {
		return member.Order{}, false
	}
	mayJoin := r.Group == "" || !m.opts.enabled(ReportedLeave)
	if g != nil && mayJoin {
		if !m.settled(v, now) {
			return member.Order{VM: v.name, Action: member.Leave}, true
		}
		return joinOrder(v), g.loading && !g.Draining && m.rowAllows(g)
	}
	if r.Group == "" {
		return member.Order{}, false
	}
	if v.stray != nil {
		if until := m.heldUntil(v.stray); until.After(now) {
			m.wakeVM(v, until)
			return member.Order{}, false
		}
	}
	return member.Order{VM: v.name, Action: member.Leave, Group: r.Group, Generation: r.Generation}, true
}

// settled reports whether no earlier order to join another place can take
// effect any more at a VM that checks fencing: the VM reports a newer fence,
// or the time for it has passed. Until then the VM is told to leave, which
// raises its fence.
func (m *Manager) settled(v *vm, now time.Time) bool {
	if !v.checksFencing || !m.opts.enabled(FenceWait) {
		return true
	}
	seen, last := v.report.Fence, &v.order
	if seen.Term < m.term && now.Before(m.unfencedFrom) {
		return false
	}
	key := strayKey{v.group.ID, v.group.Generation}
	mayCome := last.joinKey != key && now.Before(last.joinAt.Add(m.opts.OrderMaxDelay))
	return !mayCome || !seen.Before(last.fence)
}

func joinOrder(v *vm) member.Order {
	g := v.group
	return member.Order{
		VM: v.name, Action: member.Join,
		Group: g.ID, Generation: g.Generation, Model: g.Model,
		Rank: v.rank, Members: g.Members,
	}
}

// notBefore returns the earliest time at which the order may be sent.
func (m *Manager) notBefore(v *vm, o *member.Order) time.Time {
	key := strayKey{o.Group, o.Generation}
	last := &v.order
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

func (m *Manager) send(v *vm, o member.Order, now time.Time) {
	key := strayKey{o.Group, o.Generation}
	last := &v.order
	last.fence, last.action, last.key = o.Fence, o.Action, key
	last.at, last.answered = now, false
	if o.Action == member.Join {
		last.joinKey, last.joinAt = key, now
	}
	m.wakeVM(v, now.Add(m.opts.OrderTimeout))
	m.emit(SendOrder{Order: o})
}

// orderDone notes an answer. What the order did is for the reports to say.
func (m *Manager) orderDone(now time.Time, ev OrderDone) {
	v := m.vms[ev.VM]
	if v == nil || v.order.fence != ev.Fence {
		return
	}
	v.order.answered = !ev.Failed
	if m.stage == stageActive {
		m.touch(v, now)
		m.markVM(v)
	}
}
