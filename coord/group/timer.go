package group

import (
	"container/heap"
	"time"
)

// alarm asks to look at one VM or group again at a time.
type alarm struct {
	at    time.Time
	seq   uint64 // breaks ties in order of setting
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

// wakeup is the earliest alarm set for one entity.
type wakeup struct{ at time.Time }

// needs reports whether an alarm at t has to be set.
func (w *wakeup) needs(t time.Time) bool {
	if !w.at.IsZero() && !t.Before(w.at) {
		return false
	}
	w.at = t
	return true
}

// fired clears the wakeup if the alarm is the one that it waits for.
func (w *wakeup) fired(at time.Time) bool {
	if !w.at.Equal(at) {
		return false
	}
	w.at = time.Time{}
	return true
}

func (m *Manager) wakeVM(v *vm, at time.Time) {
	if v.wake.needs(at) {
		m.setAlarm(alarm{at: at, vm: v})
	}
}

func (m *Manager) wakeGroup(g *groupState, at time.Time) {
	if g.wake.needs(at) {
		m.setAlarm(alarm{at: at, group: g})
	}
}

func (m *Manager) setAlarm(a alarm) {
	m.alarmSeq++
	a.seq = m.alarmSeq
	heap.Push(&m.alarms, a)
}

// fireAlarms marks what has become due.
func (m *Manager) fireAlarms(now time.Time) {
	for len(m.alarms) > 0 && !m.alarms[0].at.After(now) {
		a := heap.Pop(&m.alarms).(alarm)
		m.visits++
		if a.vm != nil && a.vm.wake.fired(a.at) {
			m.touch(a.vm, now)
			m.markVM(a.vm)
		}
		if a.group != nil && a.group.wake.fired(a.at) {
			m.markGroup(a.group)
			m.markDomain(a.group.domain)
		}
	}
}
