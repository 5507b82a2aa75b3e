package group

import (
	"container/heap"
	"time"
)

// alarm schedules the reevaluation of one VM or group.
type alarm struct {
	at    time.Time
	seq   uint64 // orders alarms with equal times by creation
	vm    *vm
	group *groupState
}

type alarmHeap []alarm

func (h alarmHeap) Len() int { return len(h) }

func (h alarmHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h alarmHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *alarmHeap) Push(x any) { *h = append(*h, x.(alarm)) }

func (h *alarmHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = alarm{}
	*h = old[:len(old)-1]
	return last
}

// wakeup is the earliest alarm set for one VM or group.
type wakeup struct{ at time.Time }

// moveEarlier moves the wakeup to t unless an earlier one is set, and reports
// whether it did.
func (w *wakeup) moveEarlier(t time.Time) bool {
	if !w.at.IsZero() && !t.Before(w.at) {
		return false
	}
	w.at = t
	return true
}

// clearIfDue clears the wakeup if it is set for the given time, and reports
// whether it did.
func (w *wakeup) clearIfDue(at time.Time) bool {
	if !w.at.Equal(at) {
		return false
	}
	w.at = time.Time{}
	return true
}

func (m *Manager) wakeVMAt(v *vm, at time.Time) {
	if v.wake.moveEarlier(at) {
		m.setAlarm(alarm{at: at, vm: v})
	}
}

func (m *Manager) wakeGroupAt(g *groupState, at time.Time) {
	if g.wake.moveEarlier(at) {
		m.setAlarm(alarm{at: at, group: g})
	}
}

func (m *Manager) setAlarm(a alarm) {
	m.alarmSeq++
	a.seq = m.alarmSeq
	heap.Push(&m.alarms, a)
}

// fireAlarms marks the VMs and groups whose alarms are due.
func (m *Manager) fireAlarms(now time.Time) {
	for len(m.alarms) > 0 && !m.alarms[0].at.After(now) {
		a := heap.Pop(&m.alarms).(alarm)
		m.visits++
		if a.vm != nil && a.vm.wake.clearIfDue(a.at) {
			m.updateDerived(a.vm, now)
			m.markVM(a.vm)
		}
		if a.group != nil && a.group.wake.clearIfDue(a.at) {
			m.markGroup(a.group)
			m.markDomain(a.group.domain)
		}
	}
}
