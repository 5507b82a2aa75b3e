package claim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	planSites      = 3
	planPerSite    = 2
	planLength     = 14 * time.Minute
	arrivalEvery   = 500 * time.Millisecond
	killOften      = 45 * time.Second
	killSeldom     = 5 * time.Minute
	replacedWithin = 20 * time.Second
	leavingSite    = 1
	stopGrace      = 10 * time.Second
	outagePatience = 30 * time.Second

	lostAnswerShare = 0.002 // of the calls that ran
)

// plan is one course of events that every way meets alike.
type plan struct {
	seed            uint64
	arrivals        []time.Duration
	kills           []planKill
	down, up        time.Duration // of the table
	leaves, returns time.Duration // of one data centre
	cut, joined     time.Duration // of the same one
}

type planKill struct {
	vm       int
	at, gone time.Duration
}

func newPlan(seed uint64, course course) plan {
	rng := rand.New(rand.NewPCG(seed, 3))
	p := plan{seed: seed, down: planLength, up: planLength, leaves: planLength, returns: planLength, cut: planLength, joined: planLength}
	if course.event&tableDown10 != 0 {
		p.down, p.up = 2*time.Minute, 12*time.Minute
	}
	if course.event&siteCut != 0 {
		p.cut, p.joined = 4*time.Minute, 9*time.Minute
	}
	if course.event&siteLeaves != 0 {
		p.leaves, p.returns = 4*time.Minute, 9*time.Minute
	}
	for at := time.Second; at < planLength; at += arrivalEvery/2 + time.Duration(rng.Int64N(int64(arrivalEvery))) {
		p.arrivals = append(p.arrivals, at)
	}
	for at := course.killEvery; at < planLength; at += course.killEvery {
		vm := rng.IntN(planSites * planPerSite)
		p.kills = append(p.kills, planKill{vm, at, replacedWithin/2 + time.Duration(rng.Int64N(int64(replacedWithin/2)))})
	}
	return p
}

// way is one treatment of keyed calls.
type way struct {
	name              string
	tickets, switches bool
	owner             bool
}

var ways = []way{
	{name: "(a) plain keys, refused in an outage"},
	{name: "(b) owner per key by lease (model)", owner: true},
	{name: "(c) tickets only", tickets: true},
	{name: "(c) plain keys, tickets in an outage", switches: true},
}

// play runs a plan under a way through the real State, or the owner's model.
func (p plan) play(w way) totals {
	if w.owner {
		return newOwnerModel(p, p.seed).run()
	}
	c := newCluster(p.seed, Options{}, planSites, planPerSite)
	c.tick = longTickInterval
	c.faults = faults{notSent: 0.02, lostAnswer: lostAnswerShare}
	l := &ledger{}
	l.watch(c)
	for _, at := range p.arrivals {
		o := &order{tickets: w.tickets, switches: w.switches, vouch: true}
		c.after(at, func() { l.add(c, o, outagePatience) })
	}
	for _, k := range p.kills {
		c.after(k.at, func() { c.replace(k) })
	}
	c.after(p.down, func() { c.up = false })
	c.after(p.up, func() { c.up = true })
	c.after(p.cut, func() { c.cutSite = leavingSite })
	c.after(p.joined, func() { c.cutSite = -1 })
	c.after(p.leaves, func() { c.leave() })
	c.after(p.returns, func() { c.enter() })
	c.run(planLength + 2*outagePatience)
	return l.count()
}

// replace kills a VM and starts another one on its address.
func (c *cluster) replace(k planKill) {
	v := c.vms[k.vm]
	if !v.alive || v.leaving {
		return
	}
	c.kill(v)
	c.after(k.gone, func() {
		if !v.leaving {
			c.boot(v)
		}
	})
}

// leave takes the VMs of one data centre out: no new calls, then a planned
// stop, then the end.
func (c *cluster) leave() {
	for _, v := range c.vms {
		if v.site != leavingSite {
			continue
		}
		v.leaving = true
		inc := v.incarnation
		c.after(stopGrace/2, func() { c.step(v, inc, Stop{}) })
		c.after(stopGrace, func() { c.kill(v) })
	}
}

func (c *cluster) enter() {
	for _, v := range c.vms {
		if v.site == leavingSite && v.leaving {
			c.boot(v)
		}
	}
}

const outageSeeds = 2

// courseEvent is a set of what may happen once.
type courseEvent int

const (
	tableDown10 courseEvent = 1 << iota
	siteLeaves
	siteCut
)

// course is what happens while the orders arrive.
type course struct {
	name      string
	event     courseEvent
	killEvery time.Duration
}

func TestOutageWays(t *testing.T) {
	courses := []course{
		{"table down for 10 minutes, a kill every 45 s", tableDown10, killOften},
		{"table down for 10 minutes, a kill every 5 min", tableDown10, killSeldom},
		{"a data centre leaves and returns, a kill every 45 s", siteLeaves, killOften},
		{"both, a kill every 45 s", tableDown10 | siteLeaves, killOften},
		{"a data centre cut off for 5 minutes, a kill every 45 s", siteCut, killOften},
	}
	var lines []string
	for _, course := range courses {
		for _, w := range ways {
			var sum totals
			orders := 0
			for seed := range uint64(outageSeeds) {
				p := newPlan(seed, course)
				orders += len(p.arrivals)
				sum.add(p.play(w))
			}
			assert.Equal(t, sum.served+sum.refused+sum.unsure, orders)
			assert.Equal(t, sum.doubled+sum.lies+sum.lost, 0, "%s, %s: %+v", course.name, w.name, sum)
			lines = append(lines, fmt.Sprintf("| %s | %s | %d | %d | %d | %d | %d |",
				course.name, w.name, orders, sum.served, sum.refused, sum.unsure, sum.doubled))
		}
	}
	t.Logf("\n| course | way | orders | served | refused, not run | unknown | doubled |\n|---|---|---|---|---|---|---|\n%s",
		strings.Join(lines, "\n"))
}

func (t *totals) add(u totals) {
	t.served += u.served
	t.refused += u.refused
	t.unsure += u.unsure
	t.doubled += u.doubled
	t.lost += u.lost
	t.lies += u.lies
}
