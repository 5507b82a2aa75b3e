package claim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pimentoshore/pimentoshore/coord/table"
)

// scenario configures a random run with kills, pauses, and lost and late answers.
type scenario struct {
	tickets          bool
	switchesToTicket bool
	siteIsolated     bool // one site cannot reach the other or the table
	outage           bool
	mostlyNotSent    bool // most attempts are not sent, and many writes are lost or late
	tamper           func(*vm, Event) Event
	tamperTxn        func(table.Txn) table.Txn
}

func (sc scenario) name() string {
	return fmt.Sprintf("tickets %v, switches %v, outage %v, cut %v, unsent %v",
		sc.tickets, sc.switchesToTicket, sc.outage, sc.siteIsolated, sc.mostlyNotSent)
}

// drawFaults draws the probability of each fault.
func drawFaults(t *rapid.T) faults {
	draw := func(name string, most float64) float64 { return rapid.Float64Range(0, most).Draw(t, name) }
	return faults{
		lostCommit: draw("lost commits", 0.2), lateCommit: draw("late commits", 0.1),
		readFailed: draw("failed reads", 0.05), notSent: draw("not sent", 0.3),
		lostResponse: draw("lost answers", 0.1), lateRun: draw("late runs", 0.1),
		lostReply: draw("lost replies", 0.2), lostForward: draw("lost forwards", 0.1),
	}
}

const (
	scenarioOrders  = 60
	scenarioLength  = 8 * time.Second
	scenarioTimeout = 6 * time.Second
)

// cluster returns a cluster for the scenario, with random faults.
func (sc scenario) cluster(t *rapid.T) *cluster {
	c := newCluster(rapid.Uint64().Draw(t, "seed"), Options{}, 2, 2)
	c.faults = drawFaults(t)
	if sc.mostlyNotSent {
		c.faults.notSent, c.faults.lostCommit, c.faults.lateCommit = 0.7, 0.2, 0.3
	}
	if sc.tamper != nil {
		c.tamper = sc.tamper
	}
	if sc.tamperTxn != nil {
		c.tamperTxn = sc.tamperTxn
	}
	return c
}

func (sc scenario) run(t *rapid.T) totals {
	c := sc.cluster(t)
	l := &audit{}
	l.attach(c)
	for range scenarioOrders {
		o := &order{tickets: sc.tickets, switchesToTicket: sc.switchesToTicket, marksFirst: c.chance(0.5)}
		c.after(c.randDuration(scenarioLength/2), func() { l.add(c, o, scenarioTimeout) })
	}
	c.injectFailures(scenarioLength)
	if sc.outage {
		c.after(scenarioLength/8, func() { c.tableUp = false })
		c.after(scenarioLength/2, func() { c.tableUp = true })
	}
	if sc.siteIsolated {
		c.after(scenarioLength/8, func() { c.isolatedSite = 1 })
		c.after(scenarioLength/2, func() { c.isolatedSite = -1 })
	}
	c.run(3 * scenarioLength)
	return l.count()
}

// injectFailures kills and pauses random VMs at random times within d.
func (c *cluster) injectFailures(d time.Duration) {
	for range 6 {
		v := c.vms[c.rng.IntN(len(c.vms))]
		c.after(c.randDuration(d), func() {
			c.kill(v)
			c.after(c.randDuration(time.Second), func() { c.start(v) })
		})
		w := c.vms[c.rng.IntN(len(c.vms))]
		c.after(c.randDuration(d), func() { w.pausedUntil = latest(w.pausedUntil, c.now.Add(c.randDuration(2*time.Second))) })
	}
}

// TestOrdersRunAtMostOnce checks the guarantees of claims under random failures.
func TestOrdersRunAtMostOnce(t *testing.T) {
	for _, sc := range []scenario{
		{}, {outage: true}, {siteIsolated: true}, {mostlyNotSent: true}, {switchesToTicket: true, outage: true},
		{tickets: true}, {tickets: true, outage: true}, {tickets: true, siteIsolated: true},
	} {
		t.Run(sc.name(), func(t *testing.T) {
			t.Parallel()
			sc.check(t)
		})
	}
}

// check runs the scenario with many seeds and checks that no order ran twice or was
// answered wrongly.
func (sc scenario) check(t *testing.T) {
	var sum totals
	rapid.Check(t, func(t *rapid.T) {
		got := sc.run(t)
		assert.Equal(t, got.duplicated, 0)
		assert.Equal(t, got.falseNotRun, 0, "answered \"not run\", but ran")
		assert.Equal(t, got.servedWithoutRun, 0, "served without a run")
		sum.add(got)
	})
	t.Logf("served %d, refused %d, unresolved %d", sum.served, sum.refused, sum.unresolved)
	assert.Assert(t, sc.mostlyNotSent || sum.served > sum.refused+sum.unresolved, "too few orders were served for a meaningful check")
}
