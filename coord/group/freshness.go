package group

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// ageList lists the VMs with a fresh report in the order of their probes,
// oldest first, so that expiry visits only the VMs whose report has expired.
type ageList struct{ oldest, newest *vm }

// push inserts a VM. It searches from the newest report, which takes few steps
// since reports arrive nearly in order.
func (l *ageList) push(v *vm) {
	after := l.newest
	for after != nil && after.sentAt.After(v.sentAt) {
		after = after.older
	}
	v.older = after
	if after == nil {
		v.newer = l.oldest
		l.oldest = v
	} else {
		v.newer = after.newer
		after.newer = v
	}
	if v.newer == nil {
		l.newest = v
	} else {
		v.newer.older = v
	}
}

func (l *ageList) remove(v *vm) {
	if v.older == nil {
		l.oldest = v.newer
	} else {
		v.older.newer = v.newer
	}
	if v.newer == nil {
		l.newest = v.older
	} else {
		v.newer.older = v.older
	}
	v.older, v.newer = nil, nil
}

// handleReport stores a report. A report that changes nothing takes a constant
// number of steps and schedules no reevaluation.
func (m *Manager) handleReport(now time.Time, ev *Reported) {
	v := m.vms[ev.Report.VM]
	if v == nil || (v.hasReport && ev.SentAt.Before(later(v.sentAt, v.refusedAt))) {
		return
	}
	before := v.report
	hadReport, wasPresent := v.hasReport, v.isPresent()
	m.storeReport(v, now, ev)
	if m.stage == stageReconciling && !ev.SentAt.Before(m.reportsSince) {
		m.markReported(v)
	}
	restarted := !hadReport || before.Incarnation != v.report.Incarnation
	m.recordLeave(v, &before, restarted, now)
	if restarted || wasPresent != v.isPresent() || hasMoved(&before, &v.report) {
		m.updatePresence(v, wasPresent, now)
		m.updateDerived(v, now)
		m.markVM(v)
		m.markGroup(v.group)
	}
	if before.Fence != v.report.Fence {
		m.markVM(v)
	}
	m.handleMeasurements(v, &before, now)
}

// recordLeave records when a VM is first seen without a group. A restarted
// engine no longer counts as a former straggler.
func (m *Manager) recordLeave(v *vm, before *member.Report, restarted bool, now time.Time) {
	if v.report.Group == "" && (restarted || before.Group != "") {
		v.leftAt = now
	}
	if restarted {
		v.wasStraggler = false
	}
}

func (m *Manager) storeReport(v *vm, now time.Time, ev *Reported) {
	if v.fresh {
		m.ages.remove(v)
	}
	v.hasReport, v.refused = true, false
	v.report, v.sentAt = ev.Report, ev.SentAt
	v.fresh = now.Sub(v.sentAt) < m.opts.ReportTTL
	if v.fresh {
		m.ages.push(v)
	}
}

// handleMeasurements processes the values that change with every report of a
// working group: the work in flight and the step latency.
func (m *Manager) handleMeasurements(v *vm, before *member.Report, now time.Time) {
	g := v.group
	if g == nil {
		return
	}
	if g.Draining && v.rank == 0 {
		m.markGroup(g)
	}
	if v.ready && v.report.StepLatency != before.StepLatency {
		m.updateSlowSince(v, now)
	}
}

// updatePresence updates the domain's count of present VMs and its outage
// state.
func (m *Manager) updatePresence(v *vm, before bool, now time.Time) {
	after := v.isPresent()
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
		v.domain.outage = true
	}
	m.markDomain(v.domain)
}

// handleProbeRefused records that no engine runs on a VM.
func (m *Manager) handleProbeRefused(now time.Time, ev ProbeRefused) {
	v := m.vms[ev.VM]
	if v == nil || v.refused || !v.fresh || ev.SentAt.Before(v.sentAt) {
		return
	}
	v.refused, v.refusedAt = true, ev.SentAt
	m.handleAbsence(v, now)
}

// expireReports processes the VMs whose report has expired.
func (m *Manager) expireReports(now time.Time) {
	for v := m.ages.oldest; v != nil && now.Sub(v.sentAt) >= m.opts.ReportTTL; v = m.ages.oldest {
		m.ages.remove(v)
		wasPresent := v.isPresent()
		v.fresh = false
		if wasPresent {
			m.handleAbsence(v, now)
		}
	}
}

func (m *Manager) handleAbsence(v *vm, now time.Time) {
	m.countPause(v, now)
	m.updatePresence(v, true, now)
	m.updateDerived(v, now)
	m.markGroup(v.group)
}
