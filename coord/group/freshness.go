package group

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// ageList orders the VMs with a fresh report by the time of its probe,
// oldest first, so that expiry visits only what has expired.
type ageList struct{ oldest, newest *vm }

// push inserts a VM. Reports come nearly in order, so it walks few steps.
func (l *ageList) push(v *vm) {
	after := l.newest
	for after != nil && after.sentAt.After(v.sentAt) {
		after = after.older
	}
	v.older = after
	if after == nil {
		v.next = l.oldest
		l.oldest = v
	} else {
		v.next = after.next
		after.next = v
	}
	if v.next == nil {
		l.newest = v
	} else {
		v.next.older = v
	}
}

func (l *ageList) remove(v *vm) {
	if v.older == nil {
		l.oldest = v.next
	} else {
		v.older.next = v.next
	}
	if v.next == nil {
		l.newest = v.older
	} else {
		v.next.older = v.older
	}
	v.older, v.next = nil, nil
}

// reported takes in a report. One that changes nothing costs a constant
// number of steps and marks nothing.
func (m *Manager) reported(now time.Time, ev *Reported) {
	v := m.vms[ev.Report.VM]
	if v == nil || (v.known && ev.SentAt.Before(later(v.sentAt, v.refusedAt))) {
		return
	}
	before := v.report
	wasKnown, wasPresent := v.known, v.present()
	m.store(v, now, ev)
	if m.stage == stageReconciling && !ev.SentAt.Before(m.gainedAt) {
		m.see(v)
	}
	restarted := !wasKnown || before.Incarnation != v.report.Incarnation
	m.noteLeft(v, &before, restarted, now)
	if restarted || wasPresent != v.present() || moved(&before, &v.report) {
		m.presence(v, wasPresent, now)
		m.touch(v, now)
		m.markVM(v)
		m.markGroup(v.group)
	}
	if before.Fence != v.report.Fence {
		m.markVM(v)
	}
	m.measured(v, &before, now)
}

// noteLeft notes when a VM is first seen in no group. A restarted engine is
// no former straggler.
func (m *Manager) noteLeft(v *vm, before *member.Report, restarted bool, now time.Time) {
	if v.report.Group == "" && (restarted || before.Group != "") {
		v.leftAt = now
	}
	if restarted {
		v.slow = false
	}
}

func (m *Manager) store(v *vm, now time.Time, ev *Reported) {
	if v.fresh {
		m.ages.remove(v)
	}
	v.known, v.refused = true, false
	v.report, v.sentAt = ev.Report, ev.SentAt
	v.fresh = now.Sub(v.sentAt) < m.opts.ReportTTL
	if v.fresh {
		m.ages.push(v)
	}
}

// measured looks at what changes with every report of a working group.
func (m *Manager) measured(v *vm, before *member.Report, now time.Time) {
	g := v.group
	if g == nil {
		return
	}
	if g.Draining && v.rank == 0 {
		m.markGroup(g)
	}
	if v.ready && v.report.StepLatency != before.StepLatency {
		m.compareLatency(v, now)
	}
}

// presence keeps the domain's count of present VMs.
func (m *Manager) presence(v *vm, before bool, now time.Time) {
	after := v.present()
	if after == before {
		return
	}
	if after {
		v.domain.present++
		v.domain.returnedAt = now
	} else {
		v.domain.present--
	}
	if 2*v.domain.present < v.domain.size {
		v.domain.dark = true
	}
	m.markDomain(v.domain)
}

// probeRefused takes in that no engine runs on a VM.
func (m *Manager) probeRefused(now time.Time, ev ProbeRefused) {
	v := m.vms[ev.VM]
	if v == nil || v.refused || !v.fresh || ev.SentAt.Before(v.sentAt) {
		return
	}
	v.refused, v.refusedAt = true, ev.SentAt
	m.absent(v, now)
}

// expireReports marks the VMs whose report has become too old.
func (m *Manager) expireReports(now time.Time) {
	for v := m.ages.oldest; v != nil && now.Sub(v.sentAt) >= m.opts.ReportTTL; v = m.ages.oldest {
		m.ages.remove(v)
		wasPresent := v.present()
		v.fresh = false
		if wasPresent {
			m.absent(v, now)
		}
	}
}

func (m *Manager) absent(v *vm, now time.Time) {
	m.countPause(v, now)
	m.presence(v, true, now)
	m.touch(v, now)
	m.markGroup(v.group)
}
