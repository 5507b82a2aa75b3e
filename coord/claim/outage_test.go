package claim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	scheduleSites      = 3
	scheduleVMsPerSite = 2
	scheduleLength     = 14 * time.Minute
	arrivalInterval    = 500 * time.Millisecond
	shortKillInterval  = 45 * time.Second
	longKillInterval   = 5 * time.Minute
	maxReplaceTime     = 20 * time.Second
	affectedSite       = 1
	stopGrace          = 10 * time.Second
	outageTimeout      = 30 * time.Second

	lostResponseRate = 0.002 // fraction of the calls that ran
)

// schedule is a sequence of events that is replayed under each strategy.
type schedule struct {
	seed                           uint64
	arrivals                       []time.Duration
	kills                          []scheduledKill
	tableDownAt, tableUpAt         time.Duration
	siteDrainedAt, siteRestoredAt  time.Duration // affectedSite is out of service
	siteIsolatedAt, siteRejoinedAt time.Duration // affectedSite is cut off from the others and the table
}

// scheduledKill kills a VM and replaces it after a downtime.
type scheduledKill struct {
	vm           int
	at, downtime time.Duration
}

// newSchedule draws a schedule. Events that do not occur are set to its end.
func newSchedule(seed uint64, d disruption) schedule {
	rng := rand.New(rand.NewPCG(seed, 3))
	s := schedule{seed: seed, tableDownAt: scheduleLength, tableUpAt: scheduleLength, siteDrainedAt: scheduleLength, siteRestoredAt: scheduleLength, siteIsolatedAt: scheduleLength, siteRejoinedAt: scheduleLength}
	if d.events&tableOutage != 0 {
		s.tableDownAt, s.tableUpAt = 2*time.Minute, 12*time.Minute
	}
	if d.events&siteIsolated != 0 {
		s.siteIsolatedAt, s.siteRejoinedAt = 4*time.Minute, 9*time.Minute
	}
	if d.events&siteDrained != 0 {
		s.siteDrainedAt, s.siteRestoredAt = 4*time.Minute, 9*time.Minute
	}
	for at := time.Second; at < scheduleLength; at += arrivalInterval/2 + time.Duration(rng.Int64N(int64(arrivalInterval))) {
		s.arrivals = append(s.arrivals, at)
	}
	for at := d.killInterval; at < scheduleLength; at += d.killInterval {
		vm := rng.IntN(scheduleSites * scheduleVMsPerSite)
		s.kills = append(s.kills, scheduledKill{vm, at, maxReplaceTime/2 + time.Duration(rng.Int64N(int64(maxReplaceTime/2)))})
	}
	return s
}

// strategy is a way to handle keyed calls during an outage.
type strategy struct {
	name                      string
	tickets, switchesToTicket bool
	ownerModel                bool
}

var strategies = []strategy{
	{name: "(a) plain keys, refused in an outage"},
	{name: "(b) owner per key by lease (model)", ownerModel: true},
	{name: "(c) tickets only", tickets: true},
	{name: "(c) plain keys, tickets in an outage", switchesToTicket: true},
}

// run runs a schedule under a strategy, with the real State or the owner model.
func (s schedule) run(st strategy) totals {
	if st.ownerModel {
		return newOwnerModel(s, s.seed).run()
	}
	c := newCluster(s.seed, Options{}, scheduleSites, scheduleVMsPerSite)
	c.tick = coarseTickInterval
	c.faults = faults{notSent: 0.02, lostResponse: lostResponseRate}
	l := &audit{}
	l.attach(c)
	for _, at := range s.arrivals {
		o := &order{tickets: st.tickets, switchesToTicket: st.switchesToTicket, marksFirst: true}
		c.after(at, func() { l.add(c, o, outageTimeout) })
	}
	for _, k := range s.kills {
		c.after(k.at, func() { c.replaceVM(k) })
	}
	c.after(s.tableDownAt, func() { c.tableUp = false })
	c.after(s.tableUpAt, func() { c.tableUp = true })
	c.after(s.siteIsolatedAt, func() { c.isolatedSite = affectedSite })
	c.after(s.siteRejoinedAt, func() { c.isolatedSite = -1 })
	c.after(s.siteDrainedAt, func() { c.drainSite() })
	c.after(s.siteRestoredAt, func() { c.restoreSite() })
	c.run(scheduleLength + 2*outageTimeout)
	return l.count()
}

