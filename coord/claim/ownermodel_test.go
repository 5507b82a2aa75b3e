package claim

import (
	"math/rand/v2"
	"time"
)

// ownerModel is a small model of the way that was not built: each key has a
// home data centre, whose lease holder claims it, in the table while that can
// be reached and else in its own memory, as long as every other VM of its
// data centre promises not to take over.
type ownerModel struct {
	rng      *rand.Rand
	plan     plan
	sites    int
	perSite  int
	holders  []int           // VM of each site that holds the lease
	lapsed   []bool          // the lease ran out while the table was down
	takeover []time.Duration // before it, the site has no holder
	memory   []bool          // the holder has claims only in its memory
	tainted  []time.Duration // until then, unseen keys may have run
	runs     map[int]int
}

const (
	leaseLength = 10 * time.Second
	// repeatWindow is how long after its first send a key may be repeated.
	repeatWindow = outagePatience
	serveTime    = 25 * time.Millisecond
)

func newOwnerModel(p plan, seed uint64) *ownerModel {
	m := &ownerModel{
		rng: rand.New(rand.NewPCG(seed, 2)), plan: p, sites: planSites, perSite: planPerSite,
		holders: make([]int, planSites), lapsed: make([]bool, planSites), takeover: make([]time.Duration, planSites),
		memory: make([]bool, planSites), tainted: make([]time.Duration, planSites), runs: map[int]int{},
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
	runAt time.Duration // 0 if it has not run
}

// run replays the plan and returns the totals.
func (m *ownerModel) run() totals {
	s := newSim(m.plan.seed)
	t := &totals{}
	for _, k := range m.plan.kills {
		s.after(k.at, func() { m.kill(k) })
	}
	s.after(m.plan.up, func() { m.tableBack(m.plan.up) })
	s.after(m.plan.joined, func() { m.tableBack(m.plan.joined) })
	for i, at := range m.plan.arrivals {
		s.after(at, func() { m.attempt(s, t, ownerAttempt{order: i, first: at}) })
	}
	s.run(planLength + 2*outagePatience)
	return *t
}

func (m *ownerModel) tableUp(site int, at time.Duration) bool {
	return (at < m.plan.down || at >= m.plan.up) && (site != leavingSite || !m.cutAt(at))
}

func (m *ownerModel) cutAt(at time.Duration) bool { return at >= m.plan.cut && at < m.plan.joined }

// reaches reports whether a random entry VM reaches the key's home.
func (m *ownerModel) reaches(site int, at time.Duration) bool {
	inside := m.rng.IntN(m.sites) == leavingSite
	return !m.cutAt(at) || inside == (site == leavingSite)
}

// kill ends a VM. A dead holder takes its memory along; a dead VM beside the
// holder gives no promise until its replacement proves that it is dead.
func (m *ownerModel) kill(k planKill) {
	site := k.vm / m.perSite
	if m.tableUp(site, k.at) {
		if k.vm == m.holders[site] {
			m.succeed(site, k.at+leaseLength)
		}
		return
	}
	if k.vm == m.holders[site] || k.gone > leaseLength {
		m.lapsed[site] = true
	}
	if k.vm == m.holders[site] && m.memory[site] {
		m.tainted[site] = min(m.plan.up, m.plan.joined) + repeatWindow
	}
}

func (m *ownerModel) succeed(site int, at time.Duration) {
	m.takeover[site] = at
	next := (m.holders[site]%m.perSite + 1) % m.perSite
	m.holders[site] = site*m.perSite + next
}

func (m *ownerModel) tableBack(at time.Duration) {
	for site := range m.sites {
		if m.lapsed[site] {
			m.lapsed[site] = false
			m.succeed(site, at+leaseLength)
		}
		m.memory[site] = false
	}
}

// home returns the order's data centre among those that are in service.
func (m *ownerModel) home(order int, at time.Duration) int {
	site := order % m.sites
	if site == leavingSite && at >= m.plan.leaves && at < m.plan.returns {
		site = (site + 1 + order/m.sites%(m.sites-1)) % m.sites
	}
	return site
}

func (m *ownerModel) attempt(s *sim, t *totals, a ownerAttempt) {
	a.at = s.now.Sub(epoch)
	site := m.home(a.order, a.at)
	switch {
	case a.runAt > 0 && m.tainted[site] > 0:
		a.last = unsure
	case m.lapsed[site]:
		a.last = refused
		if a.runAt > 0 {
			a.last = unsure
		}
	case a.at < m.takeover[site] || !m.reaches(site, a.at):
		a.last = refused
	case m.tableUp(site, a.at) && a.at < m.tainted[site]:
		a.last = unsure // it may have run under the holder that died
	default:
		m.serve(t, a, site)
		return
	}
	wait := repeatAfter/2 + time.Duration(m.rng.Int64N(int64(repeatAfter)))
	if a.at+wait >= a.first+outagePatience {
		m.finish(t, a.last)
		return
	}
	s.after(wait, func() { m.attempt(s, t, a) })
}

// serve runs an order, unless its holder dies meanwhile.
func (m *ownerModel) serve(t *totals, a ownerAttempt, site int) {
	m.runs[a.order]++
	if m.runs[a.order] > 1 {
		t.doubled++
	}
	m.memory[site] = m.memory[site] || !m.tableUp(site, a.at)
	if m.rng.Float64() < lostAnswerShare {
		m.finish(t, unsure)
		return
	}
	for _, k := range m.plan.kills {
		if k.vm == m.holders[site] && k.at >= a.at && k.at < a.at+serveTime {
			m.finish(t, unsure)
			return
		}
	}
	m.finish(t, served)
}

func (m *ownerModel) finish(t *totals, state orderState) {
	switch state {
	case served:
		t.served++
	case refused:
		t.refused++
	default:
		t.unsure++
	}
}
