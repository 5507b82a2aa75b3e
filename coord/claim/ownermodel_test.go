package claim

import (
	"math/rand/v2"
	"time"
)

// ownerModel is a simple model of a strategy that is not implemented. Each key has
// a home data centre, whose lease holder claims the key: in the table while that
// is reachable, and otherwise in its own memory, as long as every other VM of its
// data centre promises not to take over the lease.
type ownerModel struct {
	rng            *rand.Rand
	schedule       schedule
	sites          int
	perSite        int
	holders        []int           // lease holder of each site (index of the VM)
	leaseLapsed    []bool          // the lease expired while the table was down
	takeoverAt     []time.Duration // the site has no holder before this time
	inMemory       []bool          // the holder has claims that are only in its memory
	uncertainUntil []time.Duration // until this time, keys that the holder does not know may have run
	runs           map[int]int
}

const (
	leaseLength = 10 * time.Second
	// repeatWindow is how long a key may be repeated after it was first sent.
	repeatWindow = outageTimeout
	serveTime    = 25 * time.Millisecond
)

func newOwnerModel(s schedule, seed uint64) *ownerModel {
	m := &ownerModel{
		rng: rand.New(rand.NewPCG(seed, 2)), schedule: s, sites: scheduleSites, perSite: scheduleVMsPerSite,
		holders: make([]int, scheduleSites), leaseLapsed: make([]bool, scheduleSites), takeoverAt: make([]time.Duration, scheduleSites),
		inMemory: make([]bool, scheduleSites), uncertainUntil: make([]time.Duration, scheduleSites), runs: map[int]int{},
	}
	for site := range m.sites {
		m.holders[site] = site * m.perSite
	}
	return m
}

// ownerAttempt is one send of an order.
type ownerAttempt struct {
	order int
	first time.Duration
	at    time.Duration
	last  orderState
}

// run replays the schedule and returns the totals.
func (m *ownerModel) run() totals {
	s := newSim(m.schedule.seed)
	t := &totals{}
	for _, k := range m.schedule.kills {
		s.after(k.at, func() { m.kill(k) })
	}
	s.after(m.schedule.tableUpAt, func() { m.handleTableRestored(m.schedule.tableUpAt) })
	s.after(m.schedule.siteRejoinedAt, func() { m.handleTableRestored(m.schedule.siteRejoinedAt) })
	for i, at := range m.schedule.arrivals {
		s.after(at, func() { m.attempt(s, t, ownerAttempt{order: i, first: at}) })
	}
	s.run(scheduleLength + 2*outageTimeout)
	return *t
}

func (m *ownerModel) isTableUp(site int, at time.Duration) bool {
	return (at < m.schedule.tableDownAt || at >= m.schedule.tableUpAt) && (site != affectedSite || !m.isSiteIsolatedAt(at))
}

func (m *ownerModel) isSiteIsolatedAt(at time.Duration) bool {
	return at >= m.schedule.siteIsolatedAt && at < m.schedule.siteRejoinedAt
}

// canReachHome reports whether a random entry VM can reach the key's home site.
func (m *ownerModel) canReachHome(site int, at time.Duration) bool {
	inside := m.rng.IntN(m.sites) == affectedSite
	return !m.isSiteIsolatedAt(at) || inside == (site == affectedSite)
}

// kill stops a VM. The claims in a holder's memory are lost with it. Another VM of
// the site gives no promise until its replacement proves that it is dead.
func (m *ownerModel) kill(k scheduledKill) {
	site := k.vm / m.perSite
	if m.isTableUp(site, k.at) {
		if k.vm == m.holders[site] {
			m.transferLease(site, k.at+leaseLength)
		}
		return
	}
	if k.vm == m.holders[site] || k.downtime > leaseLength {
		m.leaseLapsed[site] = true
	}
	if k.vm == m.holders[site] && m.inMemory[site] {
		m.uncertainUntil[site] = min(m.schedule.tableUpAt, m.schedule.siteRejoinedAt) + repeatWindow
	}
}

// transferLease gives the site's lease to its next VM, which takes over at the
// given time.
func (m *ownerModel) transferLease(site int, at time.Duration) {
	m.takeoverAt[site] = at
	next := (m.holders[site]%m.perSite + 1) % m.perSite
	m.holders[site] = site*m.perSite + next
}

// handleTableRestored transfers the leases that lapsed while the table was down.
func (m *ownerModel) handleTableRestored(at time.Duration) {
	for site := range m.sites {
		if m.leaseLapsed[site] {
			m.leaseLapsed[site] = false
			m.transferLease(site, at+leaseLength)
		}
		m.inMemory[site] = false
	}
}

// homeSite returns the order's home among the data centres in service.
func (m *ownerModel) homeSite(order int, at time.Duration) int {
	site := order % m.sites
	if site == affectedSite && at >= m.schedule.siteDrainedAt && at < m.schedule.siteRestoredAt {
		site = (site + 1 + order/m.sites%(m.sites-1)) % m.sites
	}
	return site
}

func (m *ownerModel) attempt(s *sim, t *totals, a ownerAttempt) {
	a.at = s.now.Sub(epoch)
	site := m.homeSite(a.order, a.at)
	switch {
	case m.leaseLapsed[site], a.at < m.takeoverAt[site] || !m.canReachHome(site, a.at):
		a.last = refused
	case m.isTableUp(site, a.at) && a.at < m.uncertainUntil[site]:
		a.last = unresolved // it may have run on the holder that was killed
	default:
		m.runOrder(t, a, site)
		return
	}
	wait := retryInterval/2 + time.Duration(m.rng.Int64N(int64(retryInterval)))
	if a.at+wait >= a.first+outageTimeout {
		m.countOutcome(t, a.last)
		return
	}
	s.after(wait, func() { m.attempt(s, t, a) })
}

// runOrder runs an order. Its outcome is unknown if its holder is killed meanwhile.
func (m *ownerModel) runOrder(t *totals, a ownerAttempt, site int) {
	m.runs[a.order]++
	if m.runs[a.order] > 1 {
		t.duplicated++
	}
	m.inMemory[site] = m.inMemory[site] || !m.isTableUp(site, a.at)
	if m.rng.Float64() < lostResponseRate {
		m.countOutcome(t, unresolved)
		return
	}
	for _, k := range m.schedule.kills {
		if k.vm == m.holders[site] && k.at >= a.at && k.at < a.at+serveTime {
			m.countOutcome(t, unresolved)
			return
		}
	}
	m.countOutcome(t, served)
}

func (m *ownerModel) countOutcome(t *totals, state orderState) {
	switch state {
	case served:
		t.served++
	case refused:
		t.refused++
	default:
		t.unresolved++
	}
}
