package claim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pimentoshore/pimentoshore/coord/table"
)

// scenario is a random run with kills, pauses, lost and late answers.
type scenario struct {
	tickets   bool
	switches  bool
	cut       bool // one site is cut off from the other and the table
	outage    bool
	unsent    bool // most attempts are not sent, and many writes get lost
	tamper    func(*vm, Event) Event
	tamperTxn func(table.Txn) table.Txn
}

func (sc scenario) name() string {
	return fmt.Sprintf("tickets %v, switches %v, outage %v, cut %v, unsent %v",
		sc.tickets, sc.switches, sc.outage, sc.cut, sc.unsent)
}

// drawFaults draws how often each fault comes.
func drawFaults(t *rapid.T) faults {
	draw := func(name string, most float64) float64 { return rapid.Float64Range(0, most).Draw(t, name) }
	return faults{
		lostCommit: draw("lost commits", 0.2), lateCommit: draw("late commits", 0.1),
		readFailed: draw("failed reads", 0.05), notSent: draw("not sent", 0.3),
		lostAnswer: draw("lost answers", 0.1), lateRun: draw("late runs", 0.1),
		lostReply: draw("lost replies", 0.2), lostForward: draw("lost forwards", 0.1),
	}
}

const (
	scenarioOrders   = 60
	scenarioLength   = 8 * time.Second
	scenarioPatience = 6 * time.Second
)

// cluster makes the cluster of a scenario with random faults.
func (sc scenario) cluster(t *rapid.T) *cluster {
	c := newCluster(rapid.Uint64().Draw(t, "seed"), Options{}, 2, 2)
	c.faults = drawFaults(t)
	if sc.unsent {
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
	l := &ledger{}
	l.watch(c)
	for range scenarioOrders {
		o := &order{tickets: sc.tickets, switches: sc.switches, vouch: c.chance(0.5)}
		c.after(c.upTo(scenarioLength/2), func() { l.add(c, o, scenarioPatience) })
	}
	c.disturb(scenarioLength)
	if sc.outage {
		c.after(scenarioLength/8, func() { c.up = false })
		c.after(scenarioLength/2, func() { c.up = true })
	}
	if sc.cut {
		c.after(scenarioLength/8, func() { c.cutSite = 1 })
		c.after(scenarioLength/2, func() { c.cutSite = -1 })
	}
	c.run(3 * scenarioLength)
	return l.count()
}

// disturb kills and pauses VMs at random times.
func (c *cluster) disturb(d time.Duration) {
	for range 6 {
		v := c.vms[c.rng.IntN(len(c.vms))]
		c.after(c.upTo(d), func() {
			c.kill(v)
			c.after(c.upTo(time.Second), func() { c.boot(v) })
		})
		w := c.vms[c.rng.IntN(len(c.vms))]
		c.after(c.upTo(d), func() { w.pausedUntil = c.now.Add(c.upTo(2 * time.Second)) })
	}
}

func TestOrdersRunAtMostOnce(t *testing.T) {
	for _, sc := range []scenario{
		{}, {outage: true}, {cut: true}, {unsent: true}, {switches: true, outage: true},
		{tickets: true}, {tickets: true, outage: true}, {tickets: true, cut: true},
	} {
		var sum totals
		rapid.Check(t, func(t *rapid.T) {
			got := sc.run(t)
			assert.Equal(t, got.doubled, 0)
			assert.Equal(t, got.lies, 0, "told not run, but ran")
			assert.Equal(t, got.lost, 0, "served without a run")
			sum.served += got.served
			sum.refused += got.refused
			sum.unsure += got.unsure
		})
		t.Logf("%s: served %d, refused %d, unsure %d",
			sc.name(), sum.served, sum.refused, sum.unsure)
		assert.Assert(t, sc.unsent || sum.served > sum.refused+sum.unsure, "too little is served to show anything")
	}
}