// replaceVM kills a VM and starts a replacement with the same address.
func (c *cluster) replaceVM(k scheduledKill) {
	v := c.vms[k.vm]
	if !v.alive || v.draining {
		return
	}
	c.kill(v)
	c.after(k.downtime, func() {
		if !v.draining {
			c.start(v)
		}
	})
}

// drainSite takes the VMs of affectedSite out of service: they get no new calls,
// are then stopped, and finally killed.
func (c *cluster) drainSite() {
	for _, v := range c.vms {
		if v.site != affectedSite {
			continue
		}
		v.draining = true
		inc := v.incarnation
		c.after(stopGrace/2, func() { c.step(v, inc, Stop{}) })
		c.after(stopGrace, func() { c.kill(v) })
	}
}

// restoreSite starts the drained VMs of affectedSite.
func (c *cluster) restoreSite() {
	for _, v := range c.vms {
		if v.site == affectedSite && v.draining {
			c.start(v)
		}
	}
}

const outageSeeds = 2

// disruptionEvents is a set of events that happen once in a schedule.
type disruptionEvents int

const (
	tableOutage disruptionEvents = 1 << iota
	siteDrained
	siteIsolated
)

// disruption describes the failures while the orders arrive.
type disruption struct {
	name         string
	events       disruptionEvents
	killInterval time.Duration
}

// TestOutageStrategies compares the strategies under each disruption and logs how
// many orders were served, refused and unresolved.
func TestOutageStrategies(t *testing.T) {
	disruptions := []disruption{
		{"table down for 10 minutes, a kill every 45 s", tableOutage, shortKillInterval},
		{"table down for 10 minutes, a kill every 5 min", tableOutage, longKillInterval},
		{"a data centre is drained and restored, a kill every 45 s", siteDrained, shortKillInterval},
		{"both, a kill every 45 s", tableOutage | siteDrained, shortKillInterval},
		{"a data centre cut off for 5 minutes, a kill every 45 s", siteIsolated, shortKillInterval},
	}
	lines := make([]string, len(disruptions)*len(strategies))
	var group sync.WaitGroup
	for i := range lines {
		group.Go(func() { lines[i] = runDisruption(t, disruptions[i/len(strategies)], strategies[i%len(strategies)]) })
	}
	group.Wait()
	t.Logf("\n| disruption | strategy | orders | served | refused, not run | unknown | run twice |\n|---|---|---|---|---|---|---|\n%s",
		strings.Join(lines, "\n"))
}

// runDisruption runs a disruption under a strategy, checks that no order ran twice
// and none was answered wrongly, and returns the line for the result table.
func runDisruption(t *testing.T, d disruption, st strategy) string {
	var sum totals
	orders := 0
	for seed := range uint64(outageSeeds) {
		s := newSchedule(seed, d)
		orders += len(s.arrivals)
		sum.add(s.run(st))
	}
	assert.Check(t, sum.served+sum.refused+sum.unresolved == orders)
	assert.Check(t, sum.duplicated+sum.falseNotRun+sum.servedWithoutRun == 0, "%s, %s: %+v", d.name, st.name, sum)
	return fmt.Sprintf("| %s | %s | %d | %d | %d | %d | %d |",
		d.name, st.name, orders, sum.served, sum.refused, sum.unresolved, sum.duplicated)
}

func (t *totals) add(u totals) {
	t.served += u.served
	t.refused += u.refused
	t.unresolved += u.unresolved
	t.duplicated += u.duplicated
	t.servedWithoutRun += u.servedWithoutRun
	t.falseNotRun += u.falseNotRun
}
